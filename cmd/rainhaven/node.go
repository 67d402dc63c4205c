package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"rainhaven/internal/lab/faults"
	"rainhaven/internal/node"
	"rainhaven/internal/node/start"
)

func nodeCommand() *cobra.Command {
	var level, format, sabotage string
	var clockOffset time.Duration
	var networkFaults uint64
	c := &cobra.Command{Use: "node", Short: "Run as a front node of the platform that GW_CONFIG describes, until SIGTERM; SIGHUP reads that file again",
		Example: "  GW_CONFIG=/run/balancer/config.json rainhaven node", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			// A channel each: many wishes to reload, which come to one, must not crowd out the one to end.
			hangups, ends := make(chan os.Signal, 1), make(chan os.Signal, 3)
			signal.Notify(hangups, syscall.SIGHUP)
			signal.Notify(ends, syscall.SIGINT, syscall.SIGTERM)
			defer signal.Stop(hangups)
			defer signal.Stop(ends)
			log, err := logger(level, format)
			if err != nil {
				return err
			}
			defer log.Sync()
			path := os.Getenv("GW_CONFIG")
			if path == "" {
				return failed("GW_CONFIG names no configuration file")
			}
			read := func() (*start.Start, error) { return start.Read(path) }
			s, err := read()
			if err != nil {
				return failed("%s: %w", path, err)
			}
			runtime.GOMAXPROCS(1)
			if s.MemoryMB > 0 {
				// Three fifths for the heap: the rest is for stacks, the program itself and what the kernel counts.
				debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * 3 / 5)
			}
			spoil, err := node.ParseSabotage(sabotage)
			if err != nil {
				return err
			}
			o := node.Options{Start: s, Reread: read, Log: log, Hangups: hangups, Ends: ends, WallOffset: clockOffset, Sabotage: spoil}
			if networkFaults != 0 {
				o.Network = faults.New(networkFaults, faults.Usual)
			}
			code, err := node.Run(o)
			if err != nil {
				return failure{int(code), fmt.Errorf("node: %w", err)}
			}
			return nil
		}}
	logFlags(c, &level, &format)
	c.Flags().StringVar(&sabotage, "sabotage", "", "break a rule, for trials of the soak")
	c.Flags().DurationVar(&clockOffset, "clock-offset", 0, "start by a wall clock that is off by so much, for the soak")
	c.Flags().Uint64Var(&networkFaults, "network-faults", 0, "have system calls of the network fail by this seed, for the soak")
	for _, name := range []string{"sabotage", "clock-offset", "network-faults"} {
		c.Flags().MarkHidden(name)
	}
	return c
}
