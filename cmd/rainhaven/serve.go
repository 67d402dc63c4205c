package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"rainhaven/choice"
	"rainhaven/internal/daemon"
	"rainhaven/internal/front"
	"rainhaven/internal/lab/box"
	"rainhaven/internal/lab/player"
	"rainhaven/internal/settings"
)

func frontCommand() *cobra.Command {
	var configPath, level, format string
	var drain time.Duration
	var instance int
	var supervised, upgrade bool
	c := &cobra.Command{Use: "front --config FILE", Short: "Run a front until it is stopped; it drains before it exits, and reloads its settings on SIGHUP",
		Example: "  rainhaven front --config examples/front.star\n  rainhaven front --config examples/front.star --log debug --log-format console",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			log, setLevel, err := newLeveledLogger(level, format)
			if err != nil {
				return err
			}
			defer log.Sync()
			signals := make(chan os.Signal, 4)
			signal.Notify(signals, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM)
			defer signal.Stop(signals)
			var parent io.Reader
			if supervised {
				parent = os.Stdin
			}
			code, err := daemon.Run(daemon.Options{LoadTerms: func() (settings.Config, error) { return settings.ReadInstanceConfig(configPath, instance) }, DrainTimeout: drain,
				Log: log, SetLogLevel: setLevel, Signals: signals, Parent: parent, Upgrade: upgrade})
			var diagnostics settings.Diagnostics
			if err == nil || errors.As(err, &diagnostics) {
				return err
			}
			return exitError{int(code), err}
		}}
	c.Flags().StringVarP(&configPath, "config", "c", "", "the front's settings, a Starlark script")
	c.Flags().DurationVar(&drain, "drain", 30*time.Second, "how long sessions may continue once the front is told to stop")
	c.Flags().IntVar(&instance, "instance", 0, "index of the front in a script for many fronts: the value of instance in the script")
	c.Flags().BoolVar(&upgrade, "upgrade", false, "take over the sockets of the running front of the same name, which then drains")
	c.Flags().BoolVar(&supervised, "supervised", false, "drain and exit when standard input reaches its end, which shows that the parent process has exited")
	c.MarkFlagRequired("config")
	addLogFlags(c, &level, &format)
	return c
}

func boxCommand() *cobra.Command {
	var listen string
	var id, places, fps int
	var link, thin float64
	var cold bool
	var rates []float64
	c := &cobra.Command{Use: "box", Short: "Run a stand-in box (streaming server) that sends synthetic media",
		Example: "  rainhaven box --listen 127.0.0.1:9001 --id 1 --link 20000", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if len(rates) == 0 || places < 1 || fps < 1 || link <= 0 {
				return fmt.Errorf("--rates must not be empty, and --places, --fps and --link must be greater than 0")
			}
			start := time.Now()
			base := float64(start.UnixNano()) / 1e9
			site := &box.Config{Ladder: rates, MaxSessions: places, TitleLength: func(string) float64 { return 0 }, WarmUp: 10, ColdShare: 0.4,
				OverloadFactor: 4, OverloadTime: 1.5, ReportInterval: 0.4, NoteInterval: 3, SetupTime: 0.02, FPS: fps, PayloadScale: thin,
				Now: func() float64 { return base + time.Since(start).Seconds() }}
			b, err := box.Start(site, id, listen, link, box.NewRack(link), cold)
			if err != nil {
				return exitError{exitFailed, err}
			}
			defer b.Close()
			fmt.Fprintf(c.ErrOrStderr(), "box %d on %s\n", id, b.Address)
			<-c.Context().Done()
			return nil
		}}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "host:port to listen on")
	c.Flags().IntVar(&id, "id", 1, "number of the box")
	c.Flags().IntVar(&places, "places", 20, "maximum number of streams")
	c.Flags().IntVar(&fps, "fps", 25, "frames per second")
	c.Flags().Float64Var(&link, "link", 10000, "capacity of the link in kB/s")
	c.Flags().Float64Var(&thin, "thin", 1, "bytes sent per byte of the nominal rate")
	c.Flags().Float64SliceVar(&rates, "rates", []float64{250, 600, 1200, 2500}, "rate of each rung in kB/s")
	c.Flags().BoolVar(&cold, "cold", false, "start cold, with the limits of a box that has just started")
	return c
}

// tryConfig returns the built-in settings of the command try for a front of these boxes.
func tryConfig(boxes []settings.Box, rates []float64) settings.Config {
	script := settings.Read("try", []byte(`
front(name = "try", listen = "127.0.0.1:0")
kind(name = "small", places = 20)
ladder(rates = [60, 125, 250, 500])
group(name = "fault-clips", utility = 2, start_target = 1, setup_timeout = 3, floor = 1)
group(name = "grower-guides", start_target = 1, setup_timeout = 5)
fleet(links = 18000, uplink = 7000, cells = 6, racks = 3)
title(name = "demo", span = 6)
title(name = "vents", span = 4)
box(id = 1, address = "127.0.0.1:1", cell = 0)
`), settings.FrontForms)
	config := settings.FrontConfig(script)
	if len(script.Diagnostics) > 0 {
		panic(script.Diagnostics) // the script above is wrong
	}
	config.Boxes = boxes
	return config
}

func tryCommand() *cobra.Command {
	var listen, level, format string
	var duration time.Duration
	var viewers int
	c := &cobra.Command{Use: "try", Short: "Run a demo in one process: a front, six boxes and a few viewers; prints a URL that any RTSP client can play",
		Example: "  rainhaven try\n  rainhaven try --for 10s --viewers 12", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			log, err := newLogger(level, format)
			if err != nil {
				return err
			}
			defer log.Sync()
			ctx := c.Context()
			if duration > 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, duration)
				defer cancel()
			}
			return try(ctx, c, log, listen, viewers)
		}}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:8554", "host:port to listen on for viewers")
	c.Flags().DurationVar(&duration, "for", 0, "stop after this time; 0 runs until interrupted")
	c.Flags().IntVar(&viewers, "viewers", 6, "number of simulated viewers")
	addLogFlags(c, &level, &format)
	c.Flags().Lookup("log").DefValue = "warn"
	level = "warn"
	return c
}

// try runs a front, six boxes and simulated viewers until ctx is done, and prints a status line each second.
func try(ctx context.Context, c *cobra.Command, log *zap.Logger, listen string, viewers int) error {
	start := time.Now()
	base := float64(start.UnixNano()) / 1e9
	site := &box.Config{Ladder: []float64{60, 125, 250, 500}, MaxSessions: 20, TitleLength: func(string) float64 { return 0 }, ReportInterval: 0.4, NoteInterval: 3,
		SetupTime: 0.02, RateVariation: 0.1, FPS: 25, PayloadScale: 1, Now: func() float64 { return base + time.Since(start).Seconds() }}
	var boxes []*box.Box
	var configured []settings.Box
	racks := []*box.Rack{box.NewRack(7000), box.NewRack(7000), box.NewRack(7000)}
	for i := range 6 {
		b, err := box.Start(site, i+1, "", 3000, racks[i%3], false)
		if err != nil {
			return exitError{exitFailed, err}
		}
		defer b.Close()
		boxes = append(boxes, b)
		configured = append(configured, settings.Box{Address: b.Address, Listing: choice.Listing{ID: choice.ServerID(i + 1), Cell: i, State: choice.Ready, Weight: 1}})
	}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return failf("listen for viewers: %w; choose another address with --listen, such as 127.0.0.1:0", err)
	}
	f, err := front.New(tryConfig(configured, site.Ladder), front.Options{Log: log})
	if err != nil {
		listener.Close()
		return exitError{exitFailed, err}
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer f.Close()
	wg.Go(func() { f.Serve(listener) })
	address := listener.Addr().String()
	out := c.OutOrStdout()
	fmt.Fprintf(out, "Play rtsp://%s/fault-clips/demo in any RTSP client over TCP, or run: rainhaven play rtsp://%s/fault-clips/demo\n", address, address)
	for i := range viewers {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				group := [2]string{"fault-clips", "grower-guides"}[(i+n)%2]
				player.Watch(ctx, player.Options{Address: address, Group: group, Title: [2]string{"demo", "vents"}[n%2], WatchSeconds: float64(3 + (i*7+n*5)%9), Tracks: 1 + i%2})
				select {
				case <-ctx.Done():
				case <-time.After(300 * time.Millisecond):
				}
			}
		})
	}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			fmt.Fprintln(out)
			return nil
		case <-ticker.C:
		}
		line := fmt.Sprintf("%3.0f s  sessions %d  at boxes", time.Since(start).Seconds(), f.Sessions())
		frames := int64(0)
		for _, b := range boxes {
			n := b.Counts()
			frames += n.Packets
			line += fmt.Sprintf(" %d", n.Sessions)
		}
		line += fmt.Sprintf("  frames %d", frames)
		if s, err := os.Stdout.Stat(); err == nil && s.Mode()&os.ModeCharDevice != 0 {
			fmt.Fprintf(out, "\r%s  ", line)
		} else {
			fmt.Fprintln(out, line)
		}
	}
}
