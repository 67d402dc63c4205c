// Command idlereload plays a viewer that gives signs of life well within the time that its session's answer told, over a
// reload that lowers that time for sessions to come.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"rainhaven/internal/rtsp"
	"rainhaven/review/standin2/kit"
)

const (
	told  = 60 // viewer_idle at the start, the default: the Session field says so
	later = 10 // viewer_idle after the reload
	signs = 25 * time.Second
	lasts = 65 * time.Second
)

func main() { kit.Run(play) }

func play(c *kit.Case) error {
	var addresses [3]string
	for i := range addresses {
		var err error
		if addresses[i], err = kit.FreeAddress(); err != nil {
			return err
		}
	}
	listen, admin, boxAddress := addresses[0], addresses[1], addresses[2]
	box, err := c.Start("box", kit.BoxCommand+" --id 1 --thin 0.05 --listen "+boxAddress)
	if err != nil {
		return err
	}
	if err := box.AwaitOutput("box 1 on", 1, 5*time.Second); err != nil {
		return err
	}
	script := filepath.Join(c.Tmp, "front.star")
	write := func(idle int) error {
		group := "group(name = \"clips\", start_target = 1, setup_timeout = 3)\n"
		limits := fmt.Sprintf("limits(viewer_idle = %d)\n", idle)
		return os.WriteFile(script, []byte(kit.FrontScript(listen, admin, "", group, []string{boxAddress}, limits)), 0o600)
	}
	if err := write(told); err != nil {
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
	viewer, err := c.NewViewer("viewer", listen)
	if err != nil {
		return err
	}
	r, err := viewer.Do(viewer.Setup(url+"/track0", "", kit.Interleaved), 4*time.Second)
	if err != nil || r == nil || r.Status != rtsp.OK {
		return fmt.Errorf("the viewer was not served: %v %v", r, err)
	}
	session := r.Session()
	if !strings.Contains(r.Header.Get("Session"), fmt.Sprintf("timeout=%d", told)) {
		return fmt.Errorf("the session's field is %q", r.Header.Get("Session"))
	}
	if r, err = viewer.Do(viewer.Request(rtsp.Play, url, session), 4*time.Second); err != nil || r == nil || r.Status != rtsp.OK {
		return fmt.Errorf("the viewer does not play: %v %v", r, err)
	}
	lastSign := c.Now()
	if c.Trouble {
		if err := write(later); err != nil {
			return err
		}
		front.Signal(syscall.SIGHUP)
		c.Logf("front: SIGHUP, viewer_idle from %d to %d s", told, later)
		if err := front.AwaitOutput("new settings taken", 1, 5*time.Second); err != nil {
			return err
		}
		c.Logf("front: new settings taken")
	}
	for end := c.Now() + lasts; c.Now() < end; {
		time.Sleep(100 * time.Millisecond)
		if viewer.AwaitBye(0) || viewer.Ended() {
			c.Broken("the session ended %.1f s after its viewer's last sign of life; %d s were told", (c.Now() - lastSign).Seconds(), told)
			m := viewer.Request(rtsp.GetParameter, url, session)
			if viewer.Send(m) == nil {
				viewer.Await(m, 2*time.Second)
			}
			for line := range strings.Lines(front.Output()) {
				if strings.Contains(line, "session ended") {
					c.Logf("front: %s", strings.TrimSpace(line))
				}
			}
			return nil
		}
		if c.Now()-lastSign >= signs {
			lastSign = c.Now()
			r, err := viewer.Do(viewer.Request(rtsp.GetParameter, url, session), 4*time.Second)
			if err != nil || r == nil || r.Status != rtsp.OK {
				c.Broken("a sign of life within the time that was told got %v", r)
				return nil
			}
		}
	}
	c.Logf("viewer: %d frames", viewer.Frames())
	return nil
}
