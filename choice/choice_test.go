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
		w := newSimulation(seed, 1+int(uint64(seed)%3))
		for range 400 {
			w.step()
			if len(w.violations) > 0 {
				t.Logf("seed %d at %.3f: %v", seed, w.now, w.violations)
				return false
			}
		}
		return true
	}
	if err := quick.Check(check, &quick.Config{MaxCount: 60, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}

func testRequest(group int) Request {
	return Request{Group: group, Title: "t", CellCount: 3, BestRung: 3, SetupTimeout: 104}
}

// newIdleFront is one front on an idle fleet.
func newIdleFront(change func(*Config)) *simulatedFront {
	w := newSimulation(1, 1)
	if change != nil {
		change(&w.config)
		w.fronts[0].start(0)
	}
	return w.fronts[0]
}

func (m *simulatedFront) establish(q *simRequest) {
	m.reconcile()
	q.inFlight, q.playing = false, true
	m.front.SetupDone(q.ID)
}

func TestIdleFleetGivesTheTopRung(t *testing.T) {
	m := newIdleFront(nil)
	q := m.request(testRequest(0))
	if m.reconcile(); !q.inFlight || q.rung != 3 {
		t.Errorf("out %v at rung %d", q.inFlight, q.rung)
	}
}

func TestCrowdedLinksScaleTheOthersFirst(t *testing.T) {
	m := newIdleFront(func(s *Config) { s.FleetLinkCapacity, s.Groups[0].Seats = 24000, 0 })
	var last [2]*simRequest
	for range 4 {
		for g := range last {
			last[g] = m.request(testRequest(g))
			m.establish(last[g])
		}
	}
	if last[0].rung <= last[1].rung || last[1].rung == 3 {
		t.Errorf("premium plays at rung %d, the other group at %d", last[0].rung, last[1].rung)
	}
}

func TestPastDoubleOnlyWhatFitsIsLetIn(t *testing.T) {
	m := newIdleFront(func(s *Config) { s.FleetLinkCapacity = 6000 })
	for range 30 {
		q := m.request(testRequest(1))
		if m.reconcile(); !q.answered {
			m.establish(q)
		}
	}
	if n := len(m.openIDs) - m.busyReplies; m.busyReplies == 0 || n > 18 {
		t.Errorf("%d busy replies, %d let in", m.busyReplies, n)
	}
}

func TestPlayingSessionsFollowDownAndUp(t *testing.T) {
	m := newIdleFront(nil)
	q := m.request(testRequest(1))
	m.establish(q)
	run := func(seconds, load float64) {
		for range int(seconds * 4) {
			m.sim.now += 0.25
			m.front.SetTime(m.sim.now)
			m.front.LoadNote(q.ID, q.server, load, false)
			m.front.HandleTimer()
			m.reconcile()
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
	m := newIdleFront(nil)
	q := m.request(testRequest(1))
	m.reconcile()
	bad := q.server
	m.endSetup(q, TimedOut, false)
	if m.front.Reconcile(); len(m.probes) != 1 || m.probes[0] != bad {
		t.Fatalf("probed %v, not %d", m.probes, bad)
	}
	m.probes = nil
	m.front.ProbeEnded(bad, TimedOut, LoadReport{Link: -1, Uplink: -1})
	for range 12 {
		p := m.request(testRequest(1))
		if m.reconcile(); p.server == bad {
			t.Fatal("a SETUP went to the silent server")
		}
	}
	for range 20 {
		m.sim.now += 0.25
		m.front.SetTime(m.sim.now)
		m.front.HandleTimer()
		m.request(testRequest(1))
		m.reconcile()
	}
	if m.front.server(bad).ejected {
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
		m := newIdleFront(nil)
		q := m.request(testRequest(1))
		m.reconcile()
		sv := m.front.server(q.server)
		m.endSetup(q, c.o, false)
		m.front.Reconcile()
		m.sim.now += c.later
		m.front.SetTime(m.sim.now)
		m.front.ProbeEnded(sv.id, Served, LoadReport{Link: -1, Uplink: -1})
		if sv.ejected == c.back || sv.startedAt > 0 {
			t.Errorf("%s: set aside %v, cold since %v", name, sv.ejected, sv.startedAt)
		}
	}
}

func TestPaidSessionThatMayHaveRunIsTornDown(t *testing.T) {
	m := newIdleFront(nil)
	q := m.request(testRequest(0))
	m.reconcile()
	m.endSetup(q, TimedOut, false)
	if m.reconcile(); m.failures != 1 || q.setupsSent != 1 {
		t.Errorf("torn down %d times after %d SETUPs", m.failures, q.setupsSent)
	}
}

// A short note is the link's, unless the uplink's newest report says that this is full.
func TestWhoseShortNoteItIs(t *testing.T) {
	for load, want := range map[float64]bool{0.5: false, 1.1: true} {
		m := newIdleFront(nil)
		m.front.recordLoad(m.front.uplinks[0], load, 0)
		if m.front.ShortDelivery(10, 0.8); (m.front.uplinks[0].shortfallDemand > 0) != want || (m.front.server(10).link.shortfallDemand > 0) == want {
			t.Errorf("uplink told %.1f: lifted to %.0f, the link to %.0f", load, m.front.uplinks[0].shortfallDemand, m.front.server(10).link.shortfallDemand)
		}
	}
}

func TestNextToNothingDeliveredSetsAside(t *testing.T) {
	m := newIdleFront(nil)
	m.front.ShortDelivery(10, 0.1)
	if s := m.front.server(10); !s.ejected || s.link.readAt > 0 {
		t.Error("a server that hangs is taken for a crowded link")
	}
}

func TestTablesAreEmptied(t *testing.T) {
	m := newIdleFront(nil)
	for range 200 {
		m.sim.now += 1
		q := m.request(testRequest(1))
		m.establish(q)
		m.endSetup(q, Served, true)
		m.reconcile()
	}
	if n := len(m.front.firstSetups) + len(m.front.sessions) + len(m.front.seatsTaken) + len(m.front.retries) + len(m.front.changed); n > 12 {
		t.Errorf("%d entries are left in the tables", n)
	}
}

func TestWarmingScalesWhatIsToldOnly(t *testing.T) {
	m := newIdleFront(nil)
	s := m.front.server(10)
	s.startedAt = m.sim.now
	if told := m.front.target(s.link, s); told > 0.5*s.link.nominal {
		t.Errorf("target %.0f of a cold link told as %.0f", told, s.link.nominal)
	}
	m.sim.now++
	m.front.SetTime(m.sim.now)
	m.front.recordLoad(s.link, 0.5, 0)
	if seen := m.front.target(s.link, s); seen < 0.9*s.link.nominal {
		t.Errorf("target %.0f of a link told as %.0f and read since", seen, s.link.nominal)
	}
}

func TestInACrushPremiumLeadsABoundedCut(t *testing.T) {
	m := newIdleFront(func(s *Config) { s.Groups[0].Seats = 0 })
	// Others are read to ask nothing.
	l, s := &link{nominal: 1000, capacity: 1000, smoothedAt: m.sim.now, readAt: m.sim.now}, &session{group: &m.front.groups[0]}
	cases := []struct{ others, premium, want float64 }{{0, 500, 0.5}, {900, 900, 1.4}, {9000, 900, 7.6}}
	for _, c := range cases {
		l.demand = [2]float64{c.others, c.premium}
		if own, _ := m.front.pressure(l, nil, s, 0); own < c.want*0.99 || own > c.want*1.1 {
			t.Errorf("%.0f and %.0f asked: pressure %.2f, not about %.2f", c.others, c.premium, own, c.want)
		}
	}
}

// A front that was restarted may have used the present slot before.
func TestRestartedFrontLeavesItsFirstSlot(t *testing.T) {
	w := newSimulation(1, 1)
	m := w.fronts[0]
	w.startedAt[10] = w.now - 3
	m.start(0)
	if s := m.front.server(10); m.front.mayReceiveSetup(s) {
		t.Error("a SETUP may go to a cold server in the slot of the start")
	} else if m.front.now += m.front.slotSeconds; !m.front.mayReceiveSetup(s) {
		t.Error("the next slot stays shut")
	}
}

// Among many fronts what others ask shows in a link's load alone, over the fraction sessions play at.
func TestOthersDemandIsReckonedFromALinksLoad(t *testing.T) {
	for _, fronts := range []int{2, 300} {
		m := newIdleFront(func(s *Config) { s.Fronts = fronts })
		r := testRequest(1)
		r.ID = "x"
		m.front.AddHandedOver(r, 10)
		m.front.SetCurrentRung("x", 2)
		sv := m.front.server(10)
		m.front.recordLoad(sv.link, 0.9, 0)
		s := m.front.sessions["x"]
		if _, p := m.front.pressure(sv.link, sv, s, 0); p < 1.5 || p > 2.4 {
			t.Errorf("%d fronts: pressure %.2f at a load of 0.9 with sessions at about half", fronts, p)
		}
		if room := m.front.headroom(sv); room > 0.1*sv.link.nominal {
			t.Errorf("%d fronts: room %.0f on a link told as %.0f at a load of 0.9", fronts, room, sv.link.nominal)
		}
	}
}

// Many fronts that hear the same late note: their steps together take about the excess, not all they hold.
func TestFrontsThatHearTheSameStepByChance(t *testing.T) {
	stepped, n := 0, 200
	for i := range n {
		m := newIdleFront(func(s *Config) { s.Fronts = n })
		m.front.rngState = uint64(i*7919 + 1)
		r := testRequest(1)
		r.ID = "x"
		m.front.AddHandedOver(r, 10)
		m.front.SetCurrentRung("x", 3)
		m.front.recordLoad(m.front.server(10).link, 1.2, 0)
		m.front.stepDown(m.front.server(10).link, m.front.server(10))
		if m.front.sessions["x"].wantedRung < 3 {
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
	m := newIdleFront(nil)
	q := m.request(testRequest(1))
	if m.front.Reconcile(); len(m.probes) != 1 || q.inFlight {
		t.Fatalf("%d probes, out %v", len(m.probes), q.inFlight)
	}
	m.front.ProbeEnded(m.probes[0], Served, LoadReport{Link: 1.4, Uplink: -1})
	if m.front.Reconcile(); !q.inFlight || q.server == m.probes[0] {
		t.Errorf("out %v on %d", q.inFlight, q.server)
	}
	p := m.request(testRequest(1))
	m.front.Reconcile()
	m.sim.now += 0.3
	m.front.SetTime(m.sim.now)
	m.front.HandleTimer()
	if m.front.Reconcile(); !p.inFlight {
		t.Error("a request waits on for a probe that is not answered")
	}
}

// Where a probe costs more than it can earn, no request waits for one: its SETUP goes out at once.
func TestNoLookWhereProbesAreDear(t *testing.T) {
	for price, want := range map[float64]int{0: 1, 0.014: 1, 0.08: 0} {
		m := newIdleFront(func(s *Config) { s.ProbePrice = price })
		q := m.request(testRequest(1))
		if m.front.Reconcile(); len(m.probes) != want || q.inFlight == (want > 0) {
			t.Errorf("at a price of %v: %d probes, out %v", price, len(m.probes), q.inFlight)
		}
	}
}

// A capped reading near its cap tells that a link is full, but not that it is less than was known.
func TestACappedReadingOnlyRaisesWhatIsKnown(t *testing.T) {
	m := newIdleFront(func(s *Config) { s.Fronts = 50 })
	s := m.front.server(10)
	m.front.recordReport(s, LoadReport{Link: 0.98, Capped: true, Uplink: -1}, 0)
	if x := m.front.otherDemand(s.link) / s.link.capacity; x < 0.9 {
		t.Errorf("a link told full is known at %.2f", x)
	}
	m.front.recordLoad(s.link, 1.6, 0)
	m.front.recordReport(s, LoadReport{Link: 0.98, Capped: true, Uplink: -1}, 0)
	if x := m.front.otherDemand(s.link) / s.link.capacity; x < 1.2 {
		t.Errorf("a link known over full is lowered to %.2f by a capped reading", x)
	}
}

// A crowd comes faster than readings tell: others' demand grows with the front's own, at most double.
func TestACrowdRaisesOthersDemandBetweenReadings(t *testing.T) {
	m := newIdleFront(func(s *Config) { s.Fronts = 50 })
	hand := func(n int, name string) {
		for i := range n {
			r := testRequest(1)
			r.ID = SessID(name + string(rune('a'+i)))
			m.front.AddHandedOver(r, 12)
			m.front.SetCurrentRung(r.ID, 2)
		}
	}
	hand(4, "few") // a front just started fills of itself, but not one that is handed its sessions
	l := m.front.server(10).link
	m.front.recordLoad(l, 0.4, 0)
	m.sim.now += 0.5
	m.front.SetTime(m.sim.now)
	before := m.front.otherDemand(l)
	hand(12, "crowd")
	m.sim.now += 0.5
	m.front.SetTime(m.sim.now)
	if after := m.front.otherDemand(l); after < 1.3*before || after > 2.1*before {
		t.Errorf("others ask %.0f, then %.0f with four times the own sessions", before, after)
	}
	// As the own sessions go down, so do others': an old word of a crush must not hold all on low rungs.
	for _, s := range m.front.sessions {
		s.wantedRung = 0
	}
	m.sim.now += 0.5
	m.front.SetTime(m.sim.now)
	if after := m.front.otherDemand(l); after > 0.7*before {
		t.Errorf("others ask %.0f, then %.0f with the own sessions at the lowest rung", before, after)
	}
}

// Other fronts' sums count beside the own ones; what is malformed, forbidden or at odds with itself doesn't.
func TestMessagesOfOtherFronts(t *testing.T) {
	m := newIdleFront(func(s *Config) { s.Fronts, s.PeerMessages = 50, true })
	part := func() float64 { m.front.summedAt = 0; m.front.sumOwnSessions(); return m.front.rungFraction }
	was := part()
	low := encodeMessage(frontSums{40000, 0, 4000, 0, 3, 10})
	for _, words := range [][]byte{nil, {}, low[:12], append([]byte{9}, low[1:]...), append(low[:13:13], 0),
		encodeMessage(frontSums{1000, 0, 4000, 0, 3, 10})} {
		if m.front.ReceiveMessage(words); part() != was {
			t.Errorf("% x counts", words)
		}
	}
	if m.front.ReceiveMessage(low); part() > 0.7*was {
		t.Errorf("others play at %.2f, was %.2f", part(), was)
	}
	if m.front.SetTime(m.sim.now + 100); math.Abs(part()-was) > 0.01 {
		t.Errorf("others play at %.2f long after the last message", part())
	}
	if big, ok := decodeMessage(encodeMessage(frontSums{4e6, 2e6, 2e6, 1e6, 50, 100})); !ok || math.Abs(big[2]/big[0]-0.5) > 0.01 || big[0] > 7e5 {
		t.Error("large sums are told as", big)
	}
	m.request(testRequest(1))
	if m.reconcile(); len(m.messages) != 6 || len(m.messages[0]) != 13 {
		t.Errorf("%d messages for a request", len(m.messages))
	}
	quiet := newIdleFront(func(s *Config) { s.Fronts = 50 })
	quiet.front.ReceiveMessage(low)
	quiet.request(testRequest(1))
	if quiet.reconcile(); len(quiet.messages) > 0 || quiet.front.peerSums != (frontSums{}) {
		t.Error("messages where none are allowed")
	}
}

// Viewers of a live title share a stream: each further one adds a part of the rate, and a server that has the
// stream is worth what joining saves there.
func TestLiveViewersShareAStream(t *testing.T) {
	m := newIdleFront(func(s *Config) { s.Groups[1].AddedRateShare = 0.3 })
	for _, id := range []SessID{"a", "b"} {
		r := testRequest(1)
		r.ID = id
		m.front.AddHandedOver(r, 11)
		m.front.SetCurrentRung(id, 3)
	}
	sv := m.front.server(11)
	if first := m.front.sessions["a"].rateShare; sv.link.rungDemand(false) != (first+0.3)*2000 {
		t.Errorf("two viewers ask %.0f, the first one %.1f of its rate", sv.link.rungDemand(false), first)
	}
	m.front.recordLoad(sv.link, 0.3, 0)
	m.front.recordLoad(m.front.server(10).link, 0.32, 0)
	m.front.recordLoad(m.front.server(12).link, 0.32, 0)
	q := m.request(testRequest(1))
	if m.reconcile(); q.server != 11 {
		t.Errorf("a third viewer is at %d, the stream at 11", q.server)
	}
}

// A server that none prefers is as good as a preferred one to a front that has a viewer of the title there.
func TestOwnViewersMakeAStream(t *testing.T) {
	m := newIdleFront(func(s *Config) { s.Groups[1].AddedRateShare = 0.3 })
	r := testRequest(1)
	sv := m.front.servers[slices.IndexFunc(m.front.servers, func(s *server) bool { return titleHash(r.Title, s.id)%8 != 0 })]
	s := m.front.newSession(r)
	if p := m.front.rateShareAt(s, sv); p != 1 {
		t.Fatalf("a first viewer adds %.1f of its rate", p)
	}
	r.ID = "there"
	if m.front.AddHandedOver(r, sv.id); m.front.rateShareAt(s, sv) != 0.3 {
		t.Errorf("a second viewer adds %.1f of its rate", m.front.rateShareAt(s, sv))
	}
}

// Where no load is told while sessions play, they rise by the usual load; old words of links make way for new ones.
func TestSessionsOfLinksNotHeardOfRise(t *testing.T) {
	m := newIdleFront(func(s *Config) { s.Fronts, s.Probes, s.NoteInterval, s.FleetLinkCapacity = 50, false, 0, 120000 })
	r := testRequest(1)
	r.ID = "low"
	m.front.AddHandedOver(r, 10)
	m.front.recordLoad(m.front.server(11).link, 2, 0)
	for range 240 {
		m.sim.now += 0.25
		m.front.SetTime(m.sim.now)
		if m.sim.now > 115 {
			m.front.recordLoad(m.front.server(12).link, 0.1, 0)
		}
		m.front.HandleTimer()
		m.front.Reconcile()
	}
	if u := m.front.meanLoad[0]; u > 0.5 {
		t.Errorf("usual load %.2f, 60 s after a word of 2 and with 0.1 since", u)
	}
	if s := m.front.sessions["low"]; s.wantedRung == 0 {
		t.Error("it stays on the lowest rung of a link that is not heard of")
	}
}

// Requests withdrawn before any SETUP left earn no further SETUPs; those that had one earn their share.
func TestOnlyFirstSetupsEarnFurtherOnes(t *testing.T) {
	further := func(withdrawn int) int {
		m := newIdleFront(func(s *Config) { s.BaseRetries, s.RetriesPerSession, s.MaxSetups, s.Probes = 2, 0.5, 4, false })
		for range withdrawn {
			m.front.RequestClosed(m.request(testRequest(1)).ID)
		}
		m.reconcile()
		for range 4 {
			q := m.request(testRequest(1))
			for m.reconcile(); q.inFlight; m.reconcile() {
				m.endSetup(q, Unsent, false)
			}
		}
		for _, wrong := range m.sim.violations {
			t.Error(wrong)
		}
		return len(m.retryTimes)
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
		m := newIdleFront(func(s *Config) { s.MaxSetups = 4 })
		out := m.request(testRequest(c.group))
		m.reconcile()
		waits := m.request(Request{Group: 0, Title: "u", StartCell: 3, CellCount: 3, BestRung: 3, SetupTimeout: 104})
		m.front.Reconcile()
		if !out.inFlight || waits.inFlight || len(m.front.awaitingProbe) != 1 {
			t.Fatal("one is to be out, one to wait for a probe")
		}
		m.front.Stop()
		m.reconcile()
		m.endSetup(out, c.o, false)
		late := m.request(testRequest(1))
		m.reconcile()
		if !waits.answered || !out.answered || !late.answered || late.setupsSent+waits.setupsSent > 0 || out.setupsSent != 1 || m.failures == 1 == c.busy || m.busyReplies+m.failures != 3 {
			t.Errorf("%+v: %d busy, %d torn down", c, m.busyReplies, m.failures)
		}
	}
}
