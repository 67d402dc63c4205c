package front_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"rainhaven/choice"
	"rainhaven/choice/limits"
	"rainhaven/internal/front"
	"rainhaven/internal/keys"
	"rainhaven/internal/lab/box"
	"rainhaven/internal/lab/player"
	"rainhaven/internal/lab/witness"
	"rainhaven/internal/rtsp"
	"rainhaven/internal/settings"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// harness is a front with several simulated boxes, each holding every title.
type harness struct {
	*front.Front
	t       testing.TB
	boxes   []*box.Box
	site    *box.Config
	config  settings.Config
	addr    string
	witness *witness.Witness
	reg     *prometheus.Registry
	now     func() float64
	roots   *keys.Roots // set if boxes are reached over TLS
}

func newHarness(t testing.TB, boxes int, adjust func(*settings.Config, *box.Config)) *harness {
	return newHarnessWithDial(t, boxes, adjust, nil)
}

// newHarnessWithDial is newHarness with another way to connect to boxes; nil is the front's own.
func newHarnessWithDial(t testing.TB, boxes int, adjust func(*settings.Config, *box.Config), dial func(context.Context, string) (net.Conn, error)) *harness {
	epoch := time.Now()
	base := float64(epoch.UnixNano()) / 1e9
	b := &harness{t: t, now: func() float64 { return base + time.Since(epoch).Seconds() }, reg: prometheus.NewRegistry()}
	b.witness = witness.New(witness.Rules{Groups: map[string]witness.Group{"clips": {SetupTimeout: 3, Floor: 1},
		"exam": {SetupTimeout: 2, Paid: true}}, DrainGrace: 0.5, AnswerTolerance: 0.04, BaseRetries: 20, RetriesPerSession: 0.1, RetryWindow: 10})
	b.site = &box.Config{Ladder: []float64{250, 500, 1000, 2000}, Scale: map[string]float64{"clips": 1}, MaxSessions: 100,
		TitleLength: func(string) float64 { return 0 }, ReportInterval: 0.1, NoteInterval: 1, FPS: 50, PayloadScale: 0.02, DisconnectGrace: 2, Now: b.now, Witness: b.witness}
	b.config = settings.Config{Name: "front-0", Choice: choice.Config{Seed: 3, Fronts: 1, Groups: []choice.ServiceGroup{
		{Utility: 2, Scale: 1, StartTarget: 0.5, Floor: 1, Top: 3}, {Utility: 1, Scale: 1, StartTarget: 0.5, Top: 3, Paid: true}},
		Ladder: b.site.Ladder, Cells: boxes, Racks: 1, FleetLinkCapacity: 20000 * float64(boxes), MeanUplinkCapacity: 20000 * float64(boxes),
		MaxStreams: []float64{100}, NoteLag: 0.2, NoteInterval: 1, MaxSetups: 3, MaxRetryAfter: 1, Reporting: choice.ReportsInAnswers,
		BaseRetries: 20, RetriesPerSession: 0.1, RetryWindow: 10},
		Groups: []settings.Group{{Name: "clips", SetupTimeout: 3, Rates: b.site.Ladder}, {Name: "exam", SetupTimeout: 2, Rates: b.site.Ladder}},
		Titles: map[string]settings.Title{"vents": {CellCount: boxes}},
		Limits: limits.Bounds{MaxConnections: 1000, MaxSessions: 1000, MaxBoxConnections: 200, QueueBytes: 1 << 18, ViewerIdleTimeout: 60,
			KeepAliveInterval: 20, ConnectTimeout: 0.25, ProbeTimeout: 0.25, WriteStall: 5}}
	if adjust != nil {
		adjust(&b.config, b.site)
	}
	var err error
	rack := box.NewRack(20000 * float64(boxes))
	for i := range boxes {
		x, err := box.Start(b.site, i+1, "", 20000, rack, false)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(x.Close)
		b.boxes = append(b.boxes, x)
		b.config.Boxes = append(b.config.Boxes, settings.Box{Address: x.Address,
			Listing: choice.Listing{ID: choice.ServerID(i + 1), Cell: i, State: choice.Ready, Weight: 1}})
	}
	o := front.Options{Registry: b.reg, Dial: dial}
	if b.config.BoxTLS.RootsFile != "" {
		if b.roots, err = keys.OpenRoots(b.config.BoxTLS.RootsFile, zap.NewNop()); err != nil {
			t.Fatal(err)
		}
		o.Dial = b.roots.Dialer(b.config.BoxTLS.ServerName)
	}
	f, err := front.New(b.config, o)
	if err != nil {
		t.Fatal(err)
	}
	b.Front = f
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.addr = l.Addr().String()
	served := make(chan error, 1)
	go func() { served <- f.Serve(l) }()
	t.Cleanup(func() {
		f.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return b
}

var tokens atomic.Int64

func (b *harness) request(group string) player.Options {

	return player.Options{Address: b.addr, Front: "front-0", Group: group, Title: "vents", Token: fmt.Sprint("v", tokens.Add(1)),
		SetupTimeout: b.setupTimeout(group), WatchSeconds: 0.3, Now: b.now, Witness: b.witness}
}

func (b *harness) setupTimeout(group string) float64 {
	return b.config.Groups[b.config.GroupIndex(group)].SetupTimeout
}

// checkRules waits until all sessions have ended, at the front and at the boxes, and checks the witness's verdict.
func (b *harness) checkRules() witness.Verdict {
	b.t.Helper()
	b.eventually("all sessions have ended", func() bool {
		n := b.Sessions()
		for _, x := range b.boxes {
			n += x.Sessions()
		}
		return n == 0
	})
	v := b.witness.Evaluate(b.now())
	if v.Violations() > 0 {
		b.t.Errorf("%v\n%s", v, strings.Join(v.Notes, "\n"))
	}
	return v
}

// eventually polls for a condition that has no event to wait for.
func (b *harness) eventually(description string, condition func() bool) {
	b.t.Helper()
	end := time.Now().Add(15 * time.Second)
	for !condition() {
		if time.Now().After(end) {
			b.t.Fatalf("not reached within 15 s: %s", description)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// closeOnce returns a Live callback that closes a channel at its first call.
func closeOnce(c chan struct{}) func(player.Result) {
	return func(player.Result) {
		select {
		case <-c:
		default:
			close(c)
		}
	}
}

func TestOneSessionFromViewerToBoxAndBack(t *testing.T) {
	b := newHarness(t, 3, nil)
	w := b.request("clips")
	w.Describe, w.Tracks, w.WatchSeconds = true, 2, 0.5
	seen, err := player.Watch(context.Background(), w)
	if err != nil || seen.Status != 200 || seen.Frames < 20 || seen.LostPackets+seen.RepeatedPackets+seen.TimestampJumps > 0 || !seen.Ended {
		t.Errorf("%+v %v", seen, err)
	}
	if v := b.checkRules(); v.Taken != 1 || v.Answered != 1 {
		t.Errorf("%v", v)
	}
}

// Checks the outcomes of a SETUP listed in the package comment: what boxes do with it and the viewer's final answer.
func TestOutcomes(t *testing.T) {
	all := func(b *harness, do func(*box.Box)) {
		for _, x := range b.boxes {
			do(x)
		}
	}
	for name, c := range map[string]struct {
		group     string
		arrange   func(b *harness)
		status    int
		minSetups int64 // SETUPs received by boxes
		maxSetups int64
	}{
		"served":                   {"clips", func(*harness) {}, 200, 1, 1},
		"all full":                 {"clips", func(b *harness) { all(b, func(x *box.Box) { x.RefuseSetups(true) }) }, 503, 3, 3},
		"paid, all full":           {"exam", func(b *harness) { all(b, func(x *box.Box) { x.RefuseSetups(true) }) }, 503, 3, 3},
		"errors, then served":      {"clips", func(b *harness) { all(b, func(x *box.Box) { x.FailSetups(1) }) }, 503, 3, 3},
		"paid, error":              {"exam", func(b *harness) { all(b, func(x *box.Box) { x.FailSetups(1) }) }, 504, 1, 1},
		"all hang":                 {"clips", func(b *harness) { all(b, (*box.Box).Hang) }, 503, 3, 3},
		"paid, hang":               {"exam", func(b *harness) { all(b, (*box.Box).Hang) }, 504, 1, 1},
		"all break":                {"clips", func(b *harness) { all(b, func(x *box.Box) { x.DisconnectSetups(1) }) }, 503, 3, 3},
		"paid, break":              {"exam", func(b *harness) { all(b, func(x *box.Box) { x.DisconnectSetups(1) }) }, 504, 1, 1},
		"no connection":            {"clips", func(b *harness) { all(b, (*box.Box).Kill) }, 503, 0, 0},
		"paid, no connection":      {"exam", func(b *harness) { all(b, (*box.Box).Kill) }, 503, 0, 0},
		"two refuse, third served": {"clips", func(b *harness) { b.boxes[0].RefuseSetups(true); b.boxes[2].RefuseSetups(true) }, 200, 1, 3},
		"first refuses, second hangs": {"clips", func(b *harness) {
			b.boxes[0].RefuseSetups(true)
			b.boxes[1].Hang()
		}, 200, 1, 3},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 3, nil)
			c.arrange(b)
			seen, err := player.Watch(context.Background(), b.request(c.group))
			if seen.Status != c.status {
				t.Errorf("status %d (%v), want %d", seen.Status, err, c.status)
			}
			if seen.Status == 503 && seen.RetryAfter == 0 {
				t.Error("busy reply without Retry-After")
			}
			n := int64(0)
			for _, x := range b.boxes {
				n += x.Counts().Setups
				x.Resume()
			}
			if n < c.minSetups || n > c.maxSetups {
				t.Errorf("%d SETUPs at boxes, want %d to %d", n, c.minSetups, c.maxSetups)
			}
			if v := b.checkRules(); v.Taken != 1 {
				t.Errorf("%v", v)
			}
		})
	}
}

func TestLateAnswerIsTornDownAtTheBox(t *testing.T) {
	b := newHarness(t, 2, nil)
	b.boxes[0].HoldAnswers()
	b.boxes[1].HoldAnswers()
	seen, err := player.Watch(context.Background(), b.request("clips"))
	if seen.Status != 503 {
		t.Fatalf("%+v %v", seen, err)
	}
	for _, x := range b.boxes {
		x.Resume() // both boxes now answer the cancelled SETUPs
	}
	b.checkRules()
	b.eventually("two orphaned sessions are torn down", func() bool { return metric(b, "rainhaven_orphans_total", "torn down") == 2 })
}

func metric(b *harness, name, label string) float64 {
	list, err := b.reg.Gather()
	if err != nil {
		b.t.Fatal(err)
	}
	for _, f := range list {
		for _, m := range f.Metric {
			if f.GetName() == name && (len(m.Label) == 0 || m.Label[0].GetValue() == label) {
				return m.GetCounter().GetValue()
			}
		}
	}
	return 0
}

func TestViewerLeaves(t *testing.T) {
	for name, c := range map[string]struct {
		hold  bool
		after float64
	}{"halfway through set-up": {true, 0.05}, "while it plays": {false, 0.3}} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 2, nil)
			if c.hold {
				b.boxes[0].HoldAnswers()
				b.boxes[1].HoldAnswers()
			}
			w := b.request("clips")
			w.WatchSeconds, w.DisconnectAfter = 0, c.after
			player.Watch(context.Background(), w)
			b.eventually("the front has no sessions", func() bool { return b.Sessions() == 0 })
			for _, x := range b.boxes {
				x.Resume()
			}
			b.checkRules()
		})
	}
}

// dial opens a plain RTSP connection to the front.
func (b *harness) dial() *rtsp.Conn {
	c, err := net.Dial("tcp", b.addr)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return rtsp.NewConn(c, rtsp.Limits{})
}

func (b *harness) setup(cseq, query string) *rtsp.Message {
	return rtsp.NewRequest(rtsp.Setup, "rtsp://"+b.addr+"/clips/vents"+query).WithHeader("CSeq", cseq).
		WithHeader("Transport", "RTP/AVP/TCP;unicast")
}

// A box that refuses a TEARDOWN keeps sending media, which must not reach the next viewer.
func TestNoMediaOfPreviousSession(t *testing.T) {
	b := newHarness(t, 1, nil)
	b.boxes[0].FailTeardowns(1)
	for range 2 {
		w := b.request("clips")
		w.WatchSeconds = 0.6
		seen, err := player.Watch(context.Background(), w)
		if err != nil || seen.TimestampJumps+seen.LostPackets+seen.RepeatedPackets+seen.RungChanges > 0 || seen.Frames > 40 { // 30 belong to this session
			t.Fatalf("%+v %v", seen, err)
		}
	}
	b.checkRules()
}

func TestAfterTheAnswerAndBeforePlay(t *testing.T) {
	b := newHarness(t, 2, nil)
	c := b.dial()
	r, err := c.RoundTrip(b.setup("1", ""), 5*time.Second, nil)
	if err != nil || r.Status != 200 {
		t.Fatal(r, err)
	}
	for _, x := range b.boxes { // the box closes its connections between SETUP and PLAY
		if x.Sessions() > 0 {
			x.ResetConnections()
		}
	}
	b.eventually("the front has ended the session", func() bool { return b.Sessions() == 0 })
	r, err = c.RoundTrip(rtsp.NewRequest(rtsp.Play, "rtsp://"+b.addr+"/clips/vents").WithHeader("CSeq", "2").WithHeader("Session", r.Session()), 5*time.Second, nil)
	if err == nil && r.Status != rtsp.SessionNotFound {
		t.Errorf("PLAY after the box closed the connection: status %d", r.Status)
	}
	d := b.dial()
	if r, err := d.RoundTrip(b.setup("1", ""), 5*time.Second, nil); err != nil || r.Status != 200 {
		t.Fatal(r, err)
	}
	d.Close() // the viewer leaves after 200 and before PLAY
	b.checkRules()
}

func TestBoxWithSessionsRemovedFromList(t *testing.T) {
	b := newHarness(t, 2, nil)
	type end struct {
		seen player.Result
		err  error
	}
	ends, playing := make(chan end, 1), make(chan struct{})
	w := b.request("clips")
	w.WatchSeconds, w.OnProgress = 2.2, closeOnce(playing)
	go func() {
		seen, err := player.Watch(context.Background(), w)
		ends <- end{seen, err}
	}()
	<-playing
	holder := 0
	for i, x := range b.boxes {
		if x.Sessions() > 0 {
			holder = i
		}
	}
	b.witness.FrontNotified("front-0", holder+1, false, b.now())
	b.UpdateBoxes(true, b.config.Boxes[1-holder:2-holder])
	for range 10 {
		if seen, err := player.Watch(context.Background(), b.request("clips")); err != nil {
			t.Fatal(seen, err)
		}
	}
	if n := b.boxes[holder].Counts().Setups; n != 1 {
		t.Errorf("%d SETUPs at a box that was removed from the list", n)
	}
	if e := <-ends; e.err != nil || e.seen.LostPackets+e.seen.TimestampJumps > 0 {
		t.Errorf("session at the removed box: %+v %v", e.seen, e.err)
	}
	b.checkRules()
}

// Sessions on a link that is too slow are moved to a lower rung without lost or doubled frames. If the box refuses the
// change, they stay at their rung.
func TestShortBoxStepsItsSessionsDown(t *testing.T) {
	for _, refuse := range []bool{false, true} {
		t.Run(fmt.Sprint("refused ", refuse), func(t *testing.T) {
			b := newHarness(t, 1, nil)
			b.boxes[0].RejectRungChanges(refuse)
			b.boxes[0].ReduceLink(5) // 4,000 of 20,000 kB/s, for four sessions with a demand of 8,000 kB/s
			ends := make(chan player.Result, 4)
			for range 4 {
				go func() {
					w := b.request("clips")
					w.WatchSeconds = 4
					seen, err := player.Watch(context.Background(), w)
					if err != nil {
						t.Error(err)
					}
					ends <- seen
				}()
			}
			rungs := 0
			for range 4 {
				s := <-ends
				if rungs += s.RungChanges; s.LostPackets+s.RepeatedPackets+s.TimestampJumps > 0 {
					t.Errorf("rung change broke the stream: %+v", s)
				}
			}
			if requested := metric(b, "rainhaven_rung_changes_total", ""); requested == 0 || (rungs == 0) != refuse {
				t.Errorf("%v rung changes requested, %d seen", requested, rungs)
			}
			b.checkRules()
		})
	}
}

func TestKilledBoxEndsSession(t *testing.T) {
	b := newHarness(t, 1, func(config *settings.Config, _ *box.Config) { config.Limits.KeepAliveInterval = 0 })
	w := b.request("clips")
	w.WatchSeconds = 0
	playing := make(chan struct{})
	w.OnProgress = closeOnce(playing)
	done := make(chan error, 1)
	go func() {
		_, err := player.Watch(context.Background(), w)
		done <- err
	}()
	<-playing
	b.boxes[0].Kill()
	if err := <-done; err != nil && !strings.Contains(err.Error(), "broke") { // either an RTCP BYE or a closed connection
		t.Error(err)
	}
	b.checkRules()
}

func TestDrainAndClose(t *testing.T) {
	b := newHarness(t, 1, nil)
	playing, done := make(chan struct{}), make(chan error, 1)
	w := b.request("clips")
	w.WatchSeconds = 1.6
	w.OnProgress = closeOnce(playing)
	go func() {
		_, err := player.Watch(context.Background(), w)
		done <- err
	}()
	<-playing
	drained := make(chan struct{})
	go func() {
		b.Drain(context.Background())
		close(drained)
	}()
	b.eventually("new requests are busy-replied", func() bool {
		seen, err := player.Watch(context.Background(), b.request("clips"))
		return seen.Status == 503 && errors.Is(err, player.ErrNotServed)
	})
	if err := <-done; err != nil {
		t.Error(err)
	}
	<-drained
	b.checkRules()
}

// A front hands over its playing sessions to the next one: boxes get no new SETUP and the viewer continues over a new
// connection. A forged session that the box doesn't know ends.
func TestHandedOver(t *testing.T) {
	b := newHarness(t, 2, nil)
	url := "rtsp://" + b.addr + "/clips/vents"
	c := b.dial()
	r, err := c.RoundTrip(b.setup("1", ""), 5*time.Second, nil)
	if err != nil || r.Status != 200 {
		t.Fatal(r, err)
	}
	id := r.Session()
	if r, err = c.RoundTrip(rtsp.NewRequest(rtsp.Play, url).WithHeader("CSeq", "2").WithHeader("Session", id), 5*time.Second, nil); err != nil || r.Status != 200 {
		t.Fatal(r, err)
	}
	list := b.HandOver()
	if len(list) != 1 || string(list[0].ID) != id {
		t.Fatalf("handed over: %+v", list)
	}
	forged := list[0]
	forged.ID, forged.BoxSession = "forged", "no such session"
	requestSent := make(chan struct{}) // delays the connection to the box until the viewer has sent its PLAY
	next, err := front.New(b.config, front.Options{Handover: append(list, forged), Dial: func(ctx context.Context, address string) (net.Conn, error) {
		<-requestSent
		return net.Dial("tcp", address)
	}})
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go next.Serve(l)
	b.addr = l.Addr().String()
	d := b.dial()
	frames := 0
	countFrame := func(m *rtsp.Message, f rtsp.Frame) {
		if m == nil {
			frames++
		}
	}
	d.Write(rtsp.NewRequest(rtsp.Play, url).WithHeader("CSeq", "1").WithHeader("Session", id).Append(nil))
	close(requestSent)
	if r, _, err = d.Next(); err != nil || r == nil || r.Status != 200 {
		t.Fatal(r, err)
	}
	d.SetDeadline(time.Now().Add(5 * time.Second))
	for frames < 10 {
		m, f, err := d.Next()
		if err != nil {
			t.Fatal(err)
		}
		countFrame(m, f)
	}
	if n := b.boxes[0].Counts().Setups + b.boxes[1].Counts().Setups; n != 1 {
		t.Errorf("%d SETUPs at the boxes, want 1", n)
	}
	if r, err = d.RoundTrip(rtsp.NewRequest(rtsp.TearDown, url).WithHeader("CSeq", "2").WithHeader("Session", id), 5*time.Second, countFrame); err != nil || r.Status != 200 {
		t.Fatal(r, err)
	}
	b.eventually("the next front has no sessions", func() bool { return next.Sessions() == 0 })
	b.eventually("the boxes have no sessions", func() bool { return b.boxes[0].Sessions()+b.boxes[1].Sessions() == 0 })
}

// A draining front redirects its viewers to another front, and the drain ends as soon as they have left.
func TestDrainSendsViewersElsewhere(t *testing.T) {
	other := newHarness(t, 1, nil)
	b := newHarness(t, 1, func(config *settings.Config, _ *box.Config) { config.Redirect = other.addr })
	playing, done := make(chan struct{}), make(chan player.Result, 1)
	w := b.request("clips")
	w.WatchSeconds = 0
	w.OnProgress = closeOnce(playing)
	go func() {
		seen, err := player.Watch(context.Background(), w)
		if err != nil {
			t.Error(err)
		}
		done <- seen
	}()
	<-playing
	b.Drain(context.Background())
	seen := <-done
	if seen.RedirectedTo != other.addr || seen.LostPackets+seen.TimestampJumps > 0 {
		t.Fatalf("%+v", seen)
	}
	w = other.request("clips")
	w.Address = seen.RedirectedTo
	if seen, err := player.Watch(context.Background(), w); err != nil || seen.Status != 200 {
		t.Errorf("session at the other front: %+v %v", seen, err)
	}
	b.checkRules()
	other.checkRules()
}

func TestCloseAnswersPendingRequests(t *testing.T) {
	b := newHarness(t, 1, nil)
	b.boxes[0].HoldAnswers()
	done := make(chan player.Result, 1)
	go func() {
		seen, _ := player.Watch(context.Background(), b.request("clips"))
		done <- seen
	}()
	b.eventually("a SETUP is pending", func() bool { return b.boxes[0].Counts().Setups == 1 })
	b.Close()
	if seen := <-done; seen.Status != 504 {
		t.Errorf("%+v", seen)
	}
	b.boxes[0].Resume()
	b.checkRules()
}
