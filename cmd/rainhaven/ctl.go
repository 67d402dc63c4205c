package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"rainhaven/internal/control"
	"rainhaven/internal/daemon"
	"rainhaven/internal/settings"
	"rainhaven/internal/state"
)

func ctlCommand() *cobra.Command {
	var config string
	var instance int
	c := &cobra.Command{Use: "ctl", Short: "Ask a front that runs on this machine, by the settings it was started with"}
	c.PersistentFlags().StringVarP(&config, "config", "c", "", "the front's settings; they name its state folder")
	c.PersistentFlags().IntVar(&instance, "instance", 0, "which of many fronts of one script")
	c.MarkPersistentFlagRequired("config")
	ask := func(c *cobra.Command, method string, in map[string]any) (map[string]any, error) {
		t, err := settings.ReadInstanceConfig(config, instance)
		var wrong settings.Diagnostics
		if errors.As(err, &wrong) {
			return nil, err
		}
		if err != nil {
			return nil, failure{exitFailed, err}
		}
		if t.StateDir == "" {
			return nil, failed("front(state = ...) names no folder, and without one nobody can ask the front")
		}
		out, err := control.Call(c.Context(), state.PathOf(t.StateDir, t.Name, daemon.ControlSocket), method, in)
		if err != nil {
			return nil, failure{exitFailed, err}
		}
		return out, nil
	}
	for _, x := range []struct{ method, short string }{
		{"Status", "The process and its health"}, {"Sessions", "Sessions with their boxes and rungs"}, {"Boxes", "What the front knows of each box"},
		{"Drain", "Drain and end the front"}, {"Reload", "Read the settings again"},
	} {
		use := strings.ToLower(x.method)
		c.AddCommand(&cobra.Command{Use: use, Short: x.short, Example: "  rainhaven ctl " + use + " --config FILE", Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error {
				out, err := ask(c, x.method, nil)
				if err != nil || len(out) == 0 {
					return err
				}
				e := json.NewEncoder(c.OutOrStdout())
				e.SetIndent("", "  ")
				return e.Encode(out)
			}})
	}
	c.AddCommand(&cobra.Command{Use: "explain [SESSION]", Short: "Why a session got its box and rung, or was turned away; without one, the last that was",
		Example: "  rainhaven ctl explain 4f1c... --config FILE", Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			in := map[string]any{}
			if len(args) > 0 {
				in["session"] = args[0]
			}
			out, err := ask(c, "Explain", in)
			if err != nil {
				return err
			}
			lines, _ := out["lines"].([]any)
			for _, l := range lines {
				fmt.Fprintln(c.OutOrStdout(), l)
			}
			return nil
		}})
	return c
}
