package front_test

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"rainhaven/internal/lab/box"
	"rainhaven/internal/lab/player"
	"rainhaven/internal/settings"
)

const oldSettings = `
front(name = "front-0", listen = "127.0.0.1:8554", seed = 3)
kind(name = "plain", places = 100)
ladder(rates = [250, 500, 1000, 2000])
group(name = "clips", utility = 2, start_target = 0.5, setup_timeout = 3, floor = 1)
group(name = "exam", start_target = 0.5, setup_timeout = 2, paid = True)
fleet(links = 60000, uplink = 60000, cells = 3, racks = 1)
setups(most = 3, spare = 20, share = 0.1, window = 10)
reports(lag = 0.2, notes_every = 1)
box(id = 1, address = "127.0.0.1:9001", cell = 0)
title(name = "vents")
`

const layoutScript = `
everywhere()
group(name = "clips", live = True, floor = 0)
fleet(shared_adds = 0.3)
setups(most = 5)
reports(come = "probes", notes_every = 0, full_at = 1)
`

// A front with migrated settings keeps the rules with three boxes that send no load notes, of which one hangs and one
// fails once.
func TestFrontOnMigratedSettings(t *testing.T) {
	dir := t.TempDir()
	old, layout, out := filepath.Join(dir, "old.star"), filepath.Join(dir, "layout.star"), filepath.Join(dir, "new.star")
	for file, text := range map[string]string{old: oldSettings, layout: layoutScript} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	m, err := settings.Migrate(old, layout, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(out, m.Script, 0o600); err != nil {
		t.Fatal(err)
	}
	config, err := settings.ReadConfig(out)
	if err != nil {
		t.Fatal(err)
	}
	b := newHarness(t, 3, func(x *settings.Config, site *box.Config) {
		site.NoteInterval = 0
		bounds := x.Limits
		*x = config
		x.Boxes, x.Limits = nil, bounds // newHarness sets its own
	})
	b.boxes[0].Hang()
	b.boxes[1].FailSetups(1)
	var all sync.WaitGroup
	var served [12]bool
	for i := range served {
		w := b.request("clips")
		w.WatchSeconds = 0.2
		all.Go(func() {
			seen, err := player.Watch(context.Background(), w)
			served[i] = err == nil && seen.Status == 200
		})
	}
	all.Wait()
	n := 0
	for _, ok := range served {
		if ok {
			n++
		}
	}
	if n < 6 {
		t.Errorf("%d of %d sessions served by the one healthy box of three", n, len(served))
	}
	b.boxes[0].Resume()
	if v := b.checkRules(); v.Taken != len(served) || v.Answered != v.Taken {
		t.Errorf("%v", v)
	}
}
