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
	var names []string
	for _, s := range node.Sabotages {
		names = append(names, string(s))
	}
	c := &cobra.Command{Use: "soak", Short: "Run many front nodes under overlapping faults and judge the rules from the traffic",
		Example: "  rainhaven soak --nodes 30 --seed 7 --for 60s\n  rainhaven soak --sabotage drain --for 30s", Args: cobra.NoArgs,
		Long: `Runs real processes of "rainhaven node" on loopback among stand-in clients, servers and a coordinator, with faults drawn
by the seed: processes killed and restarted, configurations read again, servers that die, drain, hang, err, lose and spoil
answers, connections reset, discovery down, wall clocks that are off, system calls that fail. The exit status is 1 if an
invariant was violated; each violation is reported with its request's trace. With --sabotage the nodes break a rule, and
the status is 1 as it must be.`,
		RunE: func(c *cobra.Command, _ []string) error {
			var err error
			if dense {
				o = denseOptions(c, o)
			}
			if o.Sabotage, err = node.ParseSabotage(sabotage); err != nil {
				return err
			}
			if o.Nodes < 1 || o.Servers < 2 || o.Duration < 8*time.Second || o.Rate <= 0 {
				return fmt.Errorf("at least one node, two servers, 8s and a rate above 0 would be right")
			}
			if o.Program, err = os.Executable(); err != nil {
				return failure{exitFailed, err}
			}
			if o.Folder = folder; folder == "" {
				if o.Folder, err = os.MkdirTemp("", "rainhaven-soak-"); err != nil {
					return failure{exitFailed, err}
				}
				defer os.RemoveAll(o.Folder)
			} else if err := os.MkdirAll(folder, 0o700); err != nil {
				return failure{exitFailed, err}
			}
			if !quiet {
				o.OnFault = func(at time.Duration, what string) { fmt.Fprintf(c.OutOrStdout(), "%7.2f s  %s\n", at.Seconds(), what) }
			}
			r, err := soak.Run(c.Context(), o)
			if err != nil {
				return failure{exitFailed, err}
			}
			r.Write(c.OutOrStdout())
			if !r.OK() {
				return failed("invariants were violated %d times", len(r.Violations))
			}
			return nil
		}}
	c.Flags().BoolVar(&dense, "dense", false, "a handful of processes under many faults at once, in stories of faults that follow each other")
	c.Flags().IntVar(&o.Nodes, "nodes", o.Nodes, "front nodes")
	c.Flags().IntVar(&o.Servers, "servers", o.Servers, "streaming servers")
	c.Flags().Uint64Var(&o.Seed, "seed", o.Seed, "faults and traffic follow from it")
	c.Flags().DurationVar(&o.Duration, "for", o.Duration, "how long")
	c.Flags().Float64Var(&o.Rate, "rate", o.Rate, "requests a second at each node, in the mean")
	c.Flags().BoolVar(&o.SkewClocks, "clocks", o.SkewClocks, "start processes by wall clocks that are off by seconds or an hour")
	c.Flags().BoolVar(&o.NetworkFaults, "network-faults", o.NetworkFaults, "have system calls of the nodes' network fail")
	c.Flags().StringVar(&sabotage, "sabotage", "", "have the nodes break a rule: "+strings.Join(names, ", "))
	c.Flags().StringVar(&folder, "keep", "", "a folder in which the nodes' configurations and logs are kept")
	c.Flags().StringVar(&o.LogLevel, "log", o.LogLevel, "least level that the nodes log: debug, info, warn, error")
	c.Flags().BoolVarP(&quiet, "quiet", "q", false, "the report only")
	return c
}

// denseOptions are those of a dense soak, with what was asked for by flags.
func denseOptions(c *cobra.Command, asked soak.Options) soak.Options {
	o := soak.DenseOptions()
	o.Seed, o.LogLevel, o.SkewClocks, o.NetworkFaults = asked.Seed, asked.LogLevel, asked.SkewClocks, asked.NetworkFaults
	if c.Flags().Changed("nodes") {
		o.Nodes = asked.Nodes
	}
	if c.Flags().Changed("servers") {
		o.Servers = asked.Servers
	}
	if c.Flags().Changed("for") {
		o.Duration = asked.Duration
	}
	if c.Flags().Changed("rate") {
		o.Rate = asked.Rate
	}
	return o
}
