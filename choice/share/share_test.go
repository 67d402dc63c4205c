package share

import "testing"

// Viewers, servers and what the program keeps fit into every limit that machines have.
func TestDescriptors(t *testing.T) {
	for sockets := 64; sockets <= 1024; sockets += 64 {
		for servers := 1; servers <= 20; servers++ {
			if all := MaxViewerConns(sockets, 0) + servers*MaxConnsPerServer(sockets, servers) + 5; all > sockets {
				t.Errorf("%d descriptors, %d servers: %d held", sockets, servers, all)
			}
		}
		if 3*MaxViewerConns(sockets, 0) <= sockets {
			t.Errorf("%d descriptors: usual viewers may hold a third", sockets)
		}
	}
}

func TestWhoGivesWay(t *testing.T) {
	const now = 100
	order := []ConnUsage{{OpenedAt: 99}, {SentMessage: true}, {SentMessage: true, RequestedSession: true}, {OpenedAt: now}, {SentMessage: true, RequestedSession: true, Established: 1}}
	for i := 1; i < len(order); i++ {
		if order[i-1].EvictionRank(now) >= order[i].EvictionRank(now) {
			t.Errorf("%+v does not go before %+v", order[i-1], order[i])
		}
	}
	if (ConnUsage{SentMessage: true, Pending: 1}).EvictionRank(now) >= 0 {
		t.Error("one that is owed an answer gives way")
	}
}

func TestWhoCarries(t *testing.T) {
	up, opening := ServerConn{Up: true}, ServerConn{Pending: 1}
	busy := ServerConn{Up: true, Pending: 2}
	for name, c := range map[string]struct {
		list          []ServerConn
		most, streams int
		want          int
	}{
		"none yet":                   {nil, 4, 0, OpenNew},
		"none may be":                {nil, 0, 0, NoConn},
		"a free one":                 {[]ServerConn{busy, up}, 4, 0, 1},
		"the free one last used":     {[]ServerConn{{Up: true, LastUsed: 1}, {Up: true, LastUsed: 2}}, 4, 0, 1},
		"all carry":                  {[]ServerConn{busy, opening}, 4, 0, OpenNew},
		"all carry, no more":         {[]ServerConn{busy, opening}, 2, 0, 1},
		"all carry all they may":     {[]ServerConn{busy, busy}, 2, 2, NoConn},
		"one that opens for nothing": {[]ServerConn{{}}, 4, 0, 0},
	} {
		if got := PickConn(c.list, c.most, c.streams); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}

func TestDrainEndsBeforeTheKill(t *testing.T) {
	for _, s := range []float64{0.5, 1.8, 3, 9} {
		if d := DrainSeconds(s); d >= min(s, 3)+0.7 || d < min(s, 3) {
			t.Errorf("%v s: %v", s, d)
		}
	}
}

func TestUnusedSenselessTooMany(t *testing.T) {
	idle := ConnUsage{SentMessage: true, LastUsed: 10}
	if idle.Idle(15) || !idle.Idle(17) || (ConnUsage{SentMessage: true, Established: 1}).Idle(99) || (ConnUsage{SentMessage: true, Pending: 1}).Idle(99) {
		t.Error("idle")
	}
	if (ConnUsage{Malformed: 7}).TooManyMalformed() || !(ConnUsage{Malformed: 8}).TooManyMalformed() || (ConnUsage{Malformed: 8, Established: 1}).TooManyMalformed() {
		t.Error("senseless")
	}
	if (ConnUsage{Pending: 63}).TooManyPending(511) || !(ConnUsage{Pending: 64}).TooManyPending(0) || !(ConnUsage{}).TooManyPending(512) {
		t.Error("too many")
	}
	if Stale(124, 100, 30) || !Stale(125, 100, 30) || Stale(1e9, 0, 0) {
		t.Error("stale")
	}
}

// Viewers' and servers' connections together leave a tenth of the descriptors, whoever comes first and however many
// servers there are; usual viewers always have their third.
func TestATenthIsNobodys(t *testing.T) {
	for sockets := 128; sockets <= 1024; sockets += 64 {
		for servers := 0; servers <= MaxServerConns(sockets); servers++ {
			if v := MaxViewerConns(sockets, servers); v+servers > sockets*90/100 || 3*v <= sockets {
				t.Errorf("%d descriptors: %d viewers beside %d connections to servers", sockets, v, servers)
			}
		}
	}
}

func TestWhoYields(t *testing.T) {
	for name, c := range map[string]struct {
		list []ServerConn
		want int
	}{
		"none":                {nil, NoConn},
		"all carry":           {[]ServerConn{{Up: true, Pending: 1}, {Pending: 1}}, NoConn},
		"one is being opened": {[]ServerConn{{LastUsed: 1}}, NoConn},
		"the longest unused":  {[]ServerConn{{Up: true, LastUsed: 5}, {Up: true, Pending: 1, LastUsed: 1}, {Up: true, LastUsed: 3}}, 2},
	} {
		if got := PickIdle(c.list); got != c.want {
			t.Errorf("%s: %d, not %d", name, got, c.want)
		}
	}
}
