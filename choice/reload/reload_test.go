package reload

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
	"rainhaven/choice"
)

func TestNewPlan(t *testing.T) {
	for name, c := range map[string]struct {
		change    Change
		actions   Action
		rejection string
	}{
		"no change":         {Change{}, 0, ""},
		"title":             {Change{Sections: []Section{"title"}}, ReadOnUse, ""},
		"boxes only":        {Change{Sections: []Section{"box"}}, UpdateBoxes, ""},
		"ladder and limits": {Change{Sections: []Section{"ladder", "limits"}}, RebuildChoice | UpdateLimits, ""},
		"port":              {Change{Sections: []Section{"limits", "front(listen, tls_listen, admin)"}}, 0, "sockets"},
		"unknown section":   {Change{Sections: []Section{"weather"}}, 0, "no rule says"},
		"removed group": {Change{Sections: []Section{"group"}, NewGroups: []string{"b"}, OldGroups: []string{"a", "b"}}, 0,
			"group a was removed"},
	} {
		p := NewPlan(c.change)
		if p.Actions != c.actions || (c.rejection == "") != (len(p.Rejections) == 0) || !strings.Contains(strings.Join(p.Rejections, "; "), c.rejection) {
			t.Errorf("%s: %+v", name, p)
		}
	}
	if p := NewPlan(Change{Sections: []Section{"group"}, NewGroups: []string{"c", "b", "a"}, OldGroups: []string{"a", "b"}}); !slices.Equal(p.NewGroupIndex, []int{2, 1}) {
		t.Errorf("group indexes after reordering: %v", p.NewGroupIndex)
	}
	if Delay(5, 0) != 0 || Delay(5, 4.5) != 0.5 || Delay(9, 4.5) != 0 {
		t.Error("wrong delay")
	}
}

// Any change keeps the counts that rules depend on, and a slot never counts as less used than it was.
func TestDiscardStale(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var changed []Section
		for _, r := range Rules {
			if rapid.Bool().Draw(t, string(r.Section)) {
				changed = append(changed, r.Section)
			}
		}
		m := choice.Snapshot{FirstSetups: []float64{1, 2}, Retries: []float64{2}, Servers: []choice.ServerSnapshot{{ID: 3, Slot: 7, SlotSetups: 2, StartedAt: 5}},
			Uplinks: []choice.LinkSnapshot{{NominalCapacity: 1}}}
		p := NewPlan(Change{Sections: changed})
		k := p.DiscardStale(m)
		if !slices.Equal(k.FirstSetups, m.FirstSetups) || !slices.Equal(k.Retries, m.Retries) || k.Servers[0].StartedAt != 5 || m.Servers[0].Slot != 7 {
			t.Fatalf("%v: %+v of %+v", changed, k, m)
		}
		if s := k.Servers[0]; s.Slot >= 0 && s.SlotSetups != 2 || (s.Slot < 0) != (slices.Contains(changed, "cold") || slices.Contains(changed, "kind")) {
			t.Fatalf("%v: %+v", changed, s)
		}
		if len(p.Rejections) > 0 && p.Actions != 0 {
			t.Fatalf("%v: rejected, but with actions %b", changed, p.Actions)
		}
	})
}
