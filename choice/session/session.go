// Package session decides what happens to each session between its viewer and its box: what is asked of the box and
// when, how long it is waited for, what each answer, break or silence means to the module, and what the viewer is
// told. It knows no protocol's text and does no I/O.
//
// How it is called: New once, then At with the clock and one method an event; Settle ends a batch and alone gives
// Orders. A Table owns the choice.Front: every event that concerns the module goes through here. Next tells when Due
// is wanted. Events may come late, twice or out of order: each names the SETUP it belongs to (its try), and one that
// belongs to a SETUP that is over is dropped here.
package session

import (
	"cmp"
	"container/heap"
	"slices"

	"rainhaven/choice"
	"rainhaven/choice/decisionlog"
)

// Op is something asked of a box within a session, or by a viewer.
type Op int

// The operations. Join adds a track; KeepAlive asks nothing; SetRung is asked of boxes only.
const (
	Play Op = iota + 1
	Pause
	Join
	KeepAlive
	TearDown
	SetRung
)

func (o Op) String() string {
	return [...]string{"none", "play", "pause", "join", "keep-alive", "teardown", "rung"}[o]
}

// Request is a viewer's first request for a session.
type Request struct {
	Group           int
	Title           string
	StartCell, Span int
	BestRung        int
	Length          float64 // seconds expected; 0 is not told
}

// FinalAnswer is the final answer to a request for a session.
type FinalAnswer int

// The verdicts.
const (
	Served FinalAnswer = iota + 1
	Busy
	Failed
)

func (v FinalAnswer) String() string {
	return [...]string{"none", "served", "busy-replied", "torn down"}[v]
}

// Result answers a later request of the viewer's.
type Result int

// The results. Done carries on what the box answered.
const (
	Done            Result = iota + 1
	NoSession              // there is none by that name any more
	WrongState             // not in this state
	BoxRefused             // the box answered that it would not
	BoxUnavailable         // the box did not answer in time, or broke
	TooManyRequests        // more requests wait than a viewer may have
)

// EndReason tells how a session ended that had begun to play or was set up.
type EndReason int

// The ends.
const (
	ByViewer      EndReason = iota + 1 // it asked for the end, or its connection is gone
	BoxLost                            // the box's connection broke
	BoxHung                            // the box did not answer in time
	ViewerIdle                         // nothing was heard of the viewer for its session timeout
	FrontStopping                      // the front is being stopped
)

func (w EndReason) String() string {
	return [...]string{"none", "by viewer", "box lost", "box hung", "viewer silent", "front stopping"}[w]
}

// Actions is what a table has done. All orders are given from within Settle.
type Actions interface {
	// Setup sends a SETUP to a box, connecting first if need be. SetupSent, BoxAnswered or BoxFailed follow.
	Setup(id choice.SessID, try int, box choice.ServerID, rung int)
	// CancelSetup ends a SETUP that is out: the box is told at once, and what it still answers is torn down there.
	CancelSetup(id choice.SessID, try int)
	// SendOp asks an operation of the box; arg is the viewer's number of the request, or the rung. OpAnswered follows.
	SendOp(id choice.SessID, try int, op Op, arg int)
	// CloseConn gives up a session's connection to its box without a word more.
	CloseConn(id choice.SessID, try int)
	Probe(box choice.ServerID)
	// Answer gives the final answer; comeBack is advice in seconds, 0 is none.
	Answer(id choice.SessID, v FinalAnswer, comeBack float64)
	// Reply answers a later request.
	Reply(id choice.SessID, n int, r Result)
	// End tells that a session that was served is over; no order for it follows but Do TearDown and Drop.
	End(id choice.SessID, why EndReason)
}

// Limits are the table's own limits.
type Limits struct {
	SetupTimeout      []float64 // by service group: seconds in which a viewer waits for its answer
	MaxSessions       int       // at most; more are busy-replied. 0 is no cap
	ViewerIdleTimeout float64   // a viewer unheard of for so many seconds is gone
	KeepAliveInterval float64   // seconds between signs of life to a box
}

const (
	// Answers leave this many seconds before the viewer gives up: loop, two writes and the way back took under
	// 40 ms with 2,000 sessions playing; the rest is for a machine that is short of processors.
	margin = 0.15
	// What a box may take for an operation on a session it holds. Such answers come in milliseconds; a box that
	// stands still for 3 s has by then shown itself to the module by its share.
	opTime = 3.0
	// A TEARDOWN is waited for so long before the connection is dropped instead. The seat is held meanwhile.
	tearDownTime = 2.0
	// Requests of one viewer that may wait for their turn: SETUPs of all tracks, PLAY and TEARDOWN in one write.
	mostQueued = 8
	// The net under rule 1 closes so many seconds before the viewer gives up, past the module's own time.
	net = 0.05
)

// phase is where a session stands with its box.
type phase int

const (
	idle       phase = iota // nothing is asked of any box
	connecting              // a SETUP was ordered and not yet sent
	asked                   // a SETUP is out
	ready                   // set up, not played yet
	playing
	paused
	closing // a TEARDOWN is out
	gone    // nothing more is owed to anybody
)

type request struct {
	op Op
	n  int
}

// life is one session from its request to its end.
type life struct {
	id    choice.SessID
	group int

	viewer   bool // there is still one
	owed     bool // the final answer
	verdict  FinalAnswer
	comeBack float64
	giveUp   float64   // instant at which the viewer gives up
	heard    float64   // last word of the viewer's
	queue    []request // the viewer's requests, oldest first; at most mostQueued
	replies  []reply   // to be given by settle

	try       int
	box       choice.ServerID
	phase     phase
	until     float64 // end of the wait for the SETUP or for the TEARDOWN
	op        request // out at the box; op 0 is none
	opSent    bool
	opUntil   float64
	rung      int // in force
	wantRung  int
	sentRung  int // SET_PARAMETER out; -1 is none
	rungUntil float64
	keepAt    float64

	wantSetup   bool // a SETUP to box is wanted, not yet ordered
	withdraw    []int
	wantClose   bool // a TEARDOWN is wanted
	wantDrop    bool
	wantEnd     EndReason
	ended       bool // End was given
	touched     bool
	at          int     // in the heap
	next        float64 // when it wants to be looked at
	toldModule  bool    // the module knows of it still
	answerGiven bool
	req         choice.Request // as the module knows it
	alone       bool           // its terms changed while a SETUP was out: none follows that one
}

type reply struct {
	n int
	r Result
}

type stray struct {
	id choice.SessID
	n  int
}

// Table holds a front's sessions.
type Table struct {
	mod    *choice.Front
	out    Actions
	bounds Limits
	now    float64
	lives  map[choice.SessID]*life            // emptied as sessions end
	due    heapOf                             // the same, by when they want to be looked at
	touch  []*life                            // emptied by Settle
	strays []stray                            // requests for sessions that are not there; emptied by Settle
	list   map[choice.ServerID]choice.Listing // the boxes told of; gone ones leave with their last session at a new list
	wake   float64                            // when the module wants Due; 0 is none
	stop   bool
	groups []choice.ServiceGroup
	top    int               // of the ladder
	kept   *decisionlog.Ring // of decisions
}

// New makes a table and its module.
func New(now float64, fig choice.Config, bounds Limits, out Actions) *Table {
	t := &Table{out: out, bounds: bounds, now: now, lives: map[choice.SessID]*life{},
		list: map[choice.ServerID]choice.Listing{}, kept: &decisionlog.Ring{}}
	t.module(fig)
	return t
}

// module makes the table a module of its own.
func (t *Table) module(fig choice.Config) {
	t.groups, t.top, t.wake = fig.Groups, len(fig.Ladder)-1, 0
	t.mod = choice.New(t.now, fig, acts{t})
}

// SetTime sets the clock; it comes before each batch of events.
func (t *Table) SetTime(now float64) {
	t.now = max(t.now, now)
	t.mod.SetTime(t.now)
}

// Len is how many sessions there are, those ending included.
func (t *Table) Len() int { return len(t.lives) }

func (t *Table) mark(l *life) {
	if !l.touched {
		l.touched = true
		t.touch = append(t.touch, l)
	}
}

// UpdateDirectory takes the list of boxes, whole or changed entries only.
func (t *Table) UpdateDirectory(whole bool, list []choice.Listing) {
	held := map[choice.ServerID]bool{}
	for _, l := range t.lives {
		held[l.box] = true
	}
	if whole {
		for id, e := range t.list {
			e.State = choice.Gone
			t.list[id] = e
		}
	}
	for _, e := range list {
		t.list[e.ID] = e
	}
	for id, e := range t.list {
		if e.State == choice.Gone && !held[id] {
			delete(t.list, id)
		}
	}
	t.mod.UpdateDirectory(whole, list)
	// Against a SETUP that was ordered before the word came and would reach the box after it: one not yet sent is
	// taken back and placed anew. It covers addresses that changed too. Harm: none, it provably never ran.
	for _, l := range t.inOrder() {
		if l.phase == connecting && !l.wantSetup && t.list[l.box].State != choice.Ready {
			l.withdraw = append(l.withdraw, l.try)
			t.setupOver(l, choice.Unsent, choice.LoadReport{Link: -1, Uplink: -1})
		}
	}
}

// inOrder is all sessions by their ids, so that nothing hangs on map order.
func (t *Table) inOrder() []*life {
	list := make([]*life, 0, len(t.lives))
	for _, l := range t.lives {
		list = append(list, l)
	}
	sortByID(list)
	return list
}

func (r Request) request(id choice.SessID) choice.Request {
	return choice.Request{ID: id, Group: r.Group, Title: r.Title, StartCell: r.StartCell, CellCount: r.Span, BestRung: r.BestRung,
		Length: r.Length}
}

// Open takes a viewer's request for a session. Its id must be new.
func (t *Table) Open(id choice.SessID, r Request) {
	if t.lives[id] != nil {
		return
	}
	l := &life{id: id, group: r.Group, viewer: true, owed: true, heard: t.now, sentRung: -1, at: -1,
		rung: t.groups[r.Group].Floor, wantRung: t.groups[r.Group].Floor,
		giveUp: t.now + t.bounds.SetupTimeout[r.Group]}
	t.lives[id] = l
	t.mark(l)
	// Against more sessions than the process was sized for, and against new ones while it stops. Nothing was sent
	// to any box, so trying again elsewhere is harmless for every group.
	if t.stop || t.bounds.MaxSessions > 0 && len(t.lives) > t.bounds.MaxSessions {
		l.verdict, l.comeBack = Busy, 1
		return
	}
	t.note(l, decisionlog.Entry{Kind: decisionlog.Requested, Rung: r.BestRung})
	l.toldModule, l.req = true, r.request(id)
	l.req.SetupTimeout = l.giveUp - margin
	t.mod.RequestSession(l.req)
}

// Adopt takes over a session that plays already at a box.
func (t *Table) Adopt(id choice.SessID, r Request, box choice.ServerID, rung int) {
	if t.lives[id] != nil {
		return
	}
	l := &life{id: id, group: r.Group, viewer: true, heard: t.now, sentRung: -1, at: -1, toldModule: true,
		try: 1, box: box, phase: playing, rung: rung, wantRung: rung, keepAt: t.now + t.bounds.KeepAliveInterval,
		verdict: Served, answerGiven: true, req: r.request(id)}
	t.lives[id] = l
	t.mark(l)
	t.mod.AddHandedOver(l.req, box)
	t.mod.SetCurrentRung(id, rung)
}

// RequestOp takes a later request of a viewer's, by the viewer's own number.
func (t *Table) RequestOp(id choice.SessID, op Op, n int) {
	l := t.lives[id]
	if l == nil || !l.viewer {
		t.strays = append(t.strays, stray{id, n})
		return
	}
	t.mark(l)
	l.heard = t.now
	if len(l.queue) >= mostQueued {
		l.replies = append(l.replies, reply{n, TooManyRequests})
		return
	}
	l.queue = append(l.queue, request{op, n})
	t.advance(l)
}

// ViewerSeen tells of any other sign of life of a viewer.
func (t *Table) ViewerSeen(id choice.SessID) {
	if l := t.lives[id]; l != nil {
		l.heard = t.now
	}
}

// ViewerGone tells that a viewer's connection is gone.
func (t *Table) ViewerGone(id choice.SessID) {
	if l := t.lives[id]; l != nil && l.viewer {
		l.owed = false // given up: no answer is owed any more
		t.finish(l, ByViewer)
	}
}

// SetupSent tells that a SETUP has left for its box.
func (t *Table) SetupSent(id choice.SessID, try int) {
	if l := t.lives[id]; l != nil && l.try == try && l.phase == connecting {
		l.phase = asked
	}
}

// OutcomeOf is what a box's status to a SETUP or a probe means to the module. 453 and 503 prove that nothing ran.
func OutcomeOf(status int) choice.Outcome {
	switch {
	case status >= 200 && status < 300:
		return choice.Served
	case status == 453 || status == 503:
		return choice.Full
	}
	return choice.ServerError
}

// BestRung is the highest rung that a viewer can take by the bandwidth it names, in bits a second; 0 is not told. rates
// are its group's, in kB a second.
func BestRung(rates []float64, bandwidth float64) int {
	best := len(rates) - 1
	for best > 0 && bandwidth > 0 && rates[best]*8000 > bandwidth {
		best--
	}
	return best
}

// BoxAnswered tells a box's answer to a SETUP.
func (t *Table) BoxAnswered(id choice.SessID, try, status int, rep choice.LoadReport) {
	l := t.lives[id]
	if l == nil || l.try != try || l.phase != asked && l.phase != connecting {
		return
	}
	t.mark(l)
	o := OutcomeOf(status)
	if o != choice.Served {
		t.setupOver(l, o, rep)
		return
	}
	l.phase, l.keepAt = ready, t.now+t.bounds.KeepAliveInterval
	t.mod.SetupDone(id)
	if rep.Link >= 0 {
		t.mod.LoadNote(id, l.box, rep.Link, false)
	}
	if rep.Uplink >= 0 {
		t.mod.LoadNote(id, l.box, rep.Uplink, true)
	}
	l.verdict = Served
	t.advance(l)
}

// setupOver ends a SETUP that brought no session.
func (t *Table) setupOver(l *life, o choice.Outcome, rep choice.LoadReport) {
	t.mark(l)
	l.phase, l.wantSetup = idle, false
	t.note(l, decisionlog.Entry{Kind: decisionlog.SetupEnded, Box: l.box, Outcome: o})
	if l.alone {
		ran := o != choice.Full && o != choice.NoConnection && o != choice.Unsent
		if l.verdict, l.comeBack = Busy, 1; ran && t.groups[l.group].Paid {
			l.verdict = Failed
		}
		t.over(l, o, rep)
		return
	}
	if l.toldModule {
		t.mod.SetupEnded(l.id, l.box, o, false, rep)
	}
}

// BoxFailed tells that the connection to a box could not be had, or broke.
func (t *Table) BoxFailed(id choice.SessID, try int) {
	l := t.lives[id]
	if l == nil || l.try != try {
		return
	}
	t.mark(l)
	none := choice.LoadReport{Link: -1, Uplink: -1}
	switch l.phase {
	case connecting:
		t.setupOver(l, choice.NoConnection, none)
	case asked:
		t.setupOver(l, choice.Reset, none)
	case ready, playing, paused:
		l.phase = gone
		t.over(l, choice.Reset, none)
		t.finish(l, BoxLost)
	case closing:
		l.phase = gone
		t.over(l, choice.Cancelled, none)
	}
}

// OpAnswered tells a box's answer to an operation; status 0 is none.
func (t *Table) OpAnswered(id choice.SessID, try int, op Op, arg, status int, rep choice.LoadReport) {
	l := t.lives[id]
	if l == nil || l.try != try {
		return
	}
	t.mark(l)
	good := status >= 200 && status < 300
	switch {
	case op == TearDown && l.phase == closing:
		l.phase = gone
		t.over(l, choice.Served, rep)
	case op == KeepAlive && status == 454 && l.phase >= ready && l.phase <= paused:
		// The box has lost the session, by a restart that kept its address or a time-out of its own.
		l.wantDrop, l.phase = true, gone
		t.over(l, choice.Reset, rep)
		t.finish(l, BoxLost)
	case op == SetRung && l.sentRung == arg:
		if l.sentRung = -1; good {
			l.rung = arg
		} else {
			t.rungStays(l)
		}
	case l.op.op == op && l.op.n == arg:
		if l.op = (request{}); !good {
			l.replies = append(l.replies, reply{arg, BoxRefused})
		} else {
			l.replies = append(l.replies, reply{arg, Done})
			switch op {
			case Play:
				l.phase = playing
			case Pause:
				l.phase = paused
			}
		}
		t.advance(l)
	}
}

// rungStays answers a change of rung that the box did not make: the module goes on from the rung in force.
func (t *Table) rungStays(l *life) {
	l.wantRung = l.rung
	t.note(l, decisionlog.Entry{Kind: decisionlog.RungRefused, Rung: l.rung})
	if l.toldModule {
		t.mod.SetCurrentRung(l.id, l.rung)
	}
}

// over tells the module a session's end.
func (t *Table) over(l *life, o choice.Outcome, rep choice.LoadReport) {
	if l.toldModule {
		l.toldModule = false
		t.mod.SetupEnded(l.id, l.box, o, true, rep)
	}
}

// finish ends a session for its viewer; what is left at boxes is put in order after it.
func (t *Table) finish(l *life, why EndReason) {
	t.mark(l)
	for _, q := range l.queue {
		l.replies = append(l.replies, reply{q.n, NoSession})
	}
	if l.op.op != 0 {
		l.replies = append(l.replies, reply{l.op.n, BoxUnavailable})
	}
	l.queue, l.op = nil, request{}
	if why != FrontStopping || l.answerGiven {
		l.viewer = false
	}
	if (l.answerGiven || l.owed && l.verdict == Served) && l.wantEnd == 0 {
		l.wantEnd = why
	}
	switch l.phase {
	case connecting, asked:
		if l.wantSetup {
			l.wantSetup = false
		} else {
			l.withdraw = append(l.withdraw, l.try)
		}
		o := choice.Cancelled
		if l.phase == connecting {
			o = choice.Unsent
		}
		l.phase = gone
		if l.toldModule {
			t.mod.RequestClosed(l.id)
		}
		t.over(l, o, choice.LoadReport{Link: -1, Uplink: -1})
	case idle:
		l.phase = gone
		if l.toldModule {
			l.toldModule = false
			t.mod.RequestClosed(l.id)
		}
	case ready, playing, paused:
		l.phase, l.wantClose, l.until = closing, true, t.now+tearDownTime
	}
}

// advance takes the viewer's requests in their order, as far as the session's state lets it.
func (t *Table) advance(l *life) {
	for len(l.queue) > 0 && l.op.op == 0 && l.phase != closing && l.phase != gone {
		if l.phase < ready && l.verdict != Served {
			return // its SETUP has no answer yet
		}
		q := l.queue[0]
		l.queue = l.queue[1:]
		ask := false
		switch q.op {
		case Play:
			ask = true
		case Pause:
			if ask = l.phase == playing; l.phase == ready {
				l.replies = append(l.replies, reply{q.n, WrongState})
				continue
			}
		case Join:
			if ask = l.phase == ready; !ask {
				l.replies = append(l.replies, reply{q.n, WrongState})
				continue
			}
		case TearDown:
			l.replies = append(l.replies, reply{q.n, Done})
			t.finish(l, ByViewer)
			return
		}
		if !ask {
			l.replies = append(l.replies, reply{q.n, Done})
			continue
		}
		l.op, l.opSent, l.opUntil = q, false, t.now+opTime
	}
}

// Probed tells how a probe ended: a status, or 0 with the failure.
func (t *Table) Probed(box choice.ServerID, status int, failure choice.Outcome, rep choice.LoadReport) {
	o := failure
	if status != 0 {
		o = OutcomeOf(status)
	}
	t.mod.ProbeEnded(box, o, rep)
}

// ShortDelivery, Load pass on what choice/delivery makes of boxes.
func (t *Table) ShortDelivery(box choice.ServerID, share float64) { t.mod.ShortDelivery(box, share) }

// LoadNote passes on a load note that came with a session's media.
func (t *Table) LoadNote(id choice.SessID, box choice.ServerID, x float64, uplink bool) {
	t.mod.LoadNote(id, box, x, uplink)
}

// StopAccepting has new requests busy-replied. Sessions go on.
func (t *Table) StopAccepting() { t.stop = true }

// EndAll ends all sessions: those set up are torn down, requests without an answer are busy-replied where no SETUP of
// theirs may have run, else torn down.
func (t *Table) EndAll() {
	t.stop = true
	for _, l := range t.inOrder() {
		if l.owed {
			ran := l.phase == asked
			if l.verdict == 0 {
				if l.verdict = Busy; ran {
					l.verdict = Failed
				}
			}
		}
		if l.phase != closing && l.phase != gone {
			t.finish(l, FrontStopping)
		}
	}
}

// NextTimer is the instant at which Due is wanted, 0 where none is.
func (t *Table) NextTimer() float64 {
	n := t.wake
	if len(t.due) > 0 && (n == 0 || t.due[0].next < n) {
		n = t.due[0].next
	}
	return n
}

// RunTimers does what has come due: waits that are over, signs of life, the module's own.
func (t *Table) RunTimers() {
	for len(t.due) > 0 && t.due[0].next <= t.now {
		l := t.due[0]
		t.expire(l)
		t.mark(l)
		t.schedule(l)
		if l.at >= 0 && l.next <= t.now { // nothing may spin
			l.next = t.now + 0.01
			heap.Fix(&t.due, l.at)
		}
	}
	if t.wake > 0 && t.now >= t.wake {
		t.wake = 0
		t.mod.HandleTimer()
	}
}

// expire does what one session's clock asks for.
func (t *Table) expire(l *life) {
	none := choice.LoadReport{Link: -1, Uplink: -1}
	switch l.phase {
	case connecting, asked:
		if t.now >= l.until && !l.wantSetup {
			l.withdraw = append(l.withdraw, l.try)
			o := choice.TimedOut
			if l.phase == connecting {
				o = choice.NoConnection // never sent
			}
			t.setupOver(l, o, none)
		}
	case closing:
		if t.now >= l.until {
			l.wantDrop, l.phase = true, gone
			t.over(l, choice.TimedOut, none)
		}
	case ready, playing, paused:
		if l.op.op != 0 && t.now >= l.opUntil {
			l.wantDrop, l.phase = true, gone
			t.over(l, choice.TimedOut, none)
			t.finish(l, BoxHung)
			return
		}
		if l.sentRung >= 0 && t.now >= l.rungUntil {
			l.sentRung = -1
			t.rungStays(l)
		}
		if t.bounds.ViewerIdleTimeout > 0 && t.now >= l.heard+t.bounds.ViewerIdleTimeout {
			t.finish(l, ViewerIdle)
		}
	}
	// The net under rule 1: against any path that would leave a request without its answer until the viewer gives
	// up. The module answers margin seconds earlier, so it acts only where something else failed; torn down is the
	// answer that is true whatever ran.
	if l.owed && l.verdict == 0 && t.now >= l.giveUp-net {
		if l.phase == connecting || l.phase == asked {
			t.finish(l, BoxHung)
		} else if l.toldModule {
			l.toldModule = false
			t.mod.RequestClosed(l.id)
		}
		l.verdict, l.phase = Failed, gone
	}
}

// schedule sets when a session wants to be looked at next.
func (t *Table) schedule(l *life) {
	n := 0.0
	at := func(x float64) {
		if x > 0 && (n == 0 || x < n) {
			n = x
		}
	}
	switch l.phase {
	case connecting, asked, closing:
		at(l.until)
	case ready, playing, paused:
		if l.op.op != 0 {
			at(l.opUntil)
		}
		if l.sentRung >= 0 {
			at(l.rungUntil)
		}
		if t.bounds.ViewerIdleTimeout > 0 {
			at(l.heard + t.bounds.ViewerIdleTimeout)
		}
		if t.bounds.KeepAliveInterval > 0 {
			at(l.keepAt)
		}
	}
	if l.owed && l.verdict == 0 {
		at(l.giveUp - net)
	}
	if l.next = n; n == 0 {
		if l.at >= 0 {
			heap.Remove(&t.due, l.at)
		}
		return
	}
	if l.at >= 0 {
		heap.Fix(&t.due, l.at)
	} else {
		heap.Push(&t.due, l)
	}
}

// Settle gives the orders that take each session from where it is to where it is wanted.
func (t *Table) Settle() {
	t.mod.Reconcile()
	for _, s := range t.strays {
		t.out.Reply(s.id, s.n, NoSession)
	}
	t.strays = t.strays[:0]
	for i := 0; i < len(t.touch); i++ {
		l := t.touch[i]
		l.touched = false
		t.settle(l)
		t.schedule(l)
		if l.phase == gone && !l.owed {
			delete(t.lives, l.id)
			if l.at >= 0 {
				heap.Remove(&t.due, l.at)
			}
		}
	}
	t.touch = t.touch[:0]
}

// settle works out the difference between a session's wanted state and its present one and orders it.
func (t *Table) settle(l *life) {
	for _, try := range l.withdraw {
		t.out.CancelSetup(l.id, try)
	}
	l.withdraw = nil
	if l.wantSetup {
		l.wantSetup = false
		l.rung = l.wantRung
		t.out.Setup(l.id, l.try, l.box, l.rung)
	}
	if l.owed && l.verdict != 0 {
		l.owed, l.answerGiven = false, l.verdict == Served
		t.out.Answer(l.id, l.verdict, l.comeBack)
		if l.verdict != Served {
			l.viewer = false
			for _, q := range l.queue {
				l.replies = append(l.replies, reply{q.n, NoSession})
			}
			if l.queue = nil; l.phase == idle {
				l.phase = gone
			}
		}
	}
	for _, r := range l.replies {
		t.out.Reply(l.id, r.n, r.r)
	}
	l.replies = nil
	if l.op.op != 0 && !l.opSent {
		l.opSent = true
		t.out.SendOp(l.id, l.try, l.op.op, l.op.n)
	}
	if l.phase >= ready && l.phase <= paused {
		if l.wantRung != l.rung && l.sentRung < 0 {
			l.sentRung, l.rungUntil = l.wantRung, t.now+opTime
			t.out.SendOp(l.id, l.try, SetRung, l.wantRung)
		}
		if t.bounds.KeepAliveInterval > 0 && t.now >= l.keepAt {
			l.keepAt = t.now + t.bounds.KeepAliveInterval
			t.out.SendOp(l.id, l.try, KeepAlive, 0)
		}
	}
	if l.wantEnd != 0 && !l.ended {
		l.ended = true
		t.note(l, decisionlog.Entry{Kind: decisionlog.Ended, EndReason: l.wantEnd.String()})
		t.out.End(l.id, l.wantEnd)
	}
	if l.wantClose {
		l.wantClose = false
		t.out.SendOp(l.id, l.try, TearDown, 0)
	}
	if l.wantDrop {
		l.wantDrop = false
		t.out.CloseConn(l.id, l.try)
	}
}

// acts takes the module's acts and makes wanted state of them.
type acts struct{ t *Table }

func (a acts) with(id choice.SessID, do func(l *life)) {
	if l := a.t.lives[id]; l != nil && l.phase != gone && l.phase != closing {
		do(l)
		a.t.mark(l)
	}
}

func (a acts) SetRung(id choice.SessID, rung int) {
	a.with(id, func(l *life) {
		l.wantRung = rung
		if l.phase >= ready {
			a.t.note(l, decisionlog.Entry{Kind: decisionlog.RungChanged, Box: l.box, Rung: rung})
		}
	})
}

func (a acts) Setup(id choice.SessID, box choice.ServerID, wait float64) {
	a.with(id, func(l *life) {
		l.try++
		l.box, l.phase, l.wantSetup = box, connecting, true
		l.until = a.t.now + max(wait, 0)
		a.t.note(l, decisionlog.Entry{Kind: decisionlog.SetupSent, Box: box, Rung: l.wantRung, Seconds: wait})
	})
}

func (a acts) BusyReply(id choice.SessID, comeBack float64) {
	a.with(id, func(l *life) {
		l.verdict, l.comeBack, l.toldModule = Busy, comeBack, false
		a.t.note(l, decisionlog.Entry{Kind: decisionlog.BusyReplied, Seconds: comeBack})
	})
}

func (a acts) SendMessage(int, []byte) {} // fronts of this program have no messages yet; Peers is never set
func (a acts) FailureReply(id choice.SessID) {
	a.with(id, func(l *life) {
		l.verdict, l.toldModule = Failed, false
		a.t.note(l, decisionlog.Entry{Kind: decisionlog.Failed})
	})
}

// note keeps a decision with the figures that the module sees now.
func (t *Table) note(l *life, e decisionlog.Entry) {
	e.At, e.Session = t.now, l.id
	switch e.Kind {
	case decisionlog.SetupSent, decisionlog.RungChanged, decisionlog.BusyReplied, decisionlog.Failed:
		e.Snapshot, _ = t.mod.Explain(l.id)
	}
	t.kept.Record(e)
}

// Explain puts into words what was decided for a session, as far back as it is kept; an empty id stands for the one that was
// turned away last, as viewers are not told the ids of those.
func (t *Table) Explain(id choice.SessID) []string {
	if id == "" {
		id = t.kept.LastRejected()
	}
	return decisionlog.Explain(t.kept.ForSession(id))
}

func (a acts) Probe(box choice.ServerID) { a.t.out.Probe(box) }

func (a acts) SetTimer(after float64) { a.t.wake = a.t.now + after }

func sortByID(list []*life) {
	slices.SortFunc(list, func(a, b *life) int { return cmp.Compare(a.id, b.id) })
}
