//go:build trials

package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"rainhaven/internal/lab/soak"
	"rainhaven/internal/node"
)

func soakCommand() *cobra.Command {
	o := soak.DefaultOptions()
	var sabotage, folder string
	var quiet, dense bool
	var sabotageNames []string
	for _, s := range node.Sabotages {
		sabotageNames = append(sabotageNames, string(s))
	}
	c := &cobra.Command{Use: "soak", Short: "Run many front nodes under overlapping faults and check the rules from the traffic",
		Example: "  rainhaven soak --nodes 30 --seed 7 --for 60s\n  rainhaven soak --sabotage drain --for 30s", Args: cobra.NoArgs,
		Long: `Runs processes of "rainhaven node" on loopback with stand-in clients, servers and a coordinator, under random faults that
the seed determines: processes killed and restarted, configurations reloaded, servers that crash, drain, hang, return
errors, and lose or corrupt answers, connections reset, discovery down, wall clocks with an offset, system calls that fail.
The exit status is 1 if an invariant was violated; each violation is reported with the trace of its request. With
--sabotage the nodes break a rule on purpose, and the exit status must be 1. A soak that is not clean keeps its command, its
records and the nodes' logs, and prints the folder.`,
		RunE: func(c *cobra.Command, _ []string) error {
			var err error
			if dense {
				o = denseOptions(c, o)
			}
			if o.Sabotage, err = node.ParseSabotage(sabotage); err != nil {
				return err
			}
			if o.Nodes < 1 || o.Servers < 2 || o.Duration < 8*time.Second || o.Rate <= 0 {
				return fmt.Errorf("--nodes must be at least 1, --servers at least 2, --for at least 8s and --rate greater than 0")
			}
			if o.Program, err = os.Executable(); err != nil {
				return exitError{exitFailed, err}
			}
			if o.Folder = folder; folder == "" {
				if o.Folder, err = os.MkdirTemp("", "rainhaven-soak-"); err != nil {
					return exitError{exitFailed, err}
				}
			} else if err := os.MkdirAll(folder, 0o700); err != nil {
				return exitError{exitFailed, err}
			}
			if !quiet {
				o.OnFault = func(at time.Duration, name string) { fmt.Fprintf(c.OutOrStdout(), "%7.2f s  %s\n", at.Seconds(), name) }
			}
			r, err := soak.Run(c.Context(), o)
			if err != nil {
				return exitError{exitFailed, fmt.Errorf("%w; logs are in %s", err, o.Folder)}
			}
			r.Write(c.OutOrStdout())
			if !r.OK() {
				if err := r.Keep(o.Folder, os.Args); err != nil {
					fmt.Fprintln(os.Stderr, "soak: evidence is incomplete:", err)
				}
				return failf("invariants were violated %d times; command, records and logs are in %s", len(r.Violations), o.Folder)
			}
			if folder == "" {
				os.RemoveAll(o.Folder)
			}
			return nil
		}}
	c.Flags().BoolVar(&dense, "dense", false, "few processes under many simultaneous faults, in sequences of related faults")
	c.Flags().IntVar(&o.Nodes, "nodes", o.Nodes, "number of front nodes")
	c.Flags().IntVar(&o.Servers, "servers", o.Servers, "number of streaming servers")
	c.Flags().Uint64Var(&o.Seed, "seed", o.Seed, "seed of the faults and the traffic")
	c.Flags().DurationVar(&o.Duration, "for", o.Duration, "length of the soak")
	c.Flags().Float64Var(&o.Rate, "rate", o.Rate, "mean requests per second at each node")
	c.Flags().BoolVar(&o.SkewClocks, "clocks", o.SkewClocks, "start processes with wall clocks that are off by seconds or an hour")
	c.Flags().BoolVar(&o.NetworkFaults, "network-faults", o.NetworkFaults, "inject failures of the nodes' network system calls")
	c.Flags().StringVar(&sabotage, "sabotage", "", "rule that the nodes break on purpose: "+strings.Join(sabotageNames, ", "))
	c.Flags().StringVar(&folder, "keep", "", "folder in which to keep the nodes' configurations and logs")
	c.Flags().StringVar(&o.LogLevel, "log", o.LogLevel, "minimum log level of the nodes: debug, info, warn, error")
	c.Flags().BoolVarP(&quiet, "quiet", "q", false, "print the report only")
	return c
}

// denseOptions returns the options of a dense soak, with seed, log level, clocks and network faults from flags, and the
// other options from flags only where the flag was set.
func denseOptions(c *cobra.Command, flags soak.Options) soak.Options {
	o := soak.DenseOptions()
	o.Seed, o.LogLevel, o.SkewClocks, o.NetworkFaults = flags.Seed, flags.LogLevel, flags.SkewClocks, flags.NetworkFaults
	if c.Flags().Changed("nodes") {
		o.Nodes = flags.Nodes
	}
	if c.Flags().Changed("servers") {
		o.Servers = flags.Servers
	}
	if c.Flags().Changed("for") {
		o.Duration = flags.Duration
	}
	if c.Flags().Changed("rate") {
		o.Rate = flags.Rate
	}
	return o
}
