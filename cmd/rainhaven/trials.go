//go:build trials

package main

import (
	"time"

	"github.com/spf13/cobra"

	"rainhaven/internal/lab/faults"
	"rainhaven/internal/node"
)

func init() {
	trialFlags = addTrialFlags
	trialCommands = []func() *cobra.Command{soakCommand}
}

// addTrialFlags adds the flags with which the soak starts its nodes, and returns a function that applies them.
func addTrialFlags(c *cobra.Command) func(*node.Options) error {
	var sabotageName string
	var clockOffset time.Duration
	var networkFaults uint64
	c.Flags().StringVar(&sabotageName, "sabotage", "", "rule to break on purpose, to check that the soak detects it")
	c.Flags().DurationVar(&clockOffset, "clock-offset", 0, "offset of the wall clock at the start, for the soak")
	c.Flags().Uint64Var(&networkFaults, "network-faults", 0, "seed of injected failures of network system calls, for the soak; 0 injects none")
	return func(o *node.Options) error {
		sabotage, err := node.ParseSabotage(sabotageName)
		if err != nil {
			return err
		}
		o.Trials = node.Trials{WallOffset: clockOffset, Sabotage: sabotage}
		if networkFaults != 0 {
			o.Network = faults.New(networkFaults, faults.DefaultRates)
		}
		return nil
	}
}
