package choice

import (
	"math"
	"math/rand"
	"slices"
	"testing"
	"testing/quick"
)

// The rules (docs/design.md) hold after each step of random simulations.
func TestRules(t *testing.T) {
	check := func(seed int64) bool {
		sim := newSimulation(seed, 1+int(uint64(seed)%3))
		for range 400 {
			sim.step()
			if len(sim.violations) > 0 {
				t.Logf("seed %d at %.3f: %v", seed, sim.now, sim.violations)
				return false
			}
		}
		return true
	}
	if err := quick.Check(check, &quick.Config{MaxCount: 60, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}

// testRequest is for a title of the first three servers; it times out 4 s after the simulation's start.
func testRequest(group int) Request {
	return Request{Group: group, Title: "t", CellCount: 3, BestRung: 3, SetupDeadline: 104}
}

// newIdleFront returns the one front of an idle fleet.
func newIdleFront(change func(*Config)) *simulatedFront {
	sim := newSimulation(1, 1)
	if change != nil {
		change(&sim.config)
		sim.fronts[0].start(0)
	}
	return sim.fronts[0]
}

// establish has a request's SETUP succeed.
func (sf *simulatedFront) establish(req *simRequest) {
	sf.reconcile()
	req.inFlight, req.playing = false, true
	sf.front.SessionEstablished(req.ID)
}

func TestIdleFleetGivesTheTopRung(t *testing.T) {
	sf := newIdleFront(nil)
	req := sf.request(testRequest(0))
	if sf.reconcile(); !req.inFlight || req.rung != 3 {
		t.Errorf("in flight %v at rung %d, want true at 3", req.inFlight, req.rung)
	}
}

func TestOverloadLowersOtherGroupsFirst(t *testing.T) {
	sf := newIdleFront(func(c *Config) { c.FleetLinkCapacity, c.Groups[0].Seats = 24000, 0 })
	var last [2]*simRequest
	for range 4 {
		for g := range last {
			last[g] = sf.request(testRequest(g))
			sf.establish(last[g])
		}
	}
	if last[0].rung <= last[1].rung || last[1].rung == 3 {
		t.Errorf("premium group at rung %d, other group at %d", last[0].rung, last[1].rung)
	}
}

// Past twice the target, sessions are admitted only while their lowest rung fits.
func TestOverloadLimitsAdmission(t *testing.T) {
	sf := newIdleFront(func(c *Config) { c.FleetLinkCapacity = 6000 })
	for range 30 {
		req := sf.request(testRequest(1))
		if sf.reconcile(); !req.answered {
			sf.establish(req)
		}
	}
	if n := len(sf.openIDs) - sf.busyReplies; sf.busyReplies == 0 || n > 18 {
		t.Errorf("%d busy replies, %d admitted", sf.busyReplies, n)
	}
}

func TestSessionsStepDownAndUpWithLoad(t *testing.T) {
	sf := newIdleFront(nil)
	req := sf.request(testRequest(1))
	sf.establish(req)
	run := func(seconds, load float64) {
		for range int(seconds * 4) {
			sf.sim.now += 0.25
			sf.front.SetTime(sf.sim.now)
			sf.front.LoadNote(req.ID, req.server, load, false)
			sf.front.HandleTimer()
			sf.reconcile()
		}
	}
	if run(20, 2); req.rung > 1 {
		t.Errorf("rung %d on a link at a load of 2", req.rung)
	}
	if run(60, 0.1); req.rung != 3 {
		t.Errorf("rung %d on a link at a load of 0.1", req.rung)
	}
}

func TestSilentServerIsEjectedUntilItAnswersProbes(t *testing.T) {
	sf := newIdleFront(nil)
	req := sf.request(testRequest(1))
	sf.reconcile()
	bad := req.server
	sf.endSetup(req, TimedOut, false)
	if sf.front.Reconcile(); len(sf.probes) != 1 || sf.probes[0] != bad {
		t.Fatalf("probed %v, want [%d]", sf.probes, bad)
	}
	sf.probes = nil
	sf.front.ProbeEnded(bad, TimedOut, LoadReport{Link: -1, Uplink: -1})
	for range 12 {
		p := sf.request(testRequest(1))
		if sf.reconcile(); p.server == bad {
			t.Fatal("SETUP sent to the silent server")
		}
	}
	for range 20 {
		sf.sim.now += 0.25
		sf.front.SetTime(sf.sim.now)
		sf.front.HandleTimer()
		sf.request(testRequest(1))
		sf.reconcile()
	}
	if sf.front.server(bad).ejected {
		t.Error("server answered probes and is still ejected")
	}
}

// A server that lost one SETUP but answers a probe at once is reinstated and counts as warm. After a refused connection
// or a late answer to the probe it stays ejected.
func TestOneFailedSetupIsNoDeadServer(t *testing.T) {
	for name, c := range map[string]struct {
		outcome    Outcome
		probeTime  float64
		reinstated bool
	}{
		"slow":    {TimedOut, 0.05, true},
		"cut":     {Reset, 0.05, true},
		"refused": {NoConnection, 0.05, false},
		"late":    {TimedOut, 0.6, false},
	} {
		sf := newIdleFront(nil)
		req := sf.request(testRequest(1))
		sf.reconcile()
		sv := sf.front.server(req.server)
		sf.endSetup(req, c.outcome, false)
		sf.front.Reconcile()
		sf.sim.now += c.probeTime
		sf.front.SetTime(sf.sim.now)
		sf.front.ProbeEnded(sv.id, Served, LoadReport{Link: -1, Uplink: -1})
		if sv.ejected == c.reinstated || sv.startedAt > 0 {
			t.Errorf("%s: ejected %v, cold since %v", name, sv.ejected, sv.startedAt)
		}
	}
}

func TestPaidSessionThatMayHaveRunFails(t *testing.T) {
	sf := newIdleFront(nil)
	req := sf.request(testRequest(0))
	sf.reconcile()
	sf.endSetup(req, TimedOut, false)
	if sf.reconcile(); sf.failures != 1 || req.setupsSent != 1 {
		t.Errorf("%d failure replies after %d SETUPs, want 1 after 1", sf.failures, req.setupsSent)
	}
}

// A short-delivery note counts for the link, unless the uplink's last report shows the uplink full.
func TestShortDeliveryOfLinkOrUplink(t *testing.T) {
	for load, want := range map[float64]bool{0.5: false, 1.1: true} {
		sf := newIdleFront(nil)
		sf.front.recordLoad(sf.front.uplinks[0], load, 0)
		sf.front.ShortDelivery(10, 0.8)
		uplink, link := sf.front.uplinks[0].shortfallDemand, sf.front.server(10).link.shortfallDemand
		if (uplink > 0) != want || (link > 0) == want {
			t.Errorf("uplink reported at %.1f: its shortfall demand is %.0f, the link's %.0f", load, uplink, link)
		}
	}
}

func TestHangingServerIsEjected(t *testing.T) {
	sf := newIdleFront(nil)
	sf.front.ShortDelivery(10, 0.1)
	if s := sf.front.server(10); !s.ejected || s.link.readAt > 0 {
		t.Error("a hanging server counts as an overloaded link")
	}
}

// Tables don't grow with the sessions that have passed.
func TestTablesAreEmptied(t *testing.T) {
	sf := newIdleFront(nil)
	for range 200 {
		sf.sim.now += 1
		req := sf.request(testRequest(1))
		sf.establish(req)
		sf.endSetup(req, Served, true)
		sf.reconcile()
	}
	f := sf.front
	if n := len(f.firstSetups) + len(f.sessions) + len(f.seatsTaken) + len(f.retries) + len(f.changed); n > 12 {
		t.Errorf("%d entries are left in the tables", n)
	}
}

// A cold server's target is scaled by its warm share until its load is reported.
func TestWarmUpScalesUnreadLinksOnly(t *testing.T) {
	sf := newIdleFront(nil)
	s := sf.front.server(10)
	s.startedAt = sf.sim.now
	if target := sf.front.target(s.link, s); target > 0.5*s.link.nominal {
		t.Errorf("target %.0f of a cold link of capacity %.0f", target, s.link.nominal)
	}
	sf.sim.now++
	sf.front.SetTime(sf.sim.now)
	sf.front.recordLoad(s.link, 0.5, 0)
	if target := sf.front.target(s.link, s); target < 0.9*s.link.nominal {
		t.Errorf("target %.0f of a link of capacity %.0f, reported since", target, s.link.nominal)
	}
}

// In an overload the premium groups' pressure follows all demand over 1.3, so that their lead is bounded.
func TestPremiumLeadIsBoundedInOverload(t *testing.T) {
	sf := newIdleFront(func(c *Config) { c.Groups[0].Seats = 0 })
	// A reading without other demand.
	l := &link{nominal: 1000, capacity: 1000, smoothedAt: sf.sim.now, readAt: sf.sim.now}
	s := &session{group: &sf.front.groups[0]}
	cases := []struct{ others, premium, want float64 }{{0, 500, 0.5}, {900, 900, 1.4}, {9000, 900, 7.6}}
	for _, c := range cases {
		l.demand = [2]float64{c.others, c.premium}
		if own, _ := sf.front.pressure(l, nil, s, 0); own < c.want*0.99 || own > c.want*1.1 {
			t.Errorf("demand %.0f and %.0f: pressure %.2f, want about %.2f", c.others, c.premium, own, c.want)
		}
	}
}

// A front that was restarted may have used the present slot before, so it sends cold servers nothing in it.
func TestRestartedFrontSkipsItsFirstSlot(t *testing.T) {
	sim := newSimulation(1, 1)
	sf := sim.fronts[0]
	sim.startedAt[10] = sim.now - 3
	sf.start(0)
	if s := sf.front.server(10); sf.front.mayReceiveSetup(s) {
		t.Error("cold server may receive a SETUP in the slot of the front's start")
	} else if sf.front.now += sf.front.slotSeconds; !sf.front.mayReceiveSetup(s) {
		t.Error("cold server may not receive a SETUP in the next slot")
	}
}

// Other fronts' demand is estimated from a link's load, divided by the fraction of top rates that sessions play at.
func TestOtherDemandFollowsReportedLoad(t *testing.T) {
	for _, fronts := range []int{2, 300} {
		sf := newIdleFront(func(c *Config) { c.Fronts = fronts })
		r := testRequest(1)
		r.ID = "x"
		sf.front.AddHandedOver(r, 10)
		sf.front.SetCurrentRung("x", 2)
		sv := sf.front.server(10)
		sf.front.recordLoad(sv.link, 0.9, 0)
		s := sf.front.sessions["x"]
		if _, p := sf.front.pressure(sv.link, sv, s, 0); p < 1.5 || p > 2.4 {
			t.Errorf("%d fronts: pressure %.2f at a load of 0.9 with sessions at about half their top rates", fronts, p)
		}
		if headroom := sf.front.headroom(sv); headroom > 0.1*sv.link.nominal {
			t.Errorf("%d fronts: headroom %.0f of %.0f at a load of 0.9", fronts, headroom, sv.link.nominal)
		}
	}
}

// Where many fronts get the same late report, their steps together remove about the excess, not all sessions' rungs.
func TestFrontsShareAStepDownAtRandom(t *testing.T) {
	stepped, n := 0, 200
	for i := range n {
		sf := newIdleFront(func(c *Config) { c.Fronts = n })
		sf.front.rngState = uint64(i*7919 + 1)
		r := testRequest(1)
		r.ID = "x"
		sf.front.AddHandedOver(r, 10)
		sf.front.SetCurrentRung("x", 3)
		sf.front.recordLoad(sf.front.server(10).link, 1.2, 0)
		sf.front.stepDown(sf.front.server(10).link, sf.front.server(10))
		if sf.front.sessions["x"].wantedRung < 3 {
			stepped++
		}
	}
	if stepped < n/10 || stepped > n*6/10 {
		t.Errorf("%d of %d fronts step down by half or more at a load of 1.2", stepped, n)
	}
}

// Without a recent report of the best holder, that one is probed, and another one is chosen where it turns out to be full.
// A probe that isn't answered delays the request only briefly.
func TestUnreportedHolderIsProbedFirst(t *testing.T) {
	sf := newIdleFront(nil)
	req := sf.request(testRequest(1))
	if sf.front.Reconcile(); len(sf.probes) != 1 || req.inFlight {
		t.Fatalf("%d probes, SETUP in flight %v", len(sf.probes), req.inFlight)
	}
	sf.front.ProbeEnded(sf.probes[0], Served, LoadReport{Link: 1.4, Uplink: -1})
	if sf.front.Reconcile(); !req.inFlight || req.server == sf.probes[0] {
		t.Errorf("SETUP in flight %v, to server %d", req.inFlight, req.server)
	}
	p := sf.request(testRequest(1))
	sf.front.Reconcile()
	sf.sim.now += 0.3
	sf.front.SetTime(sf.sim.now)
	sf.front.HandleTimer()
	if sf.front.Reconcile(); !p.inFlight {
		t.Error("request still waits for a probe that is not answered")
	}
}

// Where probes are dear, no request waits for one: its SETUP is sent at once.
func TestNoProbeFirstWhereProbesAreDear(t *testing.T) {
	for price, want := range map[float64]int{0: 1, 0.014: 1, 0.08: 0} {
		sf := newIdleFront(func(c *Config) { c.ProbePrice = price })
		req := sf.request(testRequest(1))
		if sf.front.Reconcile(); len(sf.probes) != want || req.inFlight == (want > 0) {
			t.Errorf("at a price of %v: %d probes, SETUP in flight %v", price, len(sf.probes), req.inFlight)
		}
	}
}

// A capped load near its cap shows that a link is full, but not that its load is below what was known.
func TestCappedReportOnlyRaisesOtherDemand(t *testing.T) {
	sf := newIdleFront(func(c *Config) { c.Fronts = 50 })
	s := sf.front.server(10)
	sf.front.recordReport(s, LoadReport{Link: 0.98, Capped: true, Uplink: -1}, 0)
	if x := sf.front.otherDemand(s.link) / s.link.capacity; x < 0.9 {
		t.Errorf("other demand %.2f of a link reported full", x)
	}
	sf.front.recordLoad(s.link, 1.6, 0)
	sf.front.recordReport(s, LoadReport{Link: 0.98, Capped: true, Uplink: -1}, 0)
	if x := sf.front.otherDemand(s.link) / s.link.capacity; x < 1.2 {
		t.Errorf("other demand of an overloaded link lowered to %.2f by a capped report", x)
	}
}

// A load surge comes faster than readings: the estimate of other demand grows with own demand, at most to double.
func TestSurgeRaisesOtherDemandBetweenReadings(t *testing.T) {
	sf := newIdleFront(func(c *Config) { c.Fronts = 50 })
	addSessions := func(n int, name string) {
		for i := range n {
			r := testRequest(1)
			r.ID = SessID(name + string(rune('a'+i)))
			sf.front.AddHandedOver(r, 12)
			sf.front.SetCurrentRung(r.ID, 2)
		}
	}
	addSessions(4, "few") // as handed over, so that the front doesn't wait for sessions to come back
	l := sf.front.server(10).link
	sf.front.recordLoad(l, 0.4, 0)
	sf.sim.now += 0.5
	sf.front.SetTime(sf.sim.now)
	before := sf.front.otherDemand(l)
	addSessions(12, "surge")
	sf.sim.now += 0.5
	sf.front.SetTime(sf.sim.now)
	if after := sf.front.otherDemand(l); after < 1.3*before || after > 2.1*before {
		t.Errorf("other demand %.0f, then %.0f with four times the own sessions", before, after)
	}
	// It falls with own demand, too: an old reading of an overload must not keep all sessions on low rungs.
	for _, s := range sf.front.sessions {
		s.wantedRung = 0
	}
	sf.sim.now += 0.5
	sf.front.SetTime(sf.sim.now)
	if after := sf.front.otherDemand(l); after > 0.7*before {
		t.Errorf("other demand %.0f, then %.0f with own sessions at the lowest rung", before, after)
	}
}

// Other fronts' sums are added to the own ones; malformed, inconsistent or forbidden messages are ignored.
func TestMessagesOfOtherFronts(t *testing.T) {
	sf := newIdleFront(func(c *Config) { c.Fronts, c.PeerMessages = 50, true })
	fraction := func() float64 { sf.front.summedAt = 0; sf.front.sumOwnSessions(); return sf.front.rungFraction }
	before := fraction()
	valid := encodeMessage(frontSums{40000, 0, 4000, 0, 3, 10})
	for _, message := range [][]byte{nil, {}, valid[:12], append([]byte{9}, valid[1:]...), append(valid[:13:13], 0),
		encodeMessage(frontSums{1000, 0, 4000, 0, 3, 10})} {
		if sf.front.ReceiveMessage(message); fraction() != before {
			t.Errorf("message % x is not ignored", message)
		}
	}
	if sf.front.ReceiveMessage(valid); fraction() > 0.7*before {
		t.Errorf("rung fraction %.2f, was %.2f", fraction(), before)
	}
	if sf.front.SetTime(sf.sim.now + 100); math.Abs(fraction()-before) > 0.01 {
		t.Errorf("rung fraction %.2f long after the last message", fraction())
	}
	big, ok := decodeMessage(encodeMessage(frontSums{4e6, 2e6, 2e6, 1e6, 50, 100}))
	if !ok || math.Abs(big[2]/big[0]-0.5) > 0.01 || big[0] > 7e5 {
		t.Error("large sums are sent as", big)
	}
	sf.request(testRequest(1))
	if sf.reconcile(); len(sf.messages) != 6 || len(sf.messages[0]) != 13 {
		t.Errorf("%d messages for a request, want 6 of 13 bytes", len(sf.messages))
	}
	quiet := newIdleFront(func(c *Config) { c.Fronts = 50 })
	quiet.front.ReceiveMessage(valid)
	quiet.request(testRequest(1))
	if quiet.reconcile(); len(quiet.messages) > 0 || quiet.front.peerSums != (frontSums{}) {
		t.Error("messages sent or taken where none are allowed")
	}
}

// Viewers of a live title share a stream: each further one adds a share of the rate, and the server that has the stream
// is preferred by what joining saves.
func TestLiveViewersShareAStream(t *testing.T) {
	sf := newIdleFront(func(c *Config) { c.Groups[1].AddedRateShare = 0.3 })
	for _, id := range []SessID{"a", "b"} {
		r := testRequest(1)
		r.ID = id
		sf.front.AddHandedOver(r, 11)
		sf.front.SetCurrentRung(id, 3)
	}
	sv := sf.front.server(11)
	if first := sf.front.sessions["a"].rateShare; sv.link.rungDemand(false) != (first+0.3)*2000 {
		t.Errorf("two viewers add %.0f, the first one %.1f of its rate", sv.link.rungDemand(false), first)
	}
	sf.front.recordLoad(sv.link, 0.3, 0)
	sf.front.recordLoad(sf.front.server(10).link, 0.32, 0)
	sf.front.recordLoad(sf.front.server(12).link, 0.32, 0)
	req := sf.request(testRequest(1))
	if sf.reconcile(); req.server != 11 {
		t.Errorf("third viewer placed at server %d, the stream is at 11", req.server)
	}
}

// A server that isn't one of the preferred holders has the stream where this front has a viewer of the title there.
func TestOwnViewerShowsASharedStream(t *testing.T) {
	sf := newIdleFront(func(c *Config) { c.Groups[1].AddedRateShare = 0.3 })
	r := testRequest(1)
	notPreferred := func(s *server) bool { return titleHash(r.Title, s.id)%streamHolders != 0 }
	sv := sf.front.servers[slices.IndexFunc(sf.front.servers, notPreferred)]
	s := sf.front.newSession(r, &sf.front.groups[r.Group])
	if p := sf.front.rateShareAt(s, sv); p != 1 {
		t.Fatalf("first viewer adds %.1f of its rate", p)
	}
	r.ID = "there"
	if sf.front.AddHandedOver(r, sv.id); sf.front.rateShareAt(s, sv) != 0.3 {
		t.Errorf("second viewer adds %.1f of its rate", sf.front.rateShareAt(s, sv))
	}
}

// Where a server doesn't report its load, sessions step up by the mean load of links. Old reports give way to new ones.
func TestSessionsOfUnreportedLinksStepUp(t *testing.T) {
	sf := newIdleFront(func(c *Config) { c.Fronts, c.Probes, c.NoteInterval, c.FleetLinkCapacity = 50, false, 0, 120000 })
	r := testRequest(1)
	r.ID = "low"
	sf.front.AddHandedOver(r, 10)
	sf.front.recordLoad(sf.front.server(11).link, 2, 0)
	for range 240 {
		sf.sim.now += 0.25
		sf.front.SetTime(sf.sim.now)
		if sf.sim.now > 115 {
			sf.front.recordLoad(sf.front.server(12).link, 0.1, 0)
		}
		sf.front.HandleTimer()
		sf.front.Reconcile()
	}
	if u := sf.front.meanLoad[0]; u > 0.5 {
		t.Errorf("mean load %.2f, 60 s after a report of 2 and with 0.1 since", u)
	}
	if s := sf.front.sessions["low"]; s.wantedRung == 0 {
		t.Error("session stays on the lowest rung of a link without reports")
	}
}

// Only requests with a SETUP add to the retry budget, not those withdrawn before.
func TestOnlyFirstSetupsAddToRetryBudget(t *testing.T) {
	retries := func(withdrawn int) int {
		sf := newIdleFront(func(c *Config) { c.BaseRetries, c.RetriesPerSession, c.MaxSetups, c.Probes = 2, 0.5, 4, false })
		for range withdrawn {
			sf.front.RequestClosed(sf.request(testRequest(1)).ID)
		}
		sf.reconcile()
		for range 4 {
			req := sf.request(testRequest(1))
			for sf.reconcile(); req.inFlight; sf.reconcile() {
				sf.endSetup(req, Unsent, false)
			}
		}
		for _, violation := range sf.sim.violations {
			t.Error(violation)
		}
		return len(sf.retryTimes)
	}
	if a, b := retries(0), retries(100); a != 4 || b != a {
		t.Errorf("%d retries, %d with a hundred requests withdrawn at once, want 4: 2 and half of 4", a, b)
	}
}

// After Stop nothing is placed: requests that wait for a probe, and those whose SETUP fails, get the answer that their
// group's settings prescribe.
func TestStop(t *testing.T) {
	for _, c := range []struct {
		group   int
		outcome Outcome
		busy    bool
	}{{0, Full, true}, {0, TimedOut, false}, {0, Unsent, true}, {1, TimedOut, true}} {
		sf := newIdleFront(func(c *Config) { c.MaxSetups = 4 })
		failing := sf.request(testRequest(c.group))
		sf.reconcile()
		waiting := sf.request(Request{Group: 0, Title: "u", StartCell: 3, CellCount: 3, BestRung: 3, SetupDeadline: 104})
		sf.front.Reconcile()
		if !failing.inFlight || waiting.inFlight || len(sf.front.awaitingProbe) != 1 {
			t.Fatal("want one SETUP in flight and one request that waits for a probe")
		}
		sf.front.Stop()
		sf.reconcile()
		sf.endSetup(failing, c.outcome, false)
		late := sf.request(testRequest(1))
		sf.reconcile()
		if !waiting.answered || !failing.answered || !late.answered || late.setupsSent+waiting.setupsSent > 0 ||
			failing.setupsSent != 1 || sf.failures == 1 == c.busy || sf.busyReplies+sf.failures != 3 {
			t.Errorf("%+v: %d busy replies, %d failure replies", c, sf.busyReplies, sf.failures)
		}
	}
}
