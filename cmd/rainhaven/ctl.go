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
	var configPath string
	var instance int
	c := &cobra.Command{Use: "ctl", Short: "Query or control a front on this machine, found by the settings it was started with"}
	c.PersistentFlags().StringVarP(&configPath, "config", "c", "", "the front's settings, which name its state folder")
	c.PersistentFlags().IntVar(&instance, "instance", 0, "index of the front in a script for many fronts")
	c.MarkPersistentFlagRequired("config")
	call := func(c *cobra.Command, method string, request map[string]any) (map[string]any, error) {
		config, err := settings.ReadInstanceConfig(configPath, instance)
		var diagnostics settings.Diagnostics
		if errors.As(err, &diagnostics) {
			return nil, err
		}
		if err != nil {
			return nil, exitError{exitFailed, err}
		}
		if config.StateDir == "" {
			return nil, failf("front(state = ...) is not set, and the control socket is in the state folder")
		}
		response, err := control.Call(c.Context(), state.PathOf(config.StateDir, config.Name, daemon.ControlSocket), method, request)
		if err != nil {
			return nil, exitError{exitFailed, err}
		}
		return response, nil
	}
	for _, action := range []struct{ method, short string }{
		{"Status", "Print the state of the process and its health"}, {"Sessions", "List sessions with their boxes and rungs"}, {"Boxes", "List the front's view of each box"},
		{"Drain", "Drain and stop the front"}, {"Reload", "Reload the settings"},
	} {
		use := strings.ToLower(action.method)
		c.AddCommand(&cobra.Command{Use: use, Short: action.short, Example: "  rainhaven ctl " + use + " --config FILE", Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error {
				response, err := call(c, action.method, nil)
				if err != nil || len(response) == 0 {
					return err
				}
				encoder := json.NewEncoder(c.OutOrStdout())
				encoder.SetIndent("", "  ")
				return encoder.Encode(response)
			}})
	}
	c.AddCommand(&cobra.Command{Use: "explain [SESSION]", Short: "Explain why a session got its box and rung, or was turned away; without SESSION, the last one turned away",
		Example: "  rainhaven ctl explain 4f1c... --config FILE", Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			request := map[string]any{}
			if len(args) > 0 {
				request["session"] = args[0]
			}
			response, err := call(c, "Explain", request)
			if err != nil {
				return err
			}
			lines, _ := response["lines"].([]any)
			for _, line := range lines {
				fmt.Fprintln(c.OutOrStdout(), line)
			}
			return nil
		}})
	return c
}
