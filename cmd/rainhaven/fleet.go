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
	c.PersistentFlags().StringVar(&folder, "folder", ".", "folder of the fleet's socket")
	c.AddCommand(fleetUp(&folder), fleetStatus(&folder))
	for _, x := range []struct {
		use, short, what string
		which            bool
	}{
		{"restart", "Restart all fronts in turn, each with the script as it stands then; waits for health in between", "restart", false},
		{"down", "Drain and end all fronts", "down", false},
		{"drain N", "Drain and end one front; it stays away until it is started", "drain", true},
		{"start N", "Start one front again", "start", true},
	} {
		args := cobra.NoArgs
		if x.which {
			args = cobra.ExactArgs(1)
		}
		c.AddCommand(&cobra.Command{Use: x.use, Short: x.short, Example: "  rainhaven fleet " + x.what, Args: args, RunE: func(c *cobra.Command, args []string) error {
			what := x.what
			if x.which {
				n, err := strconv.Atoi(args[0])
				if err != nil {
					return fmt.Errorf("which instance? %q is no number", args[0])
				}
				what += "?instance=" + strconv.Itoa(n)
			}
			if _, err := fleet.Request(c.Context(), fleet.SocketPath(folder), what); err != nil {
				return failure{exitFailed, err}
			}
			return nil
		}})
	}
	return c
}

func fleetUp(folder *string) *cobra.Command {
	var script, level, format string
	var t decisions.Config
	c := &cobra.Command{Use: "up --config FILE --fronts N", Short: "Start the fronts and keep them running until told to end",
		Example: "  rainhaven fleet up --config examples/fleet.star --fronts 4\n  rainhaven fleet status", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if t.Fronts < 1 || t.MaxUnavailableShare <= 0 || t.MaxUnavailableShare > 1 || t.DrainSeconds < 0 {
				return fmt.Errorf("--fronts is 1 or more, --share above 0 and at most 1, --drain not below 0")
			}
			log, err := logger(level, format)
			if err != nil {
				return err
			}
			defer log.Sync()
			self, err := os.Executable()
			if err != nil {
				return failure{exitFailed, err}
			}
			signals := make(chan os.Signal, 4)
			signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
			defer signal.Stop(signals)
			err = fleet.Run(fleet.Options{Executable: self, Script: script, Config: t, SocketPath: fleet.SocketPath(*folder), FrontLogs: os.Stderr, Log: log, Signals: signals})
			var wrong settings.Diagnostics
			if err == nil || errors.As(err, &wrong) {
				return err
			}
			return failure{exitFailed, err}
		}}
	c.Flags().StringVarP(&script, "config", "c", "", "settings of all fronts, a Starlark script that knows each by the name instance")
	c.Flags().IntVar(&t.Fronts, "fronts", 1, "how many")
	c.Flags().Float64Var(&t.MaxUnavailableShare, "share", 0.2, "of the fronts that may be away at a time in a rolling restart")
	c.Flags().Float64Var(&t.DrainSeconds, "drain", 30, "seconds that sessions may play on in a front that is told to end")
	c.MarkFlagRequired("config")
	logFlags(c, &level, &format)
	return c
}

func fleetStatus(folder *string) *cobra.Command {
	var asJSON bool
	c := &cobra.Command{Use: "status", Short: "What each front is at", Example: "  rainhaven fleet status\n  rainhaven fleet status --json", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			b, err := fleet.Request(c.Context(), fleet.SocketPath(*folder), "status")
			if err != nil {
				return failure{exitFailed, err}
			}
			if asJSON {
				_, err = c.OutOrStdout().Write(b)
				return err
			}
			var r fleet.Report
			if err := json.Unmarshal(b, &r); err != nil {
				return failure{exitFailed, err}
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "front\tphase\tready\tfor\tfalls\tlast end\t")
			for _, s := range r.Fronts {
				old := ""
				if s.RestartPending {
					old = ", to be restarted"
				}
				fmt.Fprintf(w, "%d\t%s%s\t%v\t%.0f s\t%d\t%s\t\n", s.Index, s.Phase, old, s.Ready, s.PhaseSeconds, s.ConsecutiveFailures, s.LastExit)
			}
			w.Flush()
			if r.HoldReason != "" {
				fmt.Fprintln(c.OutOrStdout(), "the rolling restart is held:", r.HoldReason)
			}
			return nil
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return c
}
