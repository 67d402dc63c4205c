package main

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"rainhaven/choice/auth"
	"rainhaven/internal/lab/day"
	"rainhaven/internal/lab/measure"
	"rainhaven/internal/lab/player"
	"rainhaven/internal/rtsp"
	"rainhaven/internal/settings"
)

func playCommand() *cobra.Command {
	var asJSON bool
	var out, ca string
	var insecure bool
	var watch, timeout time.Duration
	var bandwidth float64
	var tracks int
	c := &cobra.Command{Use: "play URL", Short: "Play a session and check every frame",
		Example: "  rainhaven play rtsp://127.0.0.1:8554/fault-clips/demo\n  rainhaven play --for 10s --json rtsp://127.0.0.1:8554/fault-clips/demo", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			target, err := rtsp.ParseURL(args[0])
			if err != nil {
				return fmt.Errorf("%w; the URL must be rtsp://host:port/group/title", err)
			}
			if _, _, err := net.SplitHostPort(target.Host); err != nil {
				target.Host = net.JoinHostPort(target.Host, "554")
			}
			var user *auth.User
			if u, err := url.Parse(args[0]); err == nil && u.User != nil {
				password, _ := u.User.Password()
				user = &auth.User{Name: u.User.Username(), Password: password}
			}
			options := player.Options{User: user, Address: target.Host, Group: target.Group, Title: target.Title, SetupTimeout: timeout.Seconds(), WatchSeconds: watch.Seconds(),
				Bandwidth: bandwidth, Tracks: tracks, Describe: true}
			if strings.HasPrefix(args[0], "rtsps:") {
				options.TLS = &tls.Config{InsecureSkipVerify: insecure}
				if host, _, err := net.SplitHostPort(target.Host); err == nil {
					options.TLS.ServerName = host
				}
				if ca != "" {
					pem, err := os.ReadFile(ca)
					if options.TLS.RootCAs = x509.NewCertPool(); err != nil || !options.TLS.RootCAs.AppendCertsFromPEM(pem) {
						return failf("--ca %s contains no readable certificate", ca)
					}
				}
			}
			if out != "" {
				f, err := os.Create(out)
				if err != nil {
					return exitError{exitFailed, err}
				}
				defer f.Close()
				options.PayloadWriter = f
			}
			if !asJSON {
				options.OnProgress = func(progress player.Result) {
					fmt.Fprintf(c.OutOrStdout(), "rung %d  share %.3f  frames %d  worst gap %.0f ms  lost %d\n", progress.LastRung, progress.DeliveredShare(), progress.Frames, progress.MaxFrameGap*1000, progress.LostPackets)
				}
			}
			result, err := player.Watch(c.Context(), options)
			if asJSON {
				json.NewEncoder(c.OutOrStdout()).Encode(struct {
					player.Result
					DeliveredShare float64
					Error          string `json:",omitempty"`
				}{result, result.DeliveredShare(), errText(err)})
			} else {
				fmt.Fprintf(c.OutOrStdout(), "answer %d after %.1f ms, first frame after %.1f ms, %d frames, share %.3f, worst gap %.0f ms, lost %d, doubled %d, rung changes %d\n",
					result.Status, result.AnswerSeconds*1000, result.FirstFrameSeconds*1000, result.Frames, result.DeliveredShare(), result.MaxFrameGap*1000, result.LostPackets, result.RepeatedPackets, result.RungChanges)
			}
			if err != nil {
				return exitError{exitFailed, err}
			}
			return nil
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "print the result as one JSON object")
	c.Flags().StringVar(&out, "out", "", "file to write the payloads of the first track to")
	c.Flags().StringVar(&ca, "ca", "", "file of CA certificates that an rtsps front's certificate is verified against")
	c.Flags().BoolVar(&insecure, "insecure", false, "accept any certificate of an rtsps front")
	c.Flags().DurationVar(&watch, "for", 0, "length of media to watch; 0 plays to the end")
	c.Flags().DurationVar(&timeout, "setup-timeout", 5*time.Second, "how long to wait for the answer")
	c.Flags().Float64Var(&bandwidth, "bandwidth", 0, "bandwidth of this viewer in bits per second, sent to the front; 0 sends none")
	c.Flags().IntVar(&tracks, "tracks", 2, "1 for video only, 2 for video and audio")
	return c
}

// errText returns the text of err, or "" if it is nil.
func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func dayCommand() *cobra.Command {
	var sabotage, level, format string
	var asJSON, quiet bool
	var shorten float64
	var seed uint64
	c := &cobra.Command{Use: "day FILE", Short: "Play a scripted day on loopback sockets and check the rules from the traffic",
		Example: "  rainhaven day examples/bad-day.star\n  rainhaven day --sabotage drains examples/bad-day.star",
		Long: `Plays a scripted day: stand-in boxes, fronts, viewers and faults. The report's last line counts the requests taken and
answered and how often each rule was violated; the exit status is 1 if any was. With --sabotage the fronts break a rule
on purpose, and the exit status must be 1.`, Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			log, err := newLogger(level, format)
			if err != nil {
				return err
			}
			parsed, err := day.ParseSabotage(sabotage)
			if err != nil {
				return err
			}
			d, err := day.Read(args[0])
			if err != nil {
				var diagnostics settings.Diagnostics
				if errors.As(err, &diagnostics) {
					return err
				}
				return exitError{exitFailed, err}
			}
			if shorten <= 0 || shorten > 1 {
				return fmt.Errorf("--shorten is %v; it must be greater than 0 and at most 1", shorten)
			}
			d.Shorten(shorten)
			if seed != 0 {
				d.Seed = seed
			}
			options := day.Options{Log: log, Sabotage: parsed}
			if !quiet && !asJSON {
				options.OnEvent = func(at float64, description string) { fmt.Fprintf(c.OutOrStdout(), "%6.1f s  %s\n", at, description) }
			}
			r, err := day.Run(c.Context(), d, options)
			if err != nil {
				return exitError{exitFailed, err}
			}
			if asJSON {
				json.NewEncoder(c.OutOrStdout()).Encode(r)
			} else {
				r.Write(c.OutOrStdout())
			}
			if violations := r.Verdict.Violations(); violations > 0 {
				return failf("rules were violated %d times", violations)
			}
			return nil
		}}
	c.Flags().StringVar(&sabotage, "sabotage", "", "rule that the fronts break on purpose: answers, doubles, drains, cold, terms, ration")
	c.Flags().BoolVar(&asJSON, "json", false, "print the report as one JSON object")
	c.Flags().BoolVarP(&quiet, "quiet", "q", false, "print the report only")
	c.Flags().Float64Var(&shorten, "shorten", 1, "factor on the length of the day, at most 1")
	c.Flags().Uint64Var(&seed, "seed", 0, "seed to use in place of the script's; 0 keeps the script's")
	c.Flags().StringVar(&level, "log", "error", "minimum log level: debug, info, warn, error")
	c.Flags().StringVar(&format, "log-format", "console", "log format: json or console")
	return c
}

func measureCommand() *cobra.Command {
	var asJSON, overTLS, reloads bool
	var against string
	options := measure.Options{}
	c := &cobra.Command{Use: "measure", Short: "Compare viewers that play through a front with the same viewers directly at the boxes",
		Example: "  rainhaven measure\n  rainhaven measure --sessions 1,100,1000 --setups 2000 --reps 5", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			executable, err := os.Executable()
			if err != nil {
				return exitError{exitFailed, err}
			}
			options.Builds = []measure.Build{{Name: "this", Program: executable}}
			if against != "" {
				options.Builds = append(options.Builds, measure.Build{Name: "other", Program: against})
			}
			if overTLS {
				options.Builds = append(options.Builds, measure.Build{Name: "this, TLS", Program: executable, TLS: true})
			}
			if reloads {
				options.Builds = append(options.Builds, measure.Build{Name: "reloading", Program: executable, Reloads: true})
			}
			if options.Setups < 1 || options.Reps < 1 || options.TransferSeconds <= 0 || len(options.Sessions) == 0 || slices.Min(options.Sessions) < 1 {
				return fmt.Errorf("--sessions, --setups, --reps and --seconds must be greater than 0")
			}
			rows, err := measure.Run(c.Context(), options, nil)
			if err != nil {
				measure.WriteTable(c.OutOrStdout(), rows) // the rows measured before the error are valid
				return exitError{exitFailed, err}
			}
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(rows)
			}
			measure.WriteTable(c.OutOrStdout(), rows)
			return nil
		}}
	c.Flags().IntSliceVar(&options.Sessions, "sessions", []int{1, 100, 1000}, "numbers of playing sessions to measure with")
	c.Flags().IntVar(&options.Setups, "setups", 1000, "SETUPs to time on each path, alternating between the paths")
	c.Flags().IntVar(&options.Reps, "reps", 5, "transfers at full speed on each path, alternating between the paths")
	c.Flags().Float64Var(&options.TransferSeconds, "seconds", 1, "length of a transfer in seconds")
	c.Flags().StringVar(&against, "against", "", "another build of rainhaven to measure alternately with this one")
	c.Flags().BoolVar(&reloads, "reloads", false, "also measure a front that reloads its settings each second")
	c.Flags().BoolVar(&overTLS, "tls", false, "also measure viewers over TLS")
	c.Flags().BoolVar(&asJSON, "json", false, "print the rows as JSON")
	return c
}

func stormCommand() *cobra.Command {
	var requests, seeds int
	var remember bool
	var first uint64
	var rate float64
	c := &cobra.Command{Use: "storm", Short: "Play random days of faults among viewers and boxes, one for each seed, and check the rules",
		Example: "  rainhaven storm --requests 2000 --seeds 20", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if requests < 1 || seeds < 1 || rate <= 0 {
				return fmt.Errorf("--requests, --seeds and --rate must be greater than 0")
			}
			violations := 0
			for seed := first; seed < first+uint64(seeds); seed++ {
				d, err := day.Storm(seed, requests, rate)
				if err != nil {
					return exitError{exitFailed, err}
				}
				r, err := day.Run(c.Context(), d, day.Options{RestoreState: remember})
				if err != nil {
					return exitError{exitFailed, err}
				}
				verdict := r.Verdict
				fmt.Fprintf(c.OutOrStdout(), "seed %d: %v; further SETUPs %d, busy-replied %d, torn down %d, given up %d, left at boxes %d\n", seed, verdict,
					verdict.Retries, verdict.Busy, verdict.Failed, verdict.Abandoned, r.SessionsLeft)
				for _, note := range verdict.Notes {
					fmt.Fprintln(c.OutOrStdout(), "  broken:", note)
				}
				violations += verdict.Violations() + r.SessionsLeft
			}
			if violations > 0 {
				return failf("rules were violated %d times", violations)
			}
			return nil
		}}
	c.Flags().IntVar(&requests, "requests", 2000, "approximate number of first requests of viewers")
	c.Flags().IntVar(&seeds, "seeds", 1, "number of days, each with its own seed")
	c.Flags().Uint64Var(&first, "first", 1, "the first seed")
	c.Flags().BoolVar(&remember, "remember", false, "fronts that were killed restore their saved state when they start again")
	c.Flags().Float64Var(&rate, "rate", 100, "requests per second")
	return c
}
