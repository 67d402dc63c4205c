package share

import "testing"

// The connections of viewers and servers and five descriptors of the program itself fit into every usual limit.
func TestDescriptors(t *testing.T) {
	for sockets := 64; sockets <= 1024; sockets += 64 {
		for servers := 1; servers <= 20; servers++ {
			if all := MaxViewerConns(sockets, 0) + servers*MaxConnsPerServer(sockets, servers) + 5; all > sockets {
				t.Errorf("%d descriptors, %d servers: %d in use", sockets, servers, all)
			}
		}
		if 3*MaxViewerConns(sockets, 0) <= sockets {
			t.Errorf("%d descriptors: viewers may not hold more than a third", sockets)
		}
	}
}

func TestEvictionOrder(t *testing.T) {
	const now = 100
	order := []ConnUsage{{OpenedAt: 99}, {SentMessage: true}, {SentMessage: true, RequestedSession: true}, {OpenedAt: now}, {SentMessage: true, RequestedSession: true, Established: 1}}
	for i := 1; i < len(order); i++ {
		if order[i-1].EvictionRank(now) >= order[i].EvictionRank(now) {
			t.Errorf("%+v is not closed before %+v", order[i-1], order[i])
		}
	}
	if (ConnUsage{SentMessage: true, Pending: 1}).EvictionRank(now) >= 0 {
		t.Error("a connection with an unanswered request may be closed")
	}
}

func TestPickConn(t *testing.T) {
	up, opening := ServerConn{Up: true}, ServerConn{Pending: 1}
	busy := ServerConn{Up: true, Pending: 2}
	for name, c := range map[string]struct {
		list                 []ServerConn
		maxConns, maxPerConn int
		want                 int
	}{
		"no connection yet":         {nil, 4, 0, OpenNew},
		"no connection allowed":     {nil, 0, 0, NoConn},
		"one is free":               {[]ServerConn{busy, up}, 4, 0, 1},
		"the free one used last":    {[]ServerConn{{Up: true, LastUsed: 1}, {Up: true, LastUsed: 2}}, 4, 0, 1},
		"all busy":                  {[]ServerConn{busy, opening}, 4, 0, OpenNew},
		"all busy, no more allowed": {[]ServerConn{busy, opening}, 2, 0, 1},
		"all full":                  {[]ServerConn{busy, busy}, 2, 2, NoConn},
		"opening, nothing pending":  {[]ServerConn{{}}, 4, 0, 0},
	} {
		if got := PickConn(c.list, c.maxConns, c.maxPerConn); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}

func TestDrainEndsBeforeSIGKILL(t *testing.T) {
	for _, s := range []float64{0.5, 1.8, 3, 9} {
		if d := DrainSeconds(s); d >= min(s, 3)+0.7 || d < min(s, 3) {
			t.Errorf("setup timeout %v s: drain of %v s", s, d)
		}
	}
}

func TestIdleMalformedPendingStale(t *testing.T) {
	idle := ConnUsage{SentMessage: true, LastUsed: 10}
	if idle.Idle(15) || !idle.Idle(17) || (ConnUsage{SentMessage: true, Established: 1}).Idle(99) || (ConnUsage{SentMessage: true, Pending: 1}).Idle(99) {
		t.Error("idle")
	}
	if (ConnUsage{Malformed: 7}).TooManyMalformed() || !(ConnUsage{Malformed: 8}).TooManyMalformed() || (ConnUsage{Malformed: 8, Established: 1}).TooManyMalformed() {
		t.Error("too many malformed")
	}
	if (ConnUsage{Pending: 63}).TooManyPending(511) || !(ConnUsage{Pending: 64}).TooManyPending(0) || !(ConnUsage{}).TooManyPending(512) {
		t.Error("too many pending")
	}
	if Stale(124, 100, 30) || !Stale(125, 100, 30) || Stale(1e9, 0, 0) {
		t.Error("stale")
	}
}

// Viewers' and servers' connections together leave a tenth of the descriptors, whichever come first and for any number of
// servers; viewers may always hold more than a third.
func TestReservedDescriptors(t *testing.T) {
	for sockets := 128; sockets <= 1024; sockets += 64 {
		for servers := 0; servers <= MaxServerConns(sockets); servers++ {
			if v := MaxViewerConns(sockets, servers); v+servers > sockets*90/100 || 3*v <= sockets {
				t.Errorf("%d descriptors: %d viewers' connections and %d to servers", sockets, v, servers)
			}
		}
	}
}

func TestPickIdle(t *testing.T) {
	for name, c := range map[string]struct {
		list []ServerConn
		want int
	}{
		"none":               {nil, NoConn},
		"all busy":           {[]ServerConn{{Up: true, Pending: 1}, {Pending: 1}}, NoConn},
		"being opened":       {[]ServerConn{{LastUsed: 1}}, NoConn},
		"the longest unused": {[]ServerConn{{Up: true, LastUsed: 5}, {Up: true, Pending: 1, LastUsed: 1}, {Up: true, LastUsed: 3}}, 2},
	} {
		if got := PickIdle(c.list); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}

// A server's only open connection is not closed while it has sessions, and is kept in use once no other can be opened.
func TestOnlyOpenConnection(t *testing.T) {
	for _, c := range []struct {
		gone           bool
		sessions, open int
		evict, keep    bool
	}{
		{false, 0, 1, true, false},
		{false, 3, 1, false, false},
		{false, 3, 2, true, false},
		{true, 0, 1, true, false},
		{true, 3, 1, false, true},
		{true, 3, 2, true, false},
	} {
		if evict, keep := MayEvict(c.sessions, c.open), MustKeep(c.gone, c.sessions, c.open); evict != c.evict || keep != c.keep {
			t.Errorf("%+v: evict %v, keep %v", c, evict, keep)
		}
	}
}
