package renewal

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
	"rainhaven/choice"
)

func TestWhatTakesWhat(t *testing.T) {
	for name, c := range map[string]struct {
		in    Terms
		steps Step
		why   string
	}{
		"nothing":             {Terms{}, 0, ""},
		"a title":             {Terms{Changed: []Part{"title"}}, Fresh, ""},
		"boxes only":          {Terms{Changed: []Part{"box"}}, Boxes, ""},
		"a ladder and limits": {Terms{Changed: []Part{"ladder", "limits"}}, Module | Limits, ""},
		"a port":              {Terms{Changed: []Part{"limits", "front(listen, tls_listen, admin)"}}, 0, "sockets"},
		"an unknown part":     {Terms{Changed: []Part{"weather"}}, 0, "nobody has said"},
		"a group that is gone": {Terms{Changed: []Part{"group"}, Groups: []string{"b"}, Before: []string{"a", "b"}}, 0,
			"group a is gone"},
	} {
		p := Decide(c.in)
		if p.Steps != c.steps || (c.why == "") != (len(p.Refused) == 0) || !strings.Contains(strings.Join(p.Refused, "; "), c.why) {
			t.Errorf("%s: %+v", name, p)
		}
	}
	if p := Decide(Terms{Changed: []Part{"group"}, Groups: []string{"c", "b", "a"}, Before: []string{"a", "b"}}); !slices.Equal(p.Groups, []int{2, 1}) {
		t.Errorf("groups in another order: %v", p.Groups)
	}
	if Wait(5, 0) != 0 || Wait(5, 4.5) != 0.5 || Wait(9, 4.5) != 0 {
		t.Error("waits")
	}
}

// Whatever changes, what rules count is kept, and a slot is never believed less used than it was.
func TestKeepsWhatRulesCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var changed []Part
		for _, r := range Table {
			if rapid.Bool().Draw(t, string(r.Part)) {
				changed = append(changed, r.Part)
			}
		}
		m := choice.Snapshot{FirstSetups: []float64{1, 2}, Retries: []float64{2}, Servers: []choice.ServerSnapshot{{ID: 3, Slot: 7, SlotSetups: 2, StartedAt: 5}},
			Uplinks: []choice.LinkSnapshot{{NominalCapacity: 1}}}
		p := Decide(Terms{Changed: changed})
		k := p.Keep(m)
		if !slices.Equal(k.FirstSetups, m.FirstSetups) || !slices.Equal(k.Retries, m.Retries) || k.Servers[0].StartedAt != 5 || m.Servers[0].Slot != 7 {
			t.Fatalf("%v: %+v of %+v", changed, k, m)
		}
		if s := k.Servers[0]; s.Slot >= 0 && s.SlotSetups != 2 || (s.Slot < 0) != (slices.Contains(changed, "cold") || slices.Contains(changed, "kind")) {
			t.Fatalf("%v: %+v", changed, s)
		}
		if len(p.Refused) > 0 && p.Steps != 0 {
			t.Fatalf("%v: refused, and steps %b", changed, p.Steps)
		}
	})
}
