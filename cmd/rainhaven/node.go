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

// trialFlags adds the fault injection flags to the command node and returns a function that applies them to the node's
// options. It is nil in a build without the tag trials.
var trialFlags func(*cobra.Command) func(*node.Options) error

func nodeCommand() *cobra.Command {
	var level, format string
	applyTrialFlags := func(*node.Options) error { return nil }
	c := &cobra.Command{Use: "node", Short: "Run a front node of the platform described by the file named in GW_CONFIG, until SIGTERM; SIGHUP reloads the file",
		Example: "  GW_CONFIG=/run/balancer/config.json rainhaven node", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			// Separate channels: repeated SIGHUPs coalesce into one pending reload, and must not fill the channel that
			// delivers SIGTERM.
			reloadSignals, terminationSignals := make(chan os.Signal, 1), make(chan os.Signal, 3)
			signal.Notify(reloadSignals, syscall.SIGHUP)
			signal.Notify(terminationSignals, syscall.SIGINT, syscall.SIGTERM)
			defer signal.Stop(reloadSignals)
			defer signal.Stop(terminationSignals)
			log, err := newLogger(level, format)
			if err != nil {
				return err
			}
			defer log.Sync()
			path := os.Getenv("GW_CONFIG")
			if path == "" {
				return failf("GW_CONFIG names no configuration file")
			}
			load := func() (*start.Config, error) { return start.Read(path) }
			config, err := load()
			if err != nil {
				return failf("%s: %w", path, err)
			}
			runtime.GOMAXPROCS(1)
			if config.MemoryMB > 0 {
				// Three fifths for the heap; the rest is for stacks, the program image and memory that the kernel accounts to
				// the process.
				debug.SetMemoryLimit(int64(config.MemoryMB) << 20 * 3 / 5)
			}
			options := node.Options{Config: config, ReloadConfig: load, Log: log, ReloadSignals: reloadSignals, TerminationSignals: terminationSignals}
			if err := applyTrialFlags(&options); err != nil {
				return err
			}
			code, err := node.Run(options)
			if err != nil {
				return exitError{int(code), fmt.Errorf("node: %w", err)}
			}
			return nil
		}}
	addLogFlags(c, &level, &format)
	if trialFlags != nil {
		applyTrialFlags = trialFlags(c)
	}
	return c
}
