package front_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"rainhaven/choice"
	"rainhaven/choice/reload"
	"rainhaven/internal/front"
	"rainhaven/internal/lab/box"
	"rainhaven/internal/lab/player"
	"rainhaven/internal/rtsp"
	"rainhaven/internal/settings"
)

// Reloads settings under load: every request is answered, playing sessions continue without a gap under the new limits,
// SETUPs pending at boxes are answered, and a change that needs a restart is rejected as a whole.
func TestReloadUnderLoad(t *testing.T) {
	b := newHarness(t, 3, func(config *settings.Config, _ *box.Config) { config.Choice.Probes = true })
	ends := make(chan player.Result, 40)
	playing := make(chan struct{}, 40)
	for i := range 20 {
		go func() {
			w := b.request([]string{"clips", "exam"}[i%2])
			w.WatchSeconds = 2.5
			started := false
			w.OnProgress = func(player.Result) {
				if !started {
					started = true
					playing <- struct{}{}
				}
			}
			seen, err := player.Watch(context.Background(), w)
			if err != nil {
				t.Error(err)
			}
			ends <- seen
		}()
	}
	for range 20 {
		<-playing
	}
	for _, x := range b.boxes { // keeps SETUPs pending at the boxes during the reload
		x.HoldAnswers()
	}
	lateStatuses := make(chan int, 6)
	for i := range 6 {
		go func() {
			seen, _ := player.Watch(context.Background(), b.request([]string{"clips", "exam"}[i%2]))
			lateStatuses <- seen.Status
		}()
	}
	b.eventually("all requests are accepted", func() bool { return b.Sessions() == 26 })
	config := b.config
	config.Choice.Groups = slices.Clone(config.Choice.Groups)
	config.Choice.Groups[0].Top = 1 // sessions above it are moved down
	slices.Reverse(config.Choice.Groups)
	config.Groups = slices.Clone(config.Groups)
	slices.Reverse(config.Groups)
	config.Limits.MaxSessions = 500
	plan, err := b.Reload(config)
	if err != nil || !plan.Has(reload.RebuildChoice) || !plan.Has(reload.UpdateLimits) || !slices.Equal(plan.NewGroupIndex, []int{1, 0}) {
		t.Fatalf("%+v %v", plan, err)
	}
	rejected := config
	rejected.Listen, rejected.Limits.MaxSessions = "127.0.0.1:1", 1
	if plan, err := b.Reload(rejected); err != nil || len(plan.Rejections) != 1 {
		t.Errorf("change of the listen address: %+v %v", plan, err)
	}
	for _, x := range b.boxes {
		x.Resume()
	}
	for range 6 {
		if s := <-lateStatuses; s != 200 {
			t.Errorf("SETUP pending during the reload: status %d", s)
		}
	}
	rungs := 0
	for range 20 {
		s := <-ends
		if rungs += s.RungChanges; s.LostPackets+s.RepeatedPackets+s.TimestampJumps > 0 || !s.Ended {
			t.Errorf("%+v", s)
		}
	}
	if rungs < 10 {
		t.Errorf("%d rung changes in ten sessions above the new top rung", rungs)
	}
	if v := b.checkRules(); v.Taken != 26 {
		t.Errorf("%v", v)
	}
}

// Changes of boxes and titles don't rebuild the choice module, and a closed front returns ErrClosed.
func TestReloadBoxesAndTitles(t *testing.T) {
	b := newHarness(t, 2, nil)
	config := b.config
	config.Boxes = slices.Clone(config.Boxes[:1])
	config.Titles = map[string]settings.Title{"vents": {CellCount: 2}, "fans": {CellCount: 2}}
	plan, err := b.Reload(config)
	if err != nil || plan.Actions != reload.UpdateBoxes|reload.ReadOnUse {
		t.Fatalf("%+v %v", plan, err)
	}
	b.witness.FrontNotified("front-0", 2, false, b.now())
	for range 6 {
		w := b.request("clips")
		w.Title, w.WatchSeconds = "fans", 0.1
		if seen, err := player.Watch(context.Background(), w); err != nil || seen.Status != 200 {
			t.Errorf("%+v %v", seen, err)
		}
	}
	if n := b.boxes[1].Counts().Setups; n != 0 {
		t.Errorf("%d SETUPs at a removed box", n)
	}
	b.checkRules()
	b.Close()
	if _, err := b.Reload(b.config); err != front.ErrClosed {
		t.Errorf("reload of a closed front: %v", err)
	}
}

// A reload with another ladder looks at viewers' bandwidths again: one without a limit gets the new top rung, another one no rung beyond
// its own. Both kept the number of their highest rung.
func TestReloadLooksAtBandwidthsAgain(t *testing.T) {
	b := newHarness(t, 1, keepSessions)
	want := map[choice.SessID]int{}
	for i, c := range []struct {
		bandwidth string
		best      int
	}{{"", 5}, {"9000000", 3}} {
		conn := b.dial()
		setup := b.setup("1", "")
		if c.bandwidth != "" {
			setup.WithHeader("Bandwidth", c.bandwidth)
		}
		r, err := conn.RoundTrip(setup, 5*time.Second, nil)
		if err != nil || r.Status != 200 {
			t.Fatal(i, r, err)
		}
		id := r.Session()
		play := rtsp.NewRequest(rtsp.Play, "rtsp://"+b.addr+"/clips/vents").WithHeader("CSeq", "2").WithHeader("Session", id)
		if r, err = conn.RoundTrip(play, 5*time.Second, nil); err != nil || r.Status != 200 {
			t.Fatal(i, r, err)
		}
		want[choice.SessID(id)] = c.best
	}
	config := b.config
	config.Choice.Ladder = []float64{250, 500, 700, 1000, 2000, 4000}
	config.Choice.Groups = slices.Clone(config.Choice.Groups)
	config.Groups = slices.Clone(config.Groups)
	for i := range config.Groups {
		config.Choice.Groups[i].Top, config.Groups[i].Rates = 5, config.Choice.Ladder
	}
	if plan, err := b.Reload(config); err != nil || !plan.Has(reload.RebuildChoice) {
		t.Fatalf("%+v %v", plan, err)
	}
	for _, h := range b.HandOver() {
		if h.BestRung != want[h.ID] {
			t.Errorf("highest rung %d, want %d", h.BestRung, want[h.ID])
		}
		delete(want, h.ID)
	}
	if len(want) > 0 {
		t.Errorf("%d sessions were not handed over", len(want))
	}
}
