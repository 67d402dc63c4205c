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
	var dryRun bool
	c := &cobra.Command{Use: "migrate FILE", Short: "Rewrite a front's settings for another layout, and list what could not be migrated",
		Long: `migrate reads a front's settings and a layout: a script of the same forms that lists only what differs at the new
site, under the same names. It checks the settings for the new site and writes them to a new file; it never overwrites
an existing file. See docs/migration.md.`,
		Example: "  rainhaven migrate old.star --layout new-place.star --dry-run\n  rainhaven migrate old.star --layout new-place.star --out new.star",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if layout == "" || (out == "") != dryRun {
				return fmt.Errorf("migrate needs --layout, and either --out or --dry-run")
			}
			migration, err := settings.Migrate(args[0], layout, instance)
			var diagnostics settings.Diagnostics
			if errors.As(err, &diagnostics) {
				return err // run prints one line for each
			}
			if err != nil {
				return exitError{exitFailed, err}
			}
			for _, line := range migration.Changed {
				fmt.Fprintln(c.OutOrStdout(), "changed:", line)
			}
			for _, line := range migration.NotMigrated {
				fmt.Fprintln(c.OutOrStdout(), "not carried over:", line)
			}
			if dryRun {
				fmt.Fprintln(c.OutOrStdout(), "nothing was written")
				return nil
			}
			// The settings may hold passwords.
			f, err := os.OpenFile(out, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
			if err != nil {
				return exitError{exitFailed, fmt.Errorf("writing settings: %w", err)}
			}
			_, err = f.Write(migration.Script)
			if closeErr := f.Close(); err == nil {
				err = closeErr
			}
			if err != nil {
				return exitError{exitFailed, fmt.Errorf("writing settings: %w", err)}
			}
			fmt.Fprintln(c.OutOrStdout(), "wrote", out)
			return nil
		}}
	c.Flags().StringVar(&layout, "layout", "", "script that lists what differs at the new site")
	c.Flags().StringVar(&out, "out", "", "file to write, which must not exist")
	c.Flags().BoolVar(&dryRun, "dry-run", false, "print the changes without writing a file")
	c.Flags().IntVar(&instance, "instance", 0, "index of the front in a script for many fronts")
	return c
}
