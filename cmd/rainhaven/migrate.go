package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"rainhaven/internal/settings"
)

func migrateCommand() *cobra.Command {
	var layout, out string
	var instance int
	var dry bool
	c := &cobra.Command{Use: "migrate FILE", Short: "Rewrite a front's settings for another layout, and list what could not be carried over",
		Long: `migrate reads a front's settings and a layout: a script of the same forms that names only what is otherwise at
the new place, by the same names. It writes settings for the new place to a new file, checked, and never over a file
that is there. See docs/migration.md.`,
		Example: "  rainhaven migrate old.star --layout new-place.star --dry-run\n  rainhaven migrate old.star --layout new-place.star --out new.star",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if layout == "" || (out == "") != dry {
				return fmt.Errorf("migrate needs --layout, and either --out or --dry-run")
			}
			m, err := settings.Migrate(args[0], layout, instance)
			var wrong settings.Diagnostics
			if errors.As(err, &wrong) {
				return err // printed a line each
			}
			if err != nil {
				return failure{exitFailed, err}
			}
			for _, line := range m.Changed {
				fmt.Fprintln(c.OutOrStdout(), "changed:", line)
			}
			for _, line := range m.NotMigrated {
				fmt.Fprintln(c.OutOrStdout(), "not carried over:", line)
			}
			if dry {
				fmt.Fprintln(c.OutOrStdout(), "nothing was written")
				return nil
			}
			// The settings may hold passwords.
			f, err := os.OpenFile(out, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
			if err != nil {
				return failure{exitFailed, fmt.Errorf("writing settings: %w", err)}
			}
			_, err = f.Write(m.Script)
			if e := f.Close(); err == nil {
				err = e
			}
			if err != nil {
				return failure{exitFailed, fmt.Errorf("writing settings: %w", err)}
			}
			fmt.Fprintln(c.OutOrStdout(), "wrote", out)
			return nil
		}}
	c.Flags().StringVar(&layout, "layout", "", "file that names what is otherwise at the new place")
	c.Flags().StringVar(&out, "out", "", "file to write, which must not be there yet")
	c.Flags().BoolVar(&dry, "dry-run", false, "write nothing")
	c.Flags().IntVar(&instance, "instance", 0, "which of many fronts of one script")
	return c
}
