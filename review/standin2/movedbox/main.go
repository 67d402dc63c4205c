// Command movedbox replaces a box by another one at another address, under the same number, and counts the sessions that the
// old one gets after the front has been told and the grace is over.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"rainhaven/internal/rtsp"
	"rainhaven/review/standin2/kit"
)

const (
	grace   = 500 * time.Millisecond // drains(grace = ...) as it is by default
	viewers = 12                     // one after the other, a second each, after the change
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
	old, err := c.NewBox("old", 10*time.Millisecond)
	if err != nil {
		return err
	}
	next, err := c.NewBox("new", 10*time.Millisecond)
	if err != nil {
		return err
	}
	script := filepath.Join(c.Tmp, "front.star")
	write := func(address string) error {
		group := "group(name = \"clips\", start_target = 1, setup_timeout = 3)\n"
		return os.WriteFile(script, []byte(kit.FrontScript(listen, admin, "", group, []string{address}, "")), 0o600)
	}
	if err := write(old.Address); err != nil {
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
	watch := func(name string) error { // a short session
		v, err := c.NewViewer(name, listen)
		if err != nil {
			return err
		}
		defer v.Close()
		r, err := v.Do(v.Setup(url+"/track0", "", kit.Interleaved), 4*time.Second)
		if err != nil || r == nil {
			return fmt.Errorf("no answer: %v", err)
		}
		if r.Status != rtsp.OK {
			return nil
		}
		session := r.Session()
		if _, err := v.Do(v.Request(rtsp.Play, url, session), 4*time.Second); err != nil {
			return err
		}
		time.Sleep(300 * time.Millisecond)
		_, err = v.Do(v.Request(rtsp.TearDown, url, session), 4*time.Second)
		return err
	}
	for i := range 3 {
		if err := watch(fmt.Sprintf("viewer before %d", i+1)); err != nil {
			return err
		}
	}
	if old.SetupsSince(0) == 0 {
		return fmt.Errorf("the old box got no session before the change")
	}
	told := time.Duration(0)
	if c.Trouble {
		if err := write(next.Address); err != nil {
			return err
		}
		front.Signal(syscall.SIGHUP)
		if err := front.AwaitOutput("new settings taken", 1, 5*time.Second); err != nil {
			return err
		}
		told = c.Now()
		c.Logf("front: SIGHUP, box 1 is at another address; new settings taken")
		time.Sleep(grace + 100*time.Millisecond)
	}
	for i := range viewers {
		if err := watch(fmt.Sprintf("viewer after %d", i+1)); err != nil {
			return err
		}
		time.Sleep(700 * time.Millisecond)
	}
	if !c.Trouble {
		c.Logf("the old box got %d sessions, and is the one in the settings", old.SetupsSince(0))
		return nil
	}
	late, right := old.SetupsSince(told+grace), next.SetupsSince(told)
	c.Logf("after the grace: %d sessions at the old box, %d at the new one", late, right)
	if late > 0 {
		c.Broken("the old box, which no setting names any more, got %d of %d new sessions later than the grace of %v", late, viewers, grace)
	}
	return nil
}
