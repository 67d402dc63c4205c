package account

import (
	"fmt"
	"strings"
	"testing"

	"rainhaven/choice"
)

func TestTheRingKeepsTheNewest(t *testing.T) {
	var r Ring
	for i := range most + 10 {
		r.Note(Entry{At: float64(i), Sess: choice.SessID(fmt.Sprint(i % (most / 2))), Act: Asked})
	}
	if n := len(r.list); n != most {
		t.Fatalf("%d entries", n)
	}
	if l := r.Of("3"); len(l) != 2 || l[0].At >= l[1].At || l[1].At != most+3 {
		t.Errorf("%+v", l)
	}
	if l := r.Of("20"); len(l) != 2 || l[0].At != 20 {
		t.Errorf("%+v", l)
	}
	if r.Turned() != "" {
		t.Error("none was turned away")
	}
	r.Note(Entry{Sess: "x", Act: Busy})
	r.Note(Entry{Sess: "y", Act: Asked})
	if r.Turned() != "x" {
		t.Errorf("turned away last: %q", r.Turned())
	}
}

func TestWhyBusy(t *testing.T) {
	free := choice.HolderState{State: choice.Ready, Headroom: 5}
	for want, e := range map[string]Entry{
		"all seats":            {Standing: choice.SessionState{SeatsTaken: true, Holders: []choice.HolderState{free}}},
		"the ration":           {Standing: choice.SessionState{SetupsSent: 1, RetriesSpent: true, Holders: []choice.HolderState{free}}},
		"no box of the list":   {},
		"no holder may get it": {Standing: choice.SessionState{Holders: []choice.HolderState{{State: choice.Ready, Ejected: true}, {State: choice.Ready, Full: true}, {State: choice.Ready, NoSlot: true}}}},
		"used up":              {Standing: choice.SessionState{SetupsSent: 3, Holders: []choice.HolderState{free}}},
		"past twice":           {Standing: choice.SessionState{Holders: []choice.HolderState{free}}},
	} {
		var r Ring
		e.Act, e.Sess = Busy, "s"
		r.Note(e)
		if l := Say(r.Of("s")); len(l) != 1 || !strings.Contains(l[0], want) {
			t.Errorf("%s: %q", want, l)
		}
	}
}
