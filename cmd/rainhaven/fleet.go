package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"text/tabwriter"

	"github.com/spf13/cobra"

	decisions "rainhaven/choice/fleet"
	"rainhaven/internal/fleet"
	"rainhaven/internal/settings"
)

func fleetCommand() *cobra.Command {
	var folder string
	c := &cobra.Command{Use: "fleet", Short: "Run many fronts of one script on this machine, and restart them in turn"}
	c.PersistentFlags().StringVar(&folder, "folder", ".", "folder of the fleet's control socket")
	c.AddCommand(fleetUp(&folder), fleetStatus(&folder))
	for _, action := range []struct {
		use, short, request string
		takesInstance       bool
	}{
		{"restart", "Restart all fronts in turn, each with the script as it is then; waits for restarted fronts to be healthy in between", "restart", false},
		{"down", "Drain and stop all fronts", "down", false},
		{"drain N", "Drain and stop one front; it stays down until it is started again", "drain", true},
		{"start N", "Start a front that was stopped", "start", true},
	} {
		args := cobra.NoArgs
		if action.takesInstance {
			args = cobra.ExactArgs(1)
		}
		c.AddCommand(&cobra.Command{Use: action.use, Short: action.short, Example: "  rainhaven fleet " + action.request, Args: args, RunE: func(c *cobra.Command, args []string) error {
			request := action.request
			if action.takesInstance {
				n, err := strconv.Atoi(args[0])
				if err != nil {
					return fmt.Errorf("invalid instance %q: not a number", args[0])
				}
				request += "?instance=" + strconv.Itoa(n)
			}
			if _, err := fleet.Request(c.Context(), fleet.SocketPath(folder), request); err != nil {
				return exitError{exitFailed, err}
			}
			return nil
		}})
	}
	return c
}

func fleetUp(folder *string) *cobra.Command {
	var script, level, format string
	var config decisions.Config
	c := &cobra.Command{Use: "up --config FILE --fronts N", Short: "Start the fronts and keep them running until interrupted",
		Example: "  rainhaven fleet up --config examples/fleet.star --fronts 4\n  rainhaven fleet status", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if config.Fronts < 1 || config.MaxUnavailableShare <= 0 || config.MaxUnavailableShare > 1 || config.DrainSeconds < 0 {
				return fmt.Errorf("--fronts must be at least 1, --share greater than 0 and at most 1, --drain at least 0")
			}
			log, err := newLogger(level, format)
			if err != nil {
				return err
			}
			defer log.Sync()
			executable, err := os.Executable()
			if err != nil {
				return exitError{exitFailed, err}
			}
			signals := make(chan os.Signal, 4)
			signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
			defer signal.Stop(signals)
			err = fleet.Run(fleet.Options{Executable: executable, Script: script, Config: config, SocketPath: fleet.SocketPath(*folder), FrontLogs: os.Stderr, Log: log, Signals: signals})
			var diagnostics settings.Diagnostics
			if err == nil || errors.As(err, &diagnostics) {
				return err
			}
			return exitError{exitFailed, err}
		}}
	c.Flags().StringVarP(&script, "config", "c", "", "settings of all fronts, a Starlark script in which instance is the index of the front")
	c.Flags().IntVar(&config.Fronts, "fronts", 1, "number of fronts")
	c.Flags().Float64Var(&config.MaxUnavailableShare, "share", 0.2, "maximum share of fronts that may be unavailable at a time in a rolling restart")
	c.Flags().Float64Var(&config.DrainSeconds, "drain", 30, "seconds that sessions may continue in a front that is told to stop")
	c.MarkFlagRequired("config")
	addLogFlags(c, &level, &format)
	return c
}

func fleetStatus(folder *string) *cobra.Command {
	var asJSON bool
	c := &cobra.Command{Use: "status", Short: "Print the state of each front", Example: "  rainhaven fleet status\n  rainhaven fleet status --json", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			b, err := fleet.Request(c.Context(), fleet.SocketPath(*folder), "status")
			if err != nil {
				return exitError{exitFailed, err}
			}
			if asJSON {
				_, err = c.OutOrStdout().Write(b)
				return err
			}
			var report fleet.Report
			if err := json.Unmarshal(b, &report); err != nil {
				return exitError{exitFailed, err}
			}
			table := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(table, "front\tphase\tready\tfor\tfalls\tlast end\t")
			for _, front := range report.Fronts {
				pending := ""
				if front.RestartPending {
					pending = ", to be restarted"
				}
				fmt.Fprintf(table, "%d\t%s%s\t%v\t%.0f s\t%d\t%s\t\n", front.Index, front.Phase, pending, front.Ready, front.PhaseSeconds, front.ConsecutiveFailures, front.LastExit)
			}
			table.Flush()
			if report.HoldReason != "" {
				fmt.Fprintln(c.OutOrStdout(), "the rolling restart is held:", report.HoldReason)
			}
			return nil
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "print as JSON")
	return c
}
