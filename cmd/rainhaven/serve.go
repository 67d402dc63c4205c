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
	var config, level, format string
	var drain time.Duration
	var instance int
	var supervised, upgrade bool
	c := &cobra.Command{Use: "front --config FILE", Short: "Run a front until it is told to stop; it drains first, and reads its settings again on SIGHUP",
		Example: "  rainhaven front --config examples/front.star\n  rainhaven front --config examples/front.star --log debug --log-format console",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			log, set, err := leveled(level, format)
			if err != nil {
				return err
			}
			defer log.Sync()
			signals := make(chan os.Signal, 4)
			signal.Notify(signals, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM)
			defer signal.Stop(signals)
			var owner io.Reader
			if supervised {
				owner = os.Stdin
			}
			code, err := daemon.Run(daemon.Options{LoadTerms: func() (settings.Config, error) { return settings.ReadInstanceConfig(config, instance) }, DrainTimeout: drain,
				Log: log, SetLogLevel: set, Signals: signals, Parent: owner, Upgrade: upgrade})
			var wrong settings.Diagnostics
			if err == nil || errors.As(err, &wrong) {
				return err
			}
			return failure{int(code), err}
		}}
	c.Flags().StringVarP(&config, "config", "c", "", "settings, a Starlark script")
	c.Flags().DurationVar(&drain, "drain", 30*time.Second, "how long sessions may play on once the front is told to stop")
	c.Flags().IntVar(&instance, "instance", 0, "which of many fronts of one script: what the name instance stands for in it")
	c.Flags().BoolVar(&upgrade, "upgrade", false, "take the sockets of the front of this name that runs; it drains then")
	c.Flags().BoolVar(&supervised, "supervised", false, "drain and end once standard input ends")
	c.MarkFlagRequired("config")
	logFlags(c, &level, &format)
	return c
}

func boxCommand() *cobra.Command {
	var listen string
	var id, places, fps int
	var link, thin float64
	var cold bool
	var rates []float64
	c := &cobra.Command{Use: "box", Short: "Run a stand-in media server with made-up media",
		Example: "  rainhaven box --listen 127.0.0.1:9001 --id 1 --link 20000", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if len(rates) == 0 || places < 1 || fps < 1 || link <= 0 {
				return fmt.Errorf("--rates, --places, --fps and --link must be above 0")
			}
			start := time.Now()
			base := float64(start.UnixNano()) / 1e9
			site := &box.Config{Ladder: rates, MaxSessions: places, TitleLength: func(string) float64 { return 0 }, WarmUp: 10, ColdShare: 0.4,
				OverloadFactor: 4, OverloadTime: 1.5, ReportInterval: 0.4, NoteInterval: 3, SetupTime: 0.02, FPS: fps, PayloadScale: thin,
				Now: func() float64 { return base + time.Since(start).Seconds() }}
			b, err := box.Start(site, id, listen, link, box.NewRack(link), cold)
			if err != nil {
				return failure{exitFailed, err}
			}
			defer b.Close()
			fmt.Fprintf(c.ErrOrStderr(), "box %d on %s\n", id, b.Address)
			<-c.Context().Done()
			return nil
		}}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "host:port")
	c.Flags().IntVar(&id, "id", 1, "its number")
	c.Flags().IntVar(&places, "places", 20, "streams at most")
	c.Flags().IntVar(&fps, "fps", 25, "frames a second")
	c.Flags().Float64Var(&link, "link", 10000, "kB a second of its link")
	c.Flags().Float64Var(&thin, "thin", 1, "bytes sent over those of the rate")
	c.Flags().Float64SliceVar(&rates, "rates", []float64{250, 600, 1200, 2500}, "kB a second of each rung")
	c.Flags().BoolVar(&cold, "cold", false, "it has just started")
	return c
}

// tryTerms are a front before six boxes, with nothing to configure.
func tryTerms(boxes []settings.Box, rates []float64) settings.Config {
	s := settings.Read("try", []byte(`
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
	t := settings.FrontConfig(s)
	if len(s.Diagnostics) > 0 {
		panic(s.Diagnostics) // a fault of this file's
	}
	t.Boxes = boxes
	return t
}

func tryCommand() *cobra.Command {
	var listen, level, format string
	var length time.Duration
	var viewers int
	c := &cobra.Command{Use: "try", Short: "Run a front, six boxes and a few viewers here and now; prints a URL that any RTSP client can play",
		Example: "  rainhaven try\n  rainhaven try --for 10s --viewers 12", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			log, err := logger(level, format)
			if err != nil {
				return err
			}
			defer log.Sync()
			ctx := c.Context()
			if length > 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, length)
				defer cancel()
			}
			return try(ctx, c, log, listen, viewers)
		}}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:8554", "host:port for viewers")
	c.Flags().DurationVar(&length, "for", 0, "end by itself after so long; 0 is when told")
	c.Flags().IntVar(&viewers, "viewers", 6, "viewers of its own at a time")
	logFlags(c, &level, &format)
	c.Flags().Lookup("log").DefValue = "warn"
	level = "warn"
	return c
}

func try(ctx context.Context, c *cobra.Command, log *zap.Logger, listen string, viewers int) error {
	start := time.Now()
	base := float64(start.UnixNano()) / 1e9
	site := &box.Config{Ladder: []float64{60, 125, 250, 500}, MaxSessions: 20, TitleLength: func(string) float64 { return 0 }, ReportInterval: 0.4, NoteInterval: 3,
		SetupTime: 0.02, RateVariation: 0.1, FPS: 25, PayloadScale: 1, Now: func() float64 { return base + time.Since(start).Seconds() }}
	var boxes []*box.Box
	var list []settings.Box
	racks := []*box.Rack{box.NewRack(7000), box.NewRack(7000), box.NewRack(7000)}
	for i := range 6 {
		b, err := box.Start(site, i+1, "", 3000, racks[i%3], false)
		if err != nil {
			return failure{exitFailed, err}
		}
		defer b.Close()
		boxes = append(boxes, b)
		list = append(list, settings.Box{Address: b.Address, Listing: choice.Listing{ID: choice.ServerID(i + 1), Cell: i, State: choice.Ready, Weight: 1}})
	}
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return failed("the address for viewers: %w; another one goes with --listen 127.0.0.1:0", err)
	}
	f, err := front.New(tryTerms(list, site.Ladder), front.Options{Log: log})
	if err != nil {
		l.Close()
		return failure{exitFailed, err}
	}
	var work sync.WaitGroup
	defer work.Wait()
	defer f.Close()
	work.Go(func() { f.Serve(l) })
	address := l.Addr().String()
	out := c.OutOrStdout()
	fmt.Fprintf(out, "rtsp://%s/fault-clips/demo plays with any RTSP client over TCP, or: rainhaven play rtsp://%s/fault-clips/demo\n", address, address)
	for i := range viewers {
		work.Go(func() {
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
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			fmt.Fprintln(out)
			return nil
		case <-t.C:
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
