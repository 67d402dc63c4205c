package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"rainhaven/internal/node"
	"rainhaven/internal/node/start"
)

// trialFlags adds the flags of trials to a node's command, and gives what they do to its options; nil in a program that was built
// without the tag trials.
var trialFlags func(*cobra.Command) func(*node.Options) error

func nodeCommand() *cobra.Command {
	var level, format string
	trials := func(*node.Options) error { return nil }
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
			read := func() (*start.Config, error) { return start.Read(path) }
			s, err := read()
			if err != nil {
				return failed("%s: %w", path, err)
			}
			runtime.GOMAXPROCS(1)
			if s.MemoryMB > 0 {
				// Three fifths for the heap: the rest is for stacks, the program itself and what the kernel counts.
				debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * 3 / 5)
			}
			o := node.Options{Config: s, ReloadConfig: read, Log: log, ReloadSignals: hangups, TerminationSignals: ends}
			if err := trials(&o); err != nil {
				return err
			}
			code, err := node.Run(o)
			if err != nil {
				return failure{int(code), fmt.Errorf("node: %w", err)}
			}
			return nil
		}}
	logFlags(c, &level, &format)
	if trialFlags != nil {
		trials = trialFlags(c)
	}
	return c
}
