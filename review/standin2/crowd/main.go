// Command crowd has many viewers ask a front again and again beside sessions that play, and looks whether it goes on answering.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"rainhaven/internal/rtsp"
	"rainhaven/review/standin2/kit"
)

const (
	boxes   = 20
	players = 60
	reports = 100 * time.Millisecond // between a player's receiver reports; up to 50 a second are passed on
	crowd   = 3000                   // viewers; a front takes 5,000 connections where its settings say nothing
	// With POLITE=1 there are more, who wait as long as the answer's Retry-After says.
	politeCrowd = 4000
	lasts       = 75 * time.Second
	timeout     = 3 * time.Second  // setup_timeout
	silence     = 10 * time.Second // for so long no request at all is answered: the rule is broken for all that wait
)

func main() { kit.Run(play) }

func play(c *kit.Case) error {
	listen, err := kit.FreeAddress()
	if err != nil {
		return err
	}
	admin, err := kit.FreeAddress()
	if err != nil {
		return err
	}
	var addresses []string
	for i := range boxes {
		a, err := kit.FreeAddress()
		if err != nil {
			return err
		}
		p, err := c.Start(fmt.Sprintf("box %d", i+1), fmt.Sprintf("%s --id %d --thin 0.01 --link 50000 --listen %s", kit.BoxCommand, i+1, a))
		if err != nil {
			return err
		}
		if err := p.AwaitOutput(" on ", 1, 5*time.Second); err != nil {
			return err
		}
		addresses = append(addresses, a)
	}
	script := filepath.Join(c.Tmp, "front.star")
	group := fmt.Sprintf("group(name = \"clips\", start_target = 1, setup_timeout = %.0f)\n", timeout.Seconds())
	if err := os.WriteFile(script, []byte(kit.FrontScript(listen, admin, "", group, addresses, "")), 0o600); err != nil {
		return err
	}
	front, err := c.Start("front", "bin/rainhaven front --config "+script)
	if err != nil {
		return err
	}
	if err := kit.AwaitReady(admin, 10*time.Second); err != nil {
		return err
	}
	url := "rtsp://" + listen + "/clips/vents"
	var playing []*kit.Viewer
	for i := range players {
		v, err := c.NewViewer(fmt.Sprintf("player %d", i+1), listen)
		if err != nil {
			return err
		}
		r, err := v.Do(v.Setup(url+"/track0", "", kit.Interleaved), 4*time.Second)
		if err != nil || r == nil || r.Status != rtsp.OK {
			continue // more wanted than the front gives places to
		}
		if r, err = v.Do(v.Request(rtsp.Play, url, r.Session()), 4*time.Second); err != nil || r == nil {
			return fmt.Errorf("no answer to PLAY: %v", err)
		}
		playing = append(playing, v)
		go func() {
			for v.Report(1) == nil {
				time.Sleep(reports)
			}
		}()
	}
	if len(playing) < boxes {
		return fmt.Errorf("only %d sessions play", len(playing))
	}
	c.Logf("%d sessions play", len(playing))
	var asked, answered, gone atomic.Int64
	viewers := 0
	polite := os.Getenv("POLITE") == "1"
	switch {
	case c.Trouble && polite:
		viewers = politeCrowd
	case c.Trouble:
		viewers = crowd
	}
	for range viewers {
		go func() {
			defer gone.Add(1)
			raw, err := net.DialTimeout("tcp", listen, 10*time.Second)
			if err != nil {
				return
			}
			defer raw.Close()
			conn := rtsp.NewConn(raw, rtsp.Limits{})
			for k := 1; ; k++ {
				asked.Add(1)
				r, err := conn.RoundTrip(rtsp.NewRequest(rtsp.Setup, url+"/track0").WithHeader("CSeq", fmt.Sprint(k)).WithHeader("Transport", kit.Interleaved), time.Minute, nil)
				if err != nil {
					return
				}
				answered.Add(1)
				if r.Status != rtsp.OK {
					if polite {
						wait, _ := strconv.Atoi(r.Header.Get("Retry-After"))
						time.Sleep(time.Duration(wait) * time.Second)
					}
					continue
				}
				k++
				if _, err := conn.RoundTrip(rtsp.NewRequest(rtsp.TearDown, url).WithHeader("CSeq", fmt.Sprint(k)).WithHeader("Session", r.Session()), time.Minute, nil); err != nil {
					return
				}
			}
		}()
	}
	last, lastAt := int64(0), c.Now()
	for end, next := c.Now()+lasts, c.Now(); c.Now() < end; time.Sleep(100 * time.Millisecond) {
		now := answered.Load()
		if now != last || viewers == 0 {
			last, lastAt = now, c.Now()
		}
		if c.Now() >= next {
			c.Logf("crowd: %d set-ups sent, %d answered, %d viewers gone; health: %s", asked.Load(), now, gone.Load(), health(admin))
			next = c.Now() + 5*time.Second
		}
		if c.Now()-lastAt < silence {
			continue
		}
		c.Broken("no request was answered for %v; %d set-ups wait, each with a timeout of %v", silence, asked.Load()-now, timeout)
		c.Logf("health: %s", health(admin))
		front.Signal(syscall.SIGTERM)
		time.Sleep(2 * time.Second)
		_, ended := front.HasEnded()
		c.Logf("SIGTERM: ended after 2 s: %v; log says draining: %v", ended, strings.Contains(front.Output(), "draining"))
		front.Signal(syscall.SIGQUIT) // Go's runtime writes what each goroutine waits for
		<-front.Ended
		c.Logf("the front's loop and a box's reader:\n%s", stacks(front.Output()))
		return nil
	}
	before := frames(playing)
	time.Sleep(time.Second)
	c.Logf("the playing sessions got %d frames in 1 s", frames(playing)-before)
	return nil
}

// health is the status of a front's health page.
func health(admin string) string {
	client := http.Client{Timeout: 3 * time.Second}
	r, err := client.Get("http://" + admin + "/health")
	if err != nil {
		return "none"
	}
	r.Body.Close()
	return r.Status
}

func frames(list []*kit.Viewer) (n int) {
	for _, v := range list {
		n += v.Frames()
	}
	return n
}

// stacks returns the functions of the goroutines that the deadlock is between.
func stacks(output string) string {
	var out strings.Builder
	loop, reader := false, false
	for part := range strings.SplitSeq(output, "\n\n") {
		isLoop, isReader := strings.Contains(part, "front.(*Front).loop("), strings.Contains(part, "relay.(*Stream).ForwardFrame(")
		if isLoop && !loop || isReader && !reader {
			loop, reader = loop || isLoop, reader || isReader
			for line := range strings.Lines(part) {
				if strings.HasPrefix(line, "goroutine") || strings.HasPrefix(line, "rainhaven/") {
					out.WriteString("    " + strings.TrimSpace(line) + "\n")
				}
			}
		}
	}
	return out.String()
}
