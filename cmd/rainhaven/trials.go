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

// addTrialFlags adds the flags with which the soak starts its nodes.
func addTrialFlags(c *cobra.Command) func(*node.Options) error {
	var sabotage string
	var clockOffset time.Duration
	var networkFaults uint64
	c.Flags().StringVar(&sabotage, "sabotage", "", "break a rule, for trials of the soak")
	c.Flags().DurationVar(&clockOffset, "clock-offset", 0, "start by a wall clock that is off by so much, for the soak")
	c.Flags().Uint64Var(&networkFaults, "network-faults", 0, "have system calls of the network fail by this seed, for the soak")
	return func(o *node.Options) error {
		spoil, err := node.ParseSabotage(sabotage)
		if err != nil {
			return err
		}
		o.Trials = node.Trials{WallOffset: clockOffset, Sabotage: spoil}
		if networkFaults != 0 {
			o.Network = faults.New(networkFaults, faults.DefaultRates)
		}
		return nil
	}
}
