package decisionlog

import (
	"fmt"
	"strings"
	"testing"

	"rainhaven/choice"
)

func TestRingKeepsNewestEntries(t *testing.T) {
	var r Ring
	for i := range capacity + 10 {
		r.Record(Entry{At: float64(i), Session: choice.SessID(fmt.Sprint(i % (capacity / 2))), Kind: Requested})
	}
	if n := len(r.entries); n != capacity {
		t.Fatalf("%d entries kept, want %d", n, capacity)
	}
	if l := r.ForSession("3"); len(l) != 2 || l[0].At >= l[1].At || l[1].At != capacity+3 {
		t.Errorf("%+v", l)
	}
	if l := r.ForSession("20"); len(l) != 2 || l[0].At != 20 {
		t.Errorf("%+v", l)
	}
	if r.LastRejected() != "" {
		t.Error("LastRejected is not empty without a rejection")
	}
	r.Record(Entry{Session: "x", Kind: BusyReplied})
	r.Record(Entry{Session: "y", Kind: Requested})
	if r.LastRejected() != "x" {
		t.Errorf("LastRejected = %q, want x", r.LastRejected())
	}
}

func TestBusyReplyReasons(t *testing.T) {
	free := choice.HolderState{State: choice.Ready, Headroom: 5}
	for want, e := range map[string]Entry{
		"all seats":            {Snapshot: choice.SessionState{SeatsTaken: true, Holders: []choice.HolderState{free}}},
		"the retry budget":     {Snapshot: choice.SessionState{SetupsSent: 1, RetriesSpent: true, Holders: []choice.HolderState{free}}},
		"no listed box":        {},
		"no holder may get it": {Snapshot: choice.SessionState{Holders: []choice.HolderState{{State: choice.Ready, Ejected: true}, {State: choice.Ready, Full: true}, {State: choice.Ready, NoSlot: true}}}},
		"used up":              {Snapshot: choice.SessionState{SetupsSent: 3, Holders: []choice.HolderState{free}}},
		"past twice":           {Snapshot: choice.SessionState{Holders: []choice.HolderState{free}}},
	} {
		var r Ring
		e.Kind, e.Session = BusyReplied, "s"
		r.Record(e)
		if l := Explain(r.ForSession("s")); len(l) != 1 || !strings.Contains(l[0], want) {
			t.Errorf("%s: %q", want, l)
		}
	}
}
