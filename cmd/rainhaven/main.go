// Command rainhaven runs a session front for RTSP video and its tools: a node of the operators' platform, a supervisor of
// many fronts, stand-in boxes, a viewer, scripted days of faults, measurements, and the check and migration of settings.
package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"rainhaven/choice/lifecycle"
	"rainhaven/internal/settings"
)

// Exit codes of the command line other than 0. The commands front and node have further ones of their own.
const (
	exitFailed = 1                        // the command failed: invalid settings, a violated rule, a session that was not served
	exitUsage  = int(lifecycle.ExitUsage) // invalid arguments or flags
)

// exitError is an error that sets the exit code. Other errors exit with exitUsage, settings.Diagnostics with exitFailed.
type exitError struct {
	code int
	err  error
}

func (e exitError) Error() string { return e.err.Error() }

// failf returns an exitError with the code exitFailed.
func failf(format string, args ...any) error {
	return exitError{exitFailed, fmt.Errorf(format, args...)}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:]))
}

// run executes one command line and returns its exit code.
func run(ctx context.Context, args []string) int {
	root := rootCommand()
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	code := exitUsage
	var exitErr exitError
	var diagnostics settings.Diagnostics
	if errors.As(err, &exitErr) {
		code = exitErr.code
	} else if errors.As(err, &diagnostics) {
		code = exitFailed
	}
	if len(diagnostics) > 0 {
		fmt.Fprintln(os.Stderr, diagnostics.Error())
	} else {
		fmt.Fprintln(os.Stderr, "rainhaven:", strings.Join(strings.Fields(err.Error()), " ")) // one line
	}
	return code
}

// trialCommands construct the additional commands of a build with the tag trials.
var trialCommands []func() *cobra.Command

// rootCommand returns the command line with all commands of this build.
func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "rainhaven",
		Short: "A session front: assigns video sessions to streaming servers and adapts their rate",
		Long: `rainhaven accepts RTSP requests from viewers, decides which box (streaming server) holds each session and at which
rung of the rate ladder, and relays the media from the box to the viewer. Start with "rainhaven try".`,
		SilenceErrors: true, SilenceUsage: true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
	}
	root.AddCommand(frontCommand(), nodeCommand(), boxCommand(), playCommand(), dayCommand(), checkCommand(), migrateCommand(), tryCommand(), measureCommand(), stormCommand(), fleetCommand(), ctlCommand(), versionCommand())
	for _, c := range trialCommands {
		root.AddCommand(c())
	}
	return root
}

// newLogger returns a logger that writes structured lines to stderr. At levels other than debug, lines with equal level and
// message are sampled: after the first 100 in a second, one in 100 is written.
func newLogger(level, format string) (*zap.Logger, error) {
	log, _, err := newLeveledLogger(level, format)
	return log, err
}

// newLeveledLogger returns a logger like newLogger and a function that sets its minimum level by name; an empty name
// restores the initial level.
func newLeveledLogger(level, format string) (*zap.Logger, func(string), error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, fmt.Errorf("--log is %q; it must be debug, info, warn or error", level)
	}
	encoderConfig := zap.NewProductionEncoderConfig()
	encoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	var encoder zapcore.Encoder
	switch format {
	case "json":
		encoder = zapcore.NewJSONEncoder(encoderConfig)
	case "console":
		encoder = zapcore.NewConsoleEncoder(encoderConfig)
	default:
		return nil, nil, fmt.Errorf("--log-format is %q; it must be json or console", format)
	}
	minLevel := zap.NewAtomicLevelAt(l)
	setLevel := func(name string) {
		if n, err := zapcore.ParseLevel(cmp.Or(name, level)); err == nil {
			minLevel.SetLevel(n)
		}
	}
	core := zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(unsyncedWriter{os.Stderr})), minLevel)
	if l == zapcore.DebugLevel { // not sampled, so that every line of a request is kept
		return zap.New(core), setLevel, nil
	}
	return zap.New(zapcore.NewSamplerWithOptions(core, 1e9, 100, 100)), setLevel, nil
}

// unsyncedWriter hides the Sync method of a file. What is written to standard error is with the system at once; an fsync of it at the
// exit only waits for the disk, for longer than a process has between the end of its drain and SIGKILL.
type unsyncedWriter struct{ io.Writer }

func addLogFlags(c *cobra.Command, level, format *string) {
	c.Flags().StringVar(level, "log", "info", "minimum log level: debug, info, warn, error")
	c.Flags().StringVar(format, "log-format", "json", "log format: json or console")
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
	c := &cobra.Command{Use: "check FILE", Short: "Check a front's settings and report every mistake with its line and how to correct it",
		Example: "  rainhaven check examples/front.star", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			config, err := settings.ReadInstanceConfig(args[0], instance)
			var diagnostics settings.Diagnostics
			if err != nil && !errors.As(err, &diagnostics) {
				return exitError{exitFailed, err}
			}
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: front %s, %d boxes, %d titles, %d service groups: no mistakes\n", args[0], config.Name, len(config.Boxes), len(config.Titles), len(config.Groups))
			return nil
		}}
	c.Flags().IntVar(&instance, "instance", 0, "index of the front in a script for many fronts")
	return c
}
