package front_test

import (
	"context"
	"slices"
	"testing"

	"rainhaven/choice/reload"
	"rainhaven/internal/front"
	"rainhaven/internal/lab/box"
	"rainhaven/internal/lab/player"
	"rainhaven/internal/settings"
)

// New terms under a crowd: every answer comes, what plays goes on without a gap under the new bounds, what waits at a box
// gets its answer, and what can't change is refused whole.
func TestNewTermsInService(t *testing.T) {
	b := newBench(t, 3, func(terms *settings.Config, _ *box.Site) { terms.Choice.Probes = true })
	ends := make(chan player.Seen, 40)
	playing := make(chan struct{}, 40)
	for i := range 20 {
		go func() {
			w := b.want([]string{"clips", "exam"}[i%2])
			w.Watch = 2.5
			told := false
			w.Live = func(player.Seen) {
				if !told {
					told = true
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
	for _, x := range b.boxes { // these are out at boxes while the terms change
		x.HoldAnswers()
	}
	late := make(chan int, 6)
	for i := range 6 {
		go func() {
			seen, _ := player.Watch(context.Background(), b.want([]string{"clips", "exam"}[i%2]))
			late <- seen.Status
		}()
	}
	b.eventually("all are taken", func() bool { return b.Sessions() == 26 })
	terms := b.terms
	terms.Choice.Groups = slices.Clone(terms.Choice.Groups)
	terms.Choice.Groups[0].Top = 1 // what plays higher comes down
	slices.Reverse(terms.Choice.Groups)
	terms.Groups = slices.Clone(terms.Groups)
	slices.Reverse(terms.Groups)
	terms.Limits.Sessions = 500
	plan, err := b.Reload(terms)
	if err != nil || !plan.Has(reload.RebuildChoice) || !plan.Has(reload.UpdateLimits) || !slices.Equal(plan.NewGroupIndex, []int{1, 0}) {
		t.Fatalf("%+v %v", plan, err)
	}
	wrong := terms
	wrong.Listen, wrong.Limits.Sessions = "127.0.0.1:1", 1
	if plan, err := b.Reload(wrong); err != nil || len(plan.Rejections) != 1 {
		t.Errorf("another port: %+v %v", plan, err)
	}
	for _, x := range b.boxes {
		x.Unhang()
	}
	for range 6 {
		if s := <-late; s != 200 {
			t.Errorf("a SETUP out at the change: %d", s)
		}
	}
	rungs := 0
	for range 20 {
		s := <-ends
		if rungs += s.Rungs; s.Lost+s.Doubled+s.Jumps > 0 || !s.Ended {
			t.Errorf("%+v", s)
		}
	}
	if rungs < 10 {
		t.Errorf("%d changes of rung in ten sessions that play too high", rungs)
	}
	if v := b.rules(); v.Taken != 26 {
		t.Errorf("%v", v)
	}
}

// The list, titles and users change without a new module.
func TestListsInService(t *testing.T) {
	b := newBench(t, 2, nil)
	terms := b.terms
	terms.Boxes = slices.Clone(terms.Boxes[:1])
	terms.Titles = map[string]settings.Title{"vents": {Span: 2}, "fans": {Span: 2}}
	plan, err := b.Reload(terms)
	if err != nil || plan.Actions != reload.UpdateBoxes|reload.ReadOnUse {
		t.Fatalf("%+v %v", plan, err)
	}
	b.wit.FrontNotified("front-0", 2, false, b.now())
	for range 6 {
		w := b.want("clips")
		w.Title, w.Watch = "fans", 0.1
		if seen, err := player.Watch(context.Background(), w); err != nil || seen.Status != 200 {
			t.Errorf("%+v %v", seen, err)
		}
	}
	if n := b.boxes[1].Count().Setups; n != 0 {
		t.Errorf("%d SETUPs at a box that left", n)
	}
	b.rules()
	b.Close()
	if _, err := b.Reload(b.terms); err != front.ErrClosed {
		t.Errorf("a front that has ended: %v", err)
	}
}
