// Command rainhaven is the session front and what belongs to it: the front itself, stand-in boxes, a viewer, scripted
// days and the check of settings.
package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"rainhaven/internal/settings"
)

// Exit codes beside 0.
const (
	exitFailed = 1 // what was asked did not go well: a mistake in settings, a broken rule, a session not served
	exitUsage  = 2 // wrong use of the command line
)

// failure is an error with its own exit code whose text was printed already, or is to be.
type failure struct {
	code int
	err  error
}

func (f failure) Error() string { return f.err.Error() }

func failed(format string, args ...any) error {
	return failure{exitFailed, fmt.Errorf(format, args...)}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:]))
}

// run carries out one command line and gives its exit code.
func run(ctx context.Context, args []string) int {
	root := command()
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	code := exitUsage
	var f failure
	var wrong settings.Diagnostics
	if errors.As(err, &f) {
		code = f.code
	} else if errors.As(err, &wrong) {
		code = exitFailed
	}
	if len(wrong) > 0 {
		fmt.Fprintln(os.Stderr, wrong.Error())
	} else {
		fmt.Fprintln(os.Stderr, "rainhaven:", strings.Join(strings.Fields(err.Error()), " ")) // one line
	}
	return code
}

// trialCommands are further commands of a program that was built with the tag trials.
var trialCommands []func() *cobra.Command

func command() *cobra.Command {
	root := &cobra.Command{
		Use:   "rainhaven",
		Short: "A session front: where video sessions land on streaming servers and how they are shaped",
		Long: `rainhaven takes RTSP requests of viewers, decides which box holds each session and at which rung of the rate
ladder, and carries the media from the box to the viewer. Begin with "rainhaven try".`,
		SilenceErrors: true, SilenceUsage: true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
	}
	root.AddCommand(frontCommand(), nodeCommand(), boxCommand(), playCommand(), dayCommand(), checkCommand(), migrateCommand(), tryCommand(), measureCommand(), stormCommand(), fleetCommand(), ctlCommand(), versionCommand())
	for _, c := range trialCommands {
		root.AddCommand(c())
	}
	return root
}

// logger writes structured logs to stderr; above the debug level lines of one kind are sampled past the first hundred a second.
func logger(level, format string) (*zap.Logger, error) {
	log, _, err := leveled(level, format)
	return log, err
}

// leveled is a logger whose least level can be set by name; an empty one is that it began with.
func leveled(level, format string) (*zap.Logger, func(string), error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, fmt.Errorf("--log %q: debug, info, warn or error would be right", level)
	}
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	var e zapcore.Encoder
	switch format {
	case "json":
		e = zapcore.NewJSONEncoder(enc)
	case "console":
		e = zapcore.NewConsoleEncoder(enc)
	default:
		return nil, nil, fmt.Errorf("--log-format %q: json or console would be right", format)
	}
	least := zap.NewAtomicLevelAt(l)
	set := func(name string) {
		if n, err := zapcore.ParseLevel(cmp.Or(name, level)); err == nil {
			least.SetLevel(n)
		}
	}
	core := zapcore.NewCore(e, zapcore.Lock(os.Stderr), least)
	if l == zapcore.DebugLevel { // whoever follows one request needs every line of it
		return zap.New(core), set, nil
	}
	return zap.New(zapcore.NewSamplerWithOptions(core, 1e9, 100, 100)), set, nil
}

func logFlags(c *cobra.Command, level, format *string) {
	c.Flags().StringVar(level, "log", "info", "least level logged: debug, info, warn, error")
	c.Flags().StringVar(format, "log-format", "json", "form of the log: json or console")
}

func versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the version", Example: "  rainhaven version", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			v, rev := "(devel)", ""
			if b, ok := debug.ReadBuildInfo(); ok {
				v = b.Main.Version
				for _, s := range b.Settings {
					if s.Key == "vcs.revision" {
						rev = " " + s.Value
					}
				}
			}
			fmt.Fprintf(c.OutOrStdout(), "rainhaven %s%s\n", v, rev)
			return nil
		}}
}

func checkCommand() *cobra.Command {
	var instance int
	c := &cobra.Command{Use: "check FILE", Short: "Check a front's settings: every mistake with its line and what would be right",
		Example: "  rainhaven check examples/front.star", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			t, err := settings.ReadInstanceConfig(args[0], instance)
			var wrong settings.Diagnostics
			if err != nil && !errors.As(err, &wrong) {
				return failure{exitFailed, err}
			}
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: front %s, %d boxes, %d titles, %d service groups: nothing wrong\n", args[0], t.Name, len(t.Boxes), len(t.Titles), len(t.Groups))
			return nil
		}}
	c.Flags().IntVar(&instance, "instance", 0, "which of many fronts of one script")
	return c
}
