// Command retrack plays a viewer that asks ten times in one write for the track that it has, beside one that watches.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"rainhaven/internal/rtsp"
	"rainhaven/review/standin2/kit"
)

// repeats is the number of SETUPs in one write; a front reads up to 16 unanswered requests of a connection.
const repeats = 10

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
	group := "group(name = \"clips\", start_target = 1, setup_timeout = 3)\n"
	if err := os.WriteFile(script, []byte(kit.FrontScript(listen, admin, "", group, []string{boxAddress}, "")), 0o600); err != nil {
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
	watcher, err := c.NewViewer("watcher", listen)
	if err != nil {
		return err
	}
	r, err := watcher.Do(watcher.Setup(url+"/track0", "", kit.Interleaved), 4*time.Second)
	if err != nil || r == nil || r.Status != rtsp.OK {
		return fmt.Errorf("the watcher was not served: %v %v", r, err)
	}
	if r, err = watcher.Do(watcher.Request(rtsp.Play, url, r.Session()), 4*time.Second); err != nil || r == nil || r.Status != rtsp.OK {
		return fmt.Errorf("the watcher does not play: %v %v", r, err)
	}

	other, err := c.NewViewer("other", listen)
	if err != nil {
		return err
	}
	if r, err = other.Do(other.Setup(url+"/track0", "", kit.Interleaved), 4*time.Second); err != nil || r == nil || r.Status != rtsp.OK {
		return fmt.Errorf("the other viewer was not served: %v %v", r, err)
	}
	session := r.Session()
	var requests []*rtsp.Message
	if c.Trouble {
		for i := range repeats {
			requests = append(requests, other.Setup(url+"/track0", session, kit.InterleavedOn(2+2*i)))
		}
	} else { // the same number of requests, without a track asked for twice
		requests = append(requests, other.Setup(url+"/track1", session, kit.InterleavedOn(2)))
		for len(requests) < repeats {
			requests = append(requests, other.Request(rtsp.GetParameter, url, session))
		}
	}
	if err := other.Send(requests...); err != nil {
		return err
	}
	for _, m := range requests {
		if other.Await(m, 5*time.Second) == nil {
			c.Broken("the request with CSeq %d was read and got no answer within 5 s", m.CSeq())
			break // answers come in order
		}
	}
	select {
	case <-front.Ended:
	case <-time.After(time.Second):
	}
	if how, ended := front.HasEnded(); ended {
		c.Broken("the front's process has ended: %s", how)
		c.Logf("the front's last words:\n%s", lastWords(front.Output()))
	}
	before := watcher.Frames()
	time.Sleep(2 * time.Second)
	if got := watcher.Frames() - before; got == 0 || watcher.Ended() {
		c.Broken("the watcher's session, which asked for nothing, was lost: %d frames in 2 s", got)
	} else {
		c.Logf("watcher: %d frames in 2 s", got)
	}
	return nil
}

// lastWords returns the panic that a process has written, without what follows.
func lastWords(s string) string {
	const most = 1200
	for i := range s {
		if len(s)-i > 6 && s[i:i+6] == "panic:" {
			return s[i:min(len(s), i+most)]
		}
	}
	return s[max(len(s)-most, 0):]
}
