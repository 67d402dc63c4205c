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

// bench is one front before some boxes, all holding every title.
type bench struct {
	*front.Front
	t     testing.TB
	boxes []*box.Box
	site  *box.Site
	terms settings.Config
	addr  string
	wit   *witness.Witness
	reg   *prometheus.Registry
	now   func() float64
	roots *keys.Roots // where boxes are reached over TLS
}

func newBench(t testing.TB, boxes int, change func(*settings.Config, *box.Site)) *bench {
	epoch := time.Now()
	base := float64(epoch.UnixNano()) / 1e9
	b := &bench{t: t, now: func() float64 { return base + time.Since(epoch).Seconds() }, reg: prometheus.NewRegistry()}
	b.wit = witness.New(witness.Rules{Groups: map[string]witness.Group{"clips": {SetupTimeout: 3, Floor: 1},
		"exam": {SetupTimeout: 2, Paid: true}}, DrainGrace: 0.5, AnswerTolerance: 0.04, BaseRetries: 20, RetriesPerSession: 0.1, RetryWindow: 10})
	b.site = &box.Site{Ladder: []float64{250, 500, 1000, 2000}, Scale: map[string]float64{"clips": 1}, Places: 100,
		Length: func(string) float64 { return 0 }, ReportEvery: 0.1, NoteEvery: 1, FPS: 50, Thin: 0.02, Keep: 2, Now: b.now, Witness: b.wit}
	b.terms = settings.Config{Name: "front-0", Choice: choice.Config{Seed: 3, Fronts: 1, Groups: []choice.ServiceGroup{
		{Utility: 2, Scale: 1, StartTarget: 0.5, Floor: 1, Top: 3}, {Utility: 1, Scale: 1, StartTarget: 0.5, Top: 3, Paid: true}},
		Ladder: b.site.Ladder, Cells: boxes, Racks: 1, FleetLinkCapacity: 20000 * float64(boxes), MeanUplinkCapacity: 20000 * float64(boxes),
		MaxStreams: []float64{100}, NoteLag: 0.2, NoteInterval: 1, MaxSetups: 3, MaxRetryAfter: 1, Reporting: choice.ReportsInAnswers,
		BaseRetries: 20, RetriesPerSession: 0.1, RetryWindow: 10},
		Groups: []settings.Group{{Name: "clips", SetupTimeout: 3, Rates: b.site.Ladder}, {Name: "exam", SetupTimeout: 2, Rates: b.site.Ladder}},
		Titles: map[string]settings.Title{"vents": {Span: boxes}},
		Limits: limits.Bounds{Connections: 1000, Sessions: 1000, BoxConnections: 200, Queue: 1 << 18, ViewerIdle: 60,
			KeepAlive: 20, ConnectTimeout: 0.25, ProbeTimeout: 0.25, WriteStall: 5}}
	if change != nil {
		change(&b.terms, b.site)
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
		b.terms.Boxes = append(b.terms.Boxes, settings.Box{Address: x.Address,
			Listing: choice.Listing{ID: choice.ServerID(i + 1), Cell: i, State: choice.Ready, Weight: 1}})
	}
	o := front.Options{Registry: b.reg}
	if b.terms.BoxTLS.RootsFile != "" {
		if b.roots, err = keys.OpenRoots(b.terms.BoxTLS.RootsFile, zap.NewNop()); err != nil {
			t.Fatal(err)
		}
		o.Dial = b.roots.Dialer(b.terms.BoxTLS.ServerName)
	}
	f, err := front.New(b.terms, o)
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

func (b *bench) want(group string) player.Want {

	return player.Want{Address: b.addr, Front: "front-0", Group: group, Title: "vents", Token: fmt.Sprint("v", tokens.Add(1)),
		SetupTimeout: b.wit0(group), Watch: 0.3, Now: b.now, Witness: b.wit}
}

func (b *bench) wit0(group string) float64 {
	return b.terms.Groups[b.terms.GroupIndex(group)].SetupTimeout
}

// rules waits until all sessions are over, at the front and at the boxes, and judges.
func (b *bench) rules() witness.Verdict {
	b.t.Helper()
	b.eventually("all sessions are over", func() bool {
		n := b.Sessions()
		for _, x := range b.boxes {
			n += x.Sessions()
		}
		return n == 0
	})
	v := b.wit.Evaluate(b.now())
	if v.Violations() > 0 {
		b.t.Errorf("%v\n%s", v, strings.Join(v.Notes, "\n"))
	}
	return v
}

// eventually polls for something that happens without an event that a test could wait on.
func (b *bench) eventually(what string, is func() bool) {
	b.t.Helper()
	end := time.Now().Add(15 * time.Second)
	for !is() {
		if time.Now().After(end) {
			b.t.Fatalf("not within 15 s: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// once closes a channel at a viewer's first live word.
func once(c chan struct{}) func(player.Seen) {
	return func(player.Seen) {
		select {
		case <-c:
		default:
			close(c)
		}
	}
}

func TestOneSessionFromViewerToBoxAndBack(t *testing.T) {
	b := newBench(t, 3, nil)
	w := b.want("clips")
	w.Describe, w.Tracks, w.Watch = true, 2, 0.5
	seen, err := player.Watch(context.Background(), w)
	if err != nil || seen.Status != 200 || seen.Frames < 20 || seen.Lost+seen.Doubled+seen.Jumps > 0 || !seen.Ended {
		t.Errorf("%+v %v", seen, err)
	}
	if v := b.rules(); v.Taken != 1 || v.Answered != 1 {
		t.Errorf("%v", v)
	}
}

// The table of outcomes in the package comment, one by one: what boxes do to SETUPs, and the answer that comes of it.
func TestOutcomes(t *testing.T) {
	all := func(b *bench, do func(*box.Box)) {
		for _, x := range b.boxes {
			do(x)
		}
	}
	for name, c := range map[string]struct {
		group  string
		before func(b *bench)
		status int
		setups int64 // at boxes, at least
		most   int64
	}{
		"served":                   {"clips", func(*bench) {}, 200, 1, 1},
		"all full":                 {"clips", func(b *bench) { all(b, func(x *box.Box) { x.Refuse(true) }) }, 503, 3, 3},
		"paid, all full":           {"exam", func(b *bench) { all(b, func(x *box.Box) { x.Refuse(true) }) }, 503, 3, 3},
		"errors, then served":      {"clips", func(b *bench) { all(b, func(x *box.Box) { x.Errors(1) }) }, 503, 3, 3},
		"paid, error":              {"exam", func(b *bench) { all(b, func(x *box.Box) { x.Errors(1) }) }, 504, 1, 1},
		"all hang":                 {"clips", func(b *bench) { all(b, (*box.Box).Hang) }, 503, 3, 3},
		"paid, hang":               {"exam", func(b *bench) { all(b, (*box.Box).Hang) }, 504, 1, 1},
		"all break":                {"clips", func(b *bench) { all(b, func(x *box.Box) { x.Breaks(1) }) }, 503, 3, 3},
		"paid, break":              {"exam", func(b *bench) { all(b, func(x *box.Box) { x.Breaks(1) }) }, 504, 1, 1},
		"no connection":            {"clips", func(b *bench) { all(b, (*box.Box).Kill) }, 503, 0, 0},
		"paid, no connection":      {"exam", func(b *bench) { all(b, (*box.Box).Kill) }, 503, 0, 0},
		"two refuse, third served": {"clips", func(b *bench) { b.boxes[0].Refuse(true); b.boxes[2].Refuse(true) }, 200, 1, 3},
		"first refuses, second hangs": {"clips", func(b *bench) {
			b.boxes[0].Refuse(true)
			b.boxes[1].Hang()
		}, 200, 1, 3},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 3, nil)
			c.before(b)
			seen, err := player.Watch(context.Background(), b.want(c.group))
			if seen.Status != c.status {
				t.Errorf("status %d (%v), want %d", seen.Status, err, c.status)
			}
			if seen.Status == 503 && seen.RetryAfter == 0 {
				t.Error("a busy reply without advice")
			}
			n := int64(0)
			for _, x := range b.boxes {
				n += x.Count().Setups
				x.Unhang()
			}
			if n < c.setups || n > c.most {
				t.Errorf("%d SETUPs at boxes, want %d to %d", n, c.setups, c.most)
			}
			if v := b.rules(); v.Taken != 1 {
				t.Errorf("%v", v)
			}
		})
	}
}

func TestLateAnswerIsTornDownAtTheBox(t *testing.T) {
	b := newBench(t, 2, nil)
	b.boxes[0].HoldAnswers()
	b.boxes[1].HoldAnswers()
	seen, err := player.Watch(context.Background(), b.want("clips"))
	if seen.Status != 503 {
		t.Fatalf("%+v %v", seen, err)
	}
	for _, x := range b.boxes {
		x.Unhang() // both now set up what was withdrawn
	}
	b.rules()
	b.eventually("two orphans torn down", func() bool { return metric(b, "rainhaven_orphans_total", "torn down") == 2 })
}

func metric(b *bench, name, label string) float64 {
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
			b := newBench(t, 2, nil)
			if c.hold {
				b.boxes[0].HoldAnswers()
				b.boxes[1].HoldAnswers()
			}
			w := b.want("clips")
			w.Watch, w.LeaveAfter = 0, c.after
			player.Watch(context.Background(), w)
			b.eventually("the front has let go", func() bool { return b.Sessions() == 0 })
			for _, x := range b.boxes {
				x.Unhang()
			}
			b.rules()
		})
	}
}

// dial speaks to the front by hand.
func (b *bench) dial() *rtsp.Conn {
	c, err := net.Dial("tcp", b.addr)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return rtsp.NewConn(c, rtsp.Limits{})
}

func (b *bench) setup(cseq, query string) *rtsp.Message {
	return rtsp.NewRequest(rtsp.Setup, "rtsp://"+b.addr+"/clips/vents"+query).WithHeader("CSeq", cseq).
		WithHeader("Transport", "RTP/AVP/TCP;unicast")
}

// A box that refuses a TEARDOWN goes on sending: the next viewer must not get it.
func TestNextViewerGetsNothingOfTheLast(t *testing.T) {
	b := newBench(t, 1, nil)
	b.boxes[0].KeepSessions(1)
	for range 2 {
		w := b.want("clips")
		w.Watch = 0.6
		seen, err := player.Watch(context.Background(), w)
		if err != nil || seen.Jumps+seen.Lost+seen.Doubled+seen.Rungs > 0 || seen.Frames > 40 { // 30 are its own
			t.Fatalf("%+v %v", seen, err)
		}
	}
	b.rules()
}

func TestAfterTheAnswerAndBeforePlay(t *testing.T) {
	b := newBench(t, 2, nil)
	c := b.dial()
	r, err := c.RoundTrip(b.setup("1", ""), 5*time.Second, nil)
	if err != nil || r.Status != 200 {
		t.Fatal(r, err)
	}
	for _, x := range b.boxes { // the box closes between SETUP and PLAY
		if x.Sessions() > 0 {
			x.ResetAll()
		}
	}
	b.eventually("the front knows", func() bool { return b.Sessions() == 0 })
	r, err = c.RoundTrip(rtsp.NewRequest(rtsp.Play, "rtsp://"+b.addr+"/clips/vents").WithHeader("CSeq", "2").WithHeader("Session", r.Session()), 5*time.Second, nil)
	if err == nil && r.Status != rtsp.SessionNotFound {
		t.Errorf("PLAY on a session whose box is gone: %d", r.Status)
	}
	d := b.dial()
	if r, err := d.RoundTrip(b.setup("1", ""), 5*time.Second, nil); err != nil || r.Status != 200 {
		t.Fatal(r, err)
	}
	d.Close() // the viewer leaves after 200 and before PLAY
	b.rules()
}

func TestListDropsABoxWithSessionsOnIt(t *testing.T) {
	b := newBench(t, 2, nil)
	type end struct {
		seen player.Seen
		err  error
	}
	ends, playing := make(chan end, 1), make(chan struct{})
	w := b.want("clips")
	w.Watch, w.Live = 2.2, once(playing)
	go func() {
		seen, err := player.Watch(context.Background(), w)
		ends <- end{seen, err}
	}()
	<-playing
	on := 0
	for i, x := range b.boxes {
		if x.Sessions() > 0 {
			on = i
		}
	}
	b.wit.FrontNotified("front-0", on+1, false, b.now())
	b.UpdateBoxes(true, b.terms.Boxes[1-on:2-on])
	for range 10 {
		if seen, err := player.Watch(context.Background(), b.want("clips")); err != nil {
			t.Fatal(seen, err)
		}
	}
	if n := b.boxes[on].Count().Setups; n != 1 {
		t.Errorf("%d SETUPs at a box that left the list", n)
	}
	if e := <-ends; e.err != nil || e.seen.Lost+e.seen.Jumps > 0 {
		t.Errorf("the session there: %+v %v", e.seen, e.err)
	}
	b.rules()
}

// A short link has playing sessions stepped down without a frame lost or doubled, and a box that refuses the step leaves
// them as they were.
func TestShortBoxStepsItsSessionsDown(t *testing.T) {
	for _, deaf := range []bool{false, true} {
		t.Run(fmt.Sprint("refused ", deaf), func(t *testing.T) {
			b := newBench(t, 1, nil)
			b.boxes[0].DeafToRungs(deaf)
			b.boxes[0].Slow(5) // 4,000 of 20,000 kB a second, for four sessions that ask 8,000
			ends := make(chan player.Seen, 4)
			for range 4 {
				go func() {
					w := b.want("clips")
					w.Watch = 4
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
				if rungs += s.Rungs; s.Lost+s.Doubled+s.Jumps > 0 {
					t.Errorf("a change of rung broke the stream: %+v", s)
				}
			}
			if asked := metric(b, "rainhaven_rung_changes_total", ""); asked == 0 || (rungs == 0) != deaf {
				t.Errorf("%v changes asked, %d seen", asked, rungs)
			}
			b.rules()
		})
	}
}

func TestHungBoxBreaksWithAPlainEnd(t *testing.T) {
	b := newBench(t, 1, func(terms *settings.Config, _ *box.Site) { terms.Limits.KeepAlive = 0 })
	w := b.want("clips")
	w.Watch = 0
	hang := make(chan struct{})
	w.Live = once(hang)
	done := make(chan error, 1)
	go func() {
		_, err := player.Watch(context.Background(), w)
		done <- err
	}()
	<-hang
	b.boxes[0].Kill()
	if err := <-done; err != nil && !strings.Contains(err.Error(), "broke") { // BYE, or the end of the connection
		t.Error(err)
	}
	b.rules()
}

func TestDrainAndClose(t *testing.T) {
	b := newBench(t, 1, nil)
	playing, done := make(chan struct{}), make(chan error, 1)
	w := b.want("clips")
	w.Watch = 1.6
	w.Live = once(playing)
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
	b.eventually("new ones are busy-replied", func() bool {
		seen, err := player.Watch(context.Background(), b.want("clips"))
		return seen.Status == 503 && errors.Is(err, player.ErrNotServed)
	})
	if err := <-done; err != nil {
		t.Error(err)
	}
	<-drained
	b.rules()
}

// A front hands its playing sessions to the next one: the box is not asked for a new one, the viewer goes on over a new
// connection, and the module knows of it.
func TestHandedOver(t *testing.T) {
	b := newBench(t, 2, nil)
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
	sent := make(chan struct{}) // the viewer is quicker than the way to the box
	next, err := front.New(b.terms, front.Options{Handover: append(list, forged), Dial: func(ctx context.Context, address string) (net.Conn, error) {
		<-sent
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
	look := func(m *rtsp.Message, f rtsp.Frame) {
		if m == nil {
			frames++
		}
	}
	d.Write(rtsp.NewRequest(rtsp.Play, url).WithHeader("CSeq", "1").WithHeader("Session", id).Append(nil))
	close(sent)
	if r, _, err = d.Next(); err != nil || r == nil || r.Status != 200 {
		t.Fatal(r, err)
	}
	d.SetDeadline(time.Now().Add(5 * time.Second))
	for frames < 10 {
		m, f, err := d.Next()
		if err != nil {
			t.Fatal(err)
		}
		look(m, f)
	}
	if n := b.boxes[0].Count().Setups + b.boxes[1].Count().Setups; n != 1 {
		t.Errorf("%d SETUPs", n)
	}
	if r, err = d.RoundTrip(rtsp.NewRequest(rtsp.TearDown, url).WithHeader("CSeq", "2").WithHeader("Session", id), 5*time.Second, look); err != nil || r.Status != 200 {
		t.Fatal(r, err)
	}
	b.eventually("the next front holds nothing", func() bool { return next.Sessions() == 0 })
	b.eventually("nor do the boxes", func() bool { return b.boxes[0].Sessions()+b.boxes[1].Sessions() == 0 })
}

// Viewers are sent to another front while one drains, and the drain ends at once.
func TestDrainSendsViewersElsewhere(t *testing.T) {
	other := newBench(t, 1, nil)
	b := newBench(t, 1, func(terms *settings.Config, _ *box.Site) { terms.Redirect = other.addr })
	playing, done := make(chan struct{}), make(chan player.Seen, 1)
	w := b.want("clips")
	w.Watch = 0
	w.Live = once(playing)
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
	if seen.SentTo != other.addr || seen.Lost+seen.Jumps > 0 {
		t.Fatalf("%+v", seen)
	}
	w = other.want("clips")
	w.Address = seen.SentTo
	if seen, err := player.Watch(context.Background(), w); err != nil || seen.Status != 200 {
		t.Errorf("at the other front: %+v %v", seen, err)
	}
	b.rules()
	other.rules()
}

func TestCloseAnswersWhatIsOpen(t *testing.T) {
	b := newBench(t, 1, nil)
	b.boxes[0].HoldAnswers()
	done := make(chan player.Seen, 1)
	go func() {
		seen, _ := player.Watch(context.Background(), b.want("clips"))
		done <- seen
	}()
	b.eventually("a SETUP is out", func() bool { return b.boxes[0].Count().Setups == 1 })
	b.Close()
	if seen := <-done; seen.Status != 504 {
		t.Errorf("%+v", seen)
	}
	b.boxes[0].Unhang()
	b.rules()
}
