package choice

import (
	"math"
	"math/rand"
	"slices"
	"testing"
	"testing/quick"
)

// The rules hold after each step, whatever happens.
func TestRules(t *testing.T) {
	check := func(seed int64) bool {
		w := newWorld(seed, 1+int(uint64(seed)%3))
		for range 400 {
			w.step()
			if len(w.wrong) > 0 {
				t.Logf("seed %d at %.3f: %v", seed, w.now, w.wrong)
				return false
			}
		}
		return true
	}
	if err := quick.Check(check, &quick.Config{MaxCount: 60, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}

func plain(group int) Request {
	return Request{Group: group, Title: "t", CellCount: 3, BestRung: 3, SetupTimeout: 104}
}

// alone is one front on an idle fleet.
func alone(change func(*Config)) *mock {
	w := newWorld(1, 1)
	if change != nil {
		change(&w.fig)
		w.fronts[0].start(0)
	}
	return w.fronts[0]
}

func (m *mock) play(q *req) {
	m.settle()
	q.out, q.plays = false, true
	m.f.SetupDone(q.ID)
}

func TestIdleFleetGivesTheTopRung(t *testing.T) {
	m := alone(nil)
	q := m.ask(plain(0))
	if m.settle(); !q.out || q.rung != 3 {
		t.Errorf("out %v at rung %d", q.out, q.rung)
	}
}

func TestCrowdedLinksScaleTheOthersFirst(t *testing.T) {
	m := alone(func(s *Config) { s.FleetLinkCapacity, s.Groups[0].Seats = 24000, 0 })
	var last [2]*req
	for range 4 {
		for g := range last {
			last[g] = m.ask(plain(g))
			m.play(last[g])
		}
	}
	if last[0].rung <= last[1].rung || last[1].rung == 3 {
		t.Errorf("premium plays at rung %d, the other group at %d", last[0].rung, last[1].rung)
	}
}

func TestPastDoubleOnlyWhatFitsIsLetIn(t *testing.T) {
	m := alone(func(s *Config) { s.FleetLinkCapacity = 6000 })
	for range 30 {
		q := m.ask(plain(1))
		if m.settle(); !q.done {
			m.play(q)
		}
	}
	if n := len(m.order) - m.busy; m.busy == 0 || n > 18 {
		t.Errorf("%d busy replies, %d let in", m.busy, n)
	}
}

func TestPlayingSessionsFollowDownAndUp(t *testing.T) {
	m := alone(nil)
	q := m.ask(plain(1))
	m.play(q)
	run := func(seconds, load float64) {
		for range int(seconds * 4) {
			m.w.now += 0.25
			m.f.SetTime(m.w.now)
			m.f.LoadNote(q.ID, q.on, load, false)
			m.f.HandleTimer()
			m.settle()
		}
	}
	if run(20, 2); q.rung > 1 {
		t.Errorf("a link asked twice over leaves rung %d", q.rung)
	}
	if run(60, 0.1); q.rung != 3 {
		t.Errorf("an idle link leaves rung %d", q.rung)
	}
}

func TestSilentServerIsSetAsideUntilItAnswersProbes(t *testing.T) {
	m := alone(nil)
	q := m.ask(plain(1))
	m.settle()
	bad := q.on
	m.end(q, TimedOut, false)
	if m.f.Reconcile(); len(m.probes) != 1 || m.probes[0] != bad {
		t.Fatalf("probed %v, not %d", m.probes, bad)
	}
	m.probes = nil
	m.f.ProbeEnded(bad, TimedOut, LoadReport{Link: -1, Uplink: -1})
	for range 12 {
		p := m.ask(plain(1))
		if m.settle(); p.on == bad {
			t.Fatal("a SETUP went to the silent server")
		}
	}
	for range 20 {
		m.w.now += 0.25
		m.f.SetTime(m.w.now)
		m.f.HandleTimer()
		m.ask(plain(1))
		m.settle()
	}
	if m.f.server(bad).aside {
		t.Error("it answered probes and is still set aside")
	}
}

// One SETUP that goes wrong while the server lives: it is back at the first probe, and warm. After a refused connection,
// or a probe that comes late, it is not.
func TestOneSetupGoneWrongIsNoDeadServer(t *testing.T) {
	for name, c := range map[string]struct {
		o     Outcome
		later float64
		back  bool
	}{"slow": {TimedOut, 0.05, true}, "cut": {Reset, 0.05, true}, "refused": {NoConnection, 0.05, false}, "late": {TimedOut, 0.6, false}} {
		m := alone(nil)
		q := m.ask(plain(1))
		m.settle()
		sv := m.f.server(q.on)
		m.end(q, c.o, false)
		m.f.Reconcile()
		m.w.now += c.later
		m.f.SetTime(m.w.now)
		m.f.ProbeEnded(sv.id, Served, LoadReport{Link: -1, Uplink: -1})
		if sv.aside == c.back || sv.born > 0 {
			t.Errorf("%s: set aside %v, cold since %v", name, sv.aside, sv.born)
		}
	}
}

func TestPaidSessionThatMayHaveRunIsTornDown(t *testing.T) {
	m := alone(nil)
	q := m.ask(plain(0))
	m.settle()
	m.end(q, TimedOut, false)
	if m.settle(); m.torn != 1 || q.sent != 1 {
		t.Errorf("torn down %d times after %d SETUPs", m.torn, q.sent)
	}
}

// A short note is the link's, unless the uplink's newest report says that this is full.
func TestWhoseShortNoteItIs(t *testing.T) {
	for load, want := range map[float64]bool{0.5: false, 1.1: true} {
		m := alone(nil)
		m.f.hear(m.f.uplinks[0], load, 0)
		if m.f.ShortDelivery(10, 0.8); (m.f.uplinks[0].lift > 0) != want || (m.f.server(10).link.lift > 0) == want {
			t.Errorf("uplink told %.1f: lifted to %.0f, the link to %.0f", load, m.f.uplinks[0].lift, m.f.server(10).link.lift)
		}
	}
}

func TestNextToNothingDeliveredSetsAside(t *testing.T) {
	m := alone(nil)
	m.f.ShortDelivery(10, 0.1)
	if s := m.f.server(10); !s.aside || s.link.read > 0 {
		t.Error("a server that hangs is taken for a crowded link")
	}
}

func TestTablesAreEmptied(t *testing.T) {
	m := alone(nil)
	for range 200 {
		m.w.now += 1
		q := m.ask(plain(1))
		m.play(q)
		m.end(q, Served, true)
		m.settle()
	}
	if n := len(m.f.taken) + len(m.f.sess) + len(m.f.seats) + len(m.f.further) + len(m.f.touched); n > 12 {
		t.Errorf("%d entries are left in the tables", n)
	}
}

func TestWarmingScalesWhatIsToldOnly(t *testing.T) {
	m := alone(nil)
	s := m.f.server(10)
	s.born = m.w.now
	if told := m.f.target(s.link, s); told > 0.5*s.link.told {
		t.Errorf("target %.0f of a cold link told as %.0f", told, s.link.told)
	}
	m.w.now++
	m.f.SetTime(m.w.now)
	m.f.hear(s.link, 0.5, 0)
	if seen := m.f.target(s.link, s); seen < 0.9*s.link.told {
		t.Errorf("target %.0f of a link told as %.0f and read since", seen, s.link.told)
	}
}

func TestInACrushPremiumLeadsABoundedCut(t *testing.T) {
	m := alone(func(s *Config) { s.Groups[0].Seats = 0 })
	// Others are read to ask nothing.
	l, s := &link{told: 1000, size: 1000, smoothed: m.w.now, read: m.w.now}, &sess{group: &m.f.groups[0]}
	cases := []struct{ others, premium, want float64 }{{0, 500, 0.5}, {900, 900, 1.4}, {9000, 900, 7.6}}
	for _, c := range cases {
		l.demand = [2]float64{c.others, c.premium}
		if own, _ := m.f.pressure(l, nil, s, 0); own < c.want*0.99 || own > c.want*1.1 {
			t.Errorf("%.0f and %.0f asked: pressure %.2f, not about %.2f", c.others, c.premium, own, c.want)
		}
	}
}

// A front that was restarted may have used the present slot before.
func TestRestartedFrontLeavesItsFirstSlot(t *testing.T) {
	w := newWorld(1, 1)
	m := w.fronts[0]
	w.born[10] = w.now - 3
	m.start(0)
	if s := m.f.server(10); m.f.open(s) {
		t.Error("a SETUP may go to a cold server in the slot of the start")
	} else if m.f.now += m.f.slot; !m.f.open(s) {
		t.Error("the next slot stays shut")
	}
}

// Among many fronts what others ask shows in a link's load alone, over the fraction sessions play at.
func TestOthersDemandIsReckonedFromALinksLoad(t *testing.T) {
	for _, fronts := range []int{2, 300} {
		m := alone(func(s *Config) { s.Fronts = fronts })
		r := plain(1)
		r.ID = "x"
		m.f.AddHandedOver(r, 10)
		m.f.SetCurrentRung("x", 2)
		sv := m.f.server(10)
		m.f.hear(sv.link, 0.9, 0)
		s := m.f.sess["x"]
		if _, p := m.f.pressure(sv.link, sv, s, 0); p < 1.5 || p > 2.4 {
			t.Errorf("%d fronts: pressure %.2f at a load of 0.9 with sessions at about half", fronts, p)
		}
		if room := m.f.room(sv); room > 0.1*sv.link.told {
			t.Errorf("%d fronts: room %.0f on a link told as %.0f at a load of 0.9", fronts, room, sv.link.told)
		}
	}
}

// Many fronts that hear the same late note: their steps together take about the excess, not all they hold.
func TestFrontsThatHearTheSameStepByChance(t *testing.T) {
	stepped, n := 0, 200
	for i := range n {
		m := alone(func(s *Config) { s.Fronts = n })
		m.f.mwc = uint64(i*7919 + 1)
		r := plain(1)
		r.ID = "x"
		m.f.AddHandedOver(r, 10)
		m.f.SetCurrentRung("x", 3)
		m.f.hear(m.f.server(10).link, 1.2, 0)
		m.f.lower(m.f.server(10).link, m.f.server(10))
		if m.f.sess["x"].wantRung < 3 {
			stepped++
		}
	}
	if stepped < n/10 || stepped > n*6/10 {
		t.Errorf("%d of %d fronts step down by half or more for a fifth too much", stepped, n)
	}
}

// A front that heard of no holder has the likeliest probed and does without where that is full; a probe not
// answered does not hold the request.
func TestAnUnheardHolderIsProbedFirst(t *testing.T) {
	m := alone(nil)
	q := m.ask(plain(1))
	if m.f.Reconcile(); len(m.probes) != 1 || q.out {
		t.Fatalf("%d probes, out %v", len(m.probes), q.out)
	}
	m.f.ProbeEnded(m.probes[0], Served, LoadReport{Link: 1.4, Uplink: -1})
	if m.f.Reconcile(); !q.out || q.on == m.probes[0] {
		t.Errorf("out %v on %d", q.out, q.on)
	}
	p := m.ask(plain(1))
	m.f.Reconcile()
	m.w.now += 0.3
	m.f.SetTime(m.w.now)
	m.f.HandleTimer()
	if m.f.Reconcile(); !p.out {
		t.Error("a request waits on for a probe that is not answered")
	}
}

// Where a probe costs more than it can earn, no request waits for one: its SETUP goes out at once.
func TestNoLookWhereProbesAreDear(t *testing.T) {
	for price, want := range map[float64]int{0: 1, 0.014: 1, 0.08: 0} {
		m := alone(func(s *Config) { s.ProbePrice = price })
		q := m.ask(plain(1))
		if m.f.Reconcile(); len(m.probes) != want || q.out == (want > 0) {
			t.Errorf("at a price of %v: %d probes, out %v", price, len(m.probes), q.out)
		}
	}
}

// A capped reading near its cap tells that a link is full, but not that it is less than was known.
func TestACappedReadingOnlyRaisesWhatIsKnown(t *testing.T) {
	m := alone(func(s *Config) { s.Fronts = 50 })
	s := m.f.server(10)
	m.f.report(s, LoadReport{Link: 0.98, Capped: true, Uplink: -1}, 0)
	if x := m.f.others(s.link) / s.link.size; x < 0.9 {
		t.Errorf("a link told full is known at %.2f", x)
	}
	m.f.hear(s.link, 1.6, 0)
	m.f.report(s, LoadReport{Link: 0.98, Capped: true, Uplink: -1}, 0)
	if x := m.f.others(s.link) / s.link.size; x < 1.2 {
		t.Errorf("a link known over full is lowered to %.2f by a capped reading", x)
	}
}

// A crowd comes faster than readings tell: others' demand grows with the front's own, at most double.
func TestACrowdRaisesOthersDemandBetweenReadings(t *testing.T) {
	m := alone(func(s *Config) { s.Fronts = 50 })
	hand := func(n int, name string) {
		for i := range n {
			r := plain(1)
			r.ID = SessID(name + string(rune('a'+i)))
			m.f.AddHandedOver(r, 12)
			m.f.SetCurrentRung(r.ID, 2)
		}
	}
	hand(4, "few") // a front just started fills of itself, but not one that is handed its sessions
	l := m.f.server(10).link
	m.f.hear(l, 0.4, 0)
	m.w.now += 0.5
	m.f.SetTime(m.w.now)
	before := m.f.others(l)
	hand(12, "crowd")
	m.w.now += 0.5
	m.f.SetTime(m.w.now)
	if after := m.f.others(l); after < 1.3*before || after > 2.1*before {
		t.Errorf("others ask %.0f, then %.0f with four times the own sessions", before, after)
	}
	// As the own sessions go down, so do others': an old word of a crush must not hold all on low rungs.
	for _, s := range m.f.sess {
		s.wantRung = 0
	}
	m.w.now += 0.5
	m.f.SetTime(m.w.now)
	if after := m.f.others(l); after > 0.7*before {
		t.Errorf("others ask %.0f, then %.0f with the own sessions at the lowest rung", before, after)
	}
}

// Other fronts' sums count beside the own ones; what is malformed, forbidden or at odds with itself doesn't.
func TestMessagesOfOtherFronts(t *testing.T) {
	m := alone(func(s *Config) { s.Fronts, s.PeerMessages = 50, true })
	part := func() float64 { m.f.pooled = 0; m.f.pool(); return m.f.fraction }
	was := part()
	low := sealMix(mix{40000, 0, 4000, 0, 3, 10})
	for _, words := range [][]byte{nil, {}, low[:12], append([]byte{9}, low[1:]...), append(low[:13:13], 0),
		sealMix(mix{1000, 0, 4000, 0, 3, 10})} {
		if m.f.ReceiveMessage(words); part() != was {
			t.Errorf("% x counts", words)
		}
	}
	if m.f.ReceiveMessage(low); part() > 0.7*was {
		t.Errorf("others play at %.2f, was %.2f", part(), was)
	}
	if m.f.SetTime(m.w.now + 100); math.Abs(part()-was) > 0.01 {
		t.Errorf("others play at %.2f long after the last message", part())
	}
	if big, ok := openMix(sealMix(mix{4e6, 2e6, 2e6, 1e6, 50, 100})); !ok || math.Abs(big[2]/big[0]-0.5) > 0.01 || big[0] > 7e5 {
		t.Error("large sums are told as", big)
	}
	m.ask(plain(1))
	if m.settle(); len(m.told) != 6 || len(m.told[0]) != 13 {
		t.Errorf("%d messages for a request", len(m.told))
	}
	quiet := alone(func(s *Config) { s.Fronts = 50 })
	quiet.f.ReceiveMessage(low)
	quiet.ask(plain(1))
	if quiet.settle(); len(quiet.told) > 0 || quiet.f.heard != (mix{}) {
		t.Error("messages where none are allowed")
	}
}

// Viewers of a live title share a stream: each further one adds a part of the rate, and a server that has the
// stream is worth what joining saves there.
func TestLiveViewersShareAStream(t *testing.T) {
	m := alone(func(s *Config) { s.Groups[1].AddedRateShare = 0.3 })
	for _, id := range []SessID{"a", "b"} {
		r := plain(1)
		r.ID = id
		m.f.AddHandedOver(r, 11)
		m.f.SetCurrentRung(id, 3)
	}
	sv := m.f.server(11)
	if first := m.f.sess["a"].part; sv.link.asks(false) != (first+0.3)*2000 {
		t.Errorf("two viewers ask %.0f, the first one %.1f of its rate", sv.link.asks(false), first)
	}
	m.f.hear(sv.link, 0.3, 0)
	m.f.hear(m.f.server(10).link, 0.32, 0)
	m.f.hear(m.f.server(12).link, 0.32, 0)
	q := m.ask(plain(1))
	if m.settle(); q.on != 11 {
		t.Errorf("a third viewer is at %d, the stream at 11", q.on)
	}
}

// A server that none prefers is as good as a preferred one to a front that has a viewer of the title there.
func TestOwnViewersMakeAStream(t *testing.T) {
	m := alone(func(s *Config) { s.Groups[1].AddedRateShare = 0.3 })
	r := plain(1)
	sv := m.f.servers[slices.IndexFunc(m.f.servers, func(s *server) bool { return hash(r.Title, s.id)%8 != 0 })]
	s := m.f.admit(r)
	if p := m.f.part(s, sv); p != 1 {
		t.Fatalf("a first viewer adds %.1f of its rate", p)
	}
	r.ID = "there"
	if m.f.AddHandedOver(r, sv.id); m.f.part(s, sv) != 0.3 {
		t.Errorf("a second viewer adds %.1f of its rate", m.f.part(s, sv))
	}
}

// Where no load is told while sessions play, they rise by the usual load; old words of links make way for new ones.
func TestSessionsOfLinksNotHeardOfRise(t *testing.T) {
	m := alone(func(s *Config) { s.Fronts, s.Probes, s.NoteInterval, s.FleetLinkCapacity = 50, false, 0, 120000 })
	r := plain(1)
	r.ID = "low"
	m.f.AddHandedOver(r, 10)
	m.f.hear(m.f.server(11).link, 2, 0)
	for range 240 {
		m.w.now += 0.25
		m.f.SetTime(m.w.now)
		if m.w.now > 115 {
			m.f.hear(m.f.server(12).link, 0.1, 0)
		}
		m.f.HandleTimer()
		m.f.Reconcile()
	}
	if u := m.f.usual[0]; u > 0.5 {
		t.Errorf("usual load %.2f, 60 s after a word of 2 and with 0.1 since", u)
	}
	if s := m.f.sess["low"]; s.wantRung == 0 {
		t.Error("it stays on the lowest rung of a link that is not heard of")
	}
}

// Requests withdrawn before any SETUP left earn no further SETUPs; those that had one earn their share.
func TestOnlyFirstSetupsEarnFurtherOnes(t *testing.T) {
	further := func(withdrawn int) int {
		m := alone(func(s *Config) { s.BaseRetries, s.RetriesPerSession, s.MaxSetups, s.Probes = 2, 0.5, 4, false })
		for range withdrawn {
			m.f.RequestClosed(m.ask(plain(1)).ID)
		}
		m.settle()
		for range 4 {
			q := m.ask(plain(1))
			for m.settle(); q.out; m.settle() {
				m.end(q, Unsent, false)
			}
		}
		for _, wrong := range m.w.wrong {
			t.Error(wrong)
		}
		return len(m.further)
	}
	if a, b := further(0), further(100); a != 4 || b != a {
		t.Errorf("%d further SETUPs, %d beside a hundred requests withdrawn at once; 2 and half of 4 are due", a, b)
	}
}

// Once it is stopped nothing is placed: who waits for a probe or has had a SETUP in vain gets its answer by the usual terms.
func TestStop(t *testing.T) {
	for _, c := range []struct {
		group int
		o     Outcome
		busy  bool
	}{{0, Full, true}, {0, TimedOut, false}, {0, Unsent, true}, {1, TimedOut, true}} {
		m := alone(func(s *Config) { s.MaxSetups = 4 })
		out := m.ask(plain(c.group))
		m.settle()
		waits := m.ask(Request{Group: 0, Title: "u", StartCell: 3, CellCount: 3, BestRung: 3, SetupTimeout: 104})
		m.f.Reconcile()
		if !out.out || waits.out || len(m.f.waiting) != 1 {
			t.Fatal("one is to be out, one to wait for a probe")
		}
		m.f.Stop()
		m.settle()
		m.end(out, c.o, false)
		late := m.ask(plain(1))
		m.settle()
		if !waits.done || !out.done || !late.done || late.sent+waits.sent > 0 || out.sent != 1 || m.torn == 1 == c.busy || m.busy+m.torn != 3 {
			t.Errorf("%+v: %d busy, %d torn down", c, m.busy, m.torn)
		}
	}
}
