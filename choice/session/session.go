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
	"rainhaven/choice/account"
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
	Setup(id choice.SessID, attempt int, box choice.ServerID, rung int)
	// CancelSetup ends a SETUP that is out: the box is told at once, and what it still answers is torn down there.
	CancelSetup(id choice.SessID, attempt int)
	// SendOp asks an operation of the box; arg is the viewer's number of the request, or the rung. OpAnswered follows.
	SendOp(id choice.SessID, attempt int, op Op, arg int)
	// CloseConn gives up a session's connection to its box without a word more.
	CloseConn(id choice.SessID, attempt int)
	Probe(box choice.ServerID)
	// Answer gives the final answer; comeBack is advice in seconds, 0 is none.
	Answer(id choice.SessID, v FinalAnswer, retryAfter float64)
	// Reply answers a later request.
	Reply(id choice.SessID, n int, result Result)
	// End tells that a session that was served is over; no order for it follows but Do TearDown and Drop.
	End(id choice.SessID, reason EndReason)
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
	answerMarginSeconds = 0.15
	// What a box may take for an operation on a session it holds. Such answers come in milliseconds; a box that
	// stands still for 3 s has by then shown itself to the module by its share.
	opTimeoutSeconds = 3.0
	// A TEARDOWN is waited for so long before the connection is dropped instead. The seat is held meanwhile.
	teardownTimeoutSeconds = 2.0
	// Requests of one viewer that may wait for their turn: SETUPs of all tracks, PLAY and TEARDOWN in one write.
	maxQueuedOps = 8
	// The backstopMarginSeconds under rule 1 closes so many seconds before the viewer gives up, past the module's own time.
	backstopMarginSeconds = 0.05
)

// phase is where a session stands with its box.
type phase int

const (
	idle       phase = iota // nothing is asked of any box
	connecting              // a SETUP was ordered and not yet sent
	setupSent               // a SETUP is out
	ready                   // set up, not played yet
	playing
	paused
	closing // a TEARDOWN is out
	ended   // nothing more is owed to anybody
)

type queuedOp struct {
	op Op
	n  int
}

// session is one session from its request to its end.
type session struct {
	id    choice.SessID
	group int

	viewerPresent  bool // there is still one
	answerOwed     bool // the final answer
	answer         FinalAnswer
	retryAfter     float64
	answerDeadline float64    // instant at which the viewer gives up
	lastSeen       float64    // last word of the viewer's
	queue          []queuedOp // the viewer's requests, oldest first; at most mostQueued
	replies        []reply    // to be given by settle

	attempt       int
	box           choice.ServerID
	phase         phase
	phaseDeadline float64  // end of the wait for the SETUP or for the TEARDOWN
	pendingOp     queuedOp // out at the box; op 0 is none
	opSent        bool
	opDeadline    float64
	rung          int // in force
	wantRung      int
	pendingRung   int // SET_PARAMETER out; -1 is none
	rungDeadline  float64
	keepAliveAt   float64

	wantSetup     bool // a SETUP to box is wanted, not yet ordered
	cancelSetups  []int
	wantTeardown  bool // a TEARDOWN is wanted
	wantCloseConn bool
	endReason     EndReason
	endReported   bool // End was given
	dirty         bool
	heapIndex     int     // in the heap
	timerAt       float64 // when it wants to be looked at
	inModule      bool    // the module knows of it still
	servedSent    bool
	req           choice.Request // as the module knows it
	noRetry       bool           // its terms changed while a SETUP was out: none follows that one
}

type reply struct {
	n      int
	result Result
}

type unknownSession struct {
	id choice.SessID
	n  int
}

// Table holds a front's sessions.
type Table struct {
	module       *choice.Front
	actions      Actions
	limits       Limits
	now          float64
	sessions     map[choice.SessID]*session         // emptied as sessions end
	timers       timerHeap                          // the same, by when they want to be looked at
	dirty        []*session                         // emptied by Settle
	unknown      []unknownSession                   // requests for sessions that are not there; emptied by Settle
	boxes        map[choice.ServerID]choice.Listing // the boxes told of; gone ones leave with their last session at a new list
	moduleWakeAt float64                            // when the module wants Due; 0 is none
	refuseNew    bool
	groups       []choice.ServiceGroup
	topRung      int           // of the ladder
	decisions    *account.Ring // of decisions
}

// New makes a table and its module.
func New(now float64, fig choice.StartFigures, limits Limits, actions Actions) *Table {
	t := &Table{actions: actions, limits: limits, now: now, sessions: map[choice.SessID]*session{},
		boxes: map[choice.ServerID]choice.Listing{}, decisions: &account.Ring{}}
	t.newModule(fig)
	return t
}

// newModule makes the table a newModule of its own.
func (t *Table) newModule(fig choice.StartFigures) {
	t.groups, t.topRung, t.moduleWakeAt = fig.Groups, len(fig.Ladder)-1, 0
	t.module = choice.New(t.now, fig, moduleActions{t})
}

// SetTime sets the clock; it comes before each batch of events.
func (t *Table) SetTime(now float64) {
	t.now = max(t.now, now)
	t.module.At(t.now)
}

// Len is how many sessions there are, those ending included.
func (t *Table) Len() int { return len(t.sessions) }

func (t *Table) markDirty(s *session) {
	if !s.dirty {
		s.dirty = true
		t.dirty = append(t.dirty, s)
	}
}

// UpdateDirectory takes the list of boxes, whole or changed entries only.
func (t *Table) UpdateDirectory(whole bool, list []choice.Listing) {
	inUse := map[choice.ServerID]bool{}
	for _, s := range t.sessions {
		inUse[s.box] = true
	}
	if whole {
		for id, e := range t.boxes {
			e.State = choice.Gone
			t.boxes[id] = e
		}
	}
	for _, e := range list {
		t.boxes[e.ID] = e
	}
	for id, e := range t.boxes {
		if e.State == choice.Gone && !inUse[id] {
			delete(t.boxes, id)
		}
	}
	t.module.Directory(whole, list)
	// Against a SETUP that was ordered before the word came and would reach the box after it: one not yet sent is
	// taken back and placed anew. It covers addresses that changed too. Harm: none, it provably never ran.
	for _, s := range t.sortedSessions() {
		if s.phase == connecting && !s.wantSetup && t.boxes[s.box].State != choice.Ready {
			s.cancelSetups = append(s.cancelSetups, s.attempt)
			t.setupFailed(s, choice.Unsent, choice.Report{Link: -1, Uplink: -1})
		}
	}
}

// sortedSessions is all sessions by their ids, so that nothing hangs on map order.
func (t *Table) sortedSessions() []*session {
	list := make([]*session, 0, len(t.sessions))
	for _, s := range t.sessions {
		list = append(list, s)
	}
	sortByID(list)
	return list
}

func (r Request) forModule(id choice.SessID) choice.Request {
	return choice.Request{ID: id, Group: r.Group, Title: r.Title, StartCell: r.StartCell, Span: r.Span, BestRung: r.BestRung,
		Length: r.Length}
}

// Open takes a viewer's request for a session. Its id must be new.
func (t *Table) Open(id choice.SessID, r Request) {
	if t.sessions[id] != nil {
		return
	}
	s := &session{id: id, group: r.Group, viewerPresent: true, answerOwed: true, lastSeen: t.now, pendingRung: -1, heapIndex: -1,
		rung: t.groups[r.Group].Floor, wantRung: t.groups[r.Group].Floor,
		answerDeadline: t.now + t.limits.SetupTimeout[r.Group]}
	t.sessions[id] = s
	t.markDirty(s)
	// Against more sessions than the process was sized for, and against new ones while it stops. Nothing was sent
	// to any box, so trying again elsewhere is harmless for every group.
	if t.refuseNew || t.limits.MaxSessions > 0 && len(t.sessions) > t.limits.MaxSessions {
		s.answer, s.retryAfter = Busy, 1
		return
	}
	t.record(s, account.Entry{Act: account.Asked, Rung: r.BestRung})
	s.inModule, s.req = true, r.forModule(id)
	s.req.SetupTimeout = s.answerDeadline - answerMarginSeconds
	t.module.Ask(s.req)
}

// Adopt takes over a session that plays already at a box.
func (t *Table) Adopt(id choice.SessID, r Request, box choice.ServerID, rung int) {
	if t.sessions[id] != nil {
		return
	}
	s := &session{id: id, group: r.Group, viewerPresent: true, lastSeen: t.now, pendingRung: -1, heapIndex: -1, inModule: true,
		attempt: 1, box: box, phase: playing, rung: rung, wantRung: rung, keepAliveAt: t.now + t.limits.KeepAliveInterval,
		answer: Served, servedSent: true, req: r.forModule(id)}
	t.sessions[id] = s
	t.markDirty(s)
	t.module.Handed(s.req, box)
	t.module.InForce(id, rung)
}

// RequestOp takes a later request of a viewer's, by the viewer's own number.
func (t *Table) RequestOp(id choice.SessID, op Op, n int) {
	s := t.sessions[id]
	if s == nil || !s.viewerPresent {
		t.unknown = append(t.unknown, unknownSession{id, n})
		return
	}
	t.markDirty(s)
	s.lastSeen = t.now
	if len(s.queue) >= maxQueuedOps {
		s.replies = append(s.replies, reply{n, TooManyRequests})
		return
	}
	s.queue = append(s.queue, queuedOp{op, n})
	t.dispatchQueue(s)
}

// ViewerSeen tells of any other sign of life of a viewer.
func (t *Table) ViewerSeen(id choice.SessID) {
	if s := t.sessions[id]; s != nil {
		s.lastSeen = t.now
	}
}

// ViewerGone tells that a viewer's connection is gone.
func (t *Table) ViewerGone(id choice.SessID) {
	if s := t.sessions[id]; s != nil && s.viewerPresent {
		s.answerOwed = false // given up: no answer is owed any more
		t.endForViewer(s, ByViewer)
	}
}

// SetupSent tells that a SETUP has left for its box.
func (t *Table) SetupSent(id choice.SessID, attempt int) {
	if s := t.sessions[id]; s != nil && s.attempt == attempt && s.phase == connecting {
		s.phase = setupSent
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
func (t *Table) BoxAnswered(id choice.SessID, attempt, status int, report choice.Report) {
	s := t.sessions[id]
	if s == nil || s.attempt != attempt || s.phase != setupSent && s.phase != connecting {
		return
	}
	t.markDirty(s)
	o := OutcomeOf(status)
	if o != choice.Served {
		t.setupFailed(s, o, report)
		return
	}
	s.phase, s.keepAliveAt = ready, t.now+t.limits.KeepAliveInterval
	t.module.Playing(id)
	if report.Link >= 0 {
		t.module.Load(id, s.box, report.Link, false)
	}
	if report.Uplink >= 0 {
		t.module.Load(id, s.box, report.Uplink, true)
	}
	s.answer = Served
	t.dispatchQueue(s)
}

// setupFailed ends a SETUP that brought no session.
func (t *Table) setupFailed(s *session, o choice.Outcome, report choice.Report) {
	t.markDirty(s)
	s.phase, s.wantSetup = idle, false
	t.record(s, account.Entry{Act: account.SetupOver, Box: s.box, Outcome: o})
	if s.noRetry {
		mayHaveRun := o != choice.Full && o != choice.NoConnection && o != choice.Unsent
		if s.answer, s.retryAfter = Busy, 1; mayHaveRun && t.groups[s.group].Paid {
			s.answer = Failed
		}
		t.moduleEnded(s, o, report)
		return
	}
	if s.inModule {
		t.module.Ended(s.id, s.box, o, false, report)
	}
}

// BoxFailed tells that the connection to a box could not be had, or broke.
func (t *Table) BoxFailed(id choice.SessID, attempt int) {
	s := t.sessions[id]
	if s == nil || s.attempt != attempt {
		return
	}
	t.markDirty(s)
	noReport := choice.Report{Link: -1, Uplink: -1}
	switch s.phase {
	case connecting:
		t.setupFailed(s, choice.NoConnection, noReport)
	case setupSent:
		t.setupFailed(s, choice.Reset, noReport)
	case ready, playing, paused:
		s.phase = ended
		t.moduleEnded(s, choice.Reset, noReport)
		t.endForViewer(s, BoxLost)
	case closing:
		s.phase = ended
		t.moduleEnded(s, choice.Cancelled, noReport)
	}
}

// OpAnswered tells a box's answer to an operation; status 0 is none.
func (t *Table) OpAnswered(id choice.SessID, attempt int, op Op, arg, status int, report choice.Report) {
	s := t.sessions[id]
	if s == nil || s.attempt != attempt {
		return
	}
	t.markDirty(s)
	ok := status >= 200 && status < 300
	switch {
	case op == TearDown && s.phase == closing:
		s.phase = ended
		t.moduleEnded(s, choice.Served, report)
	case op == KeepAlive && status == 454 && s.phase >= ready && s.phase <= paused:
		// The box has lost the session, by a restart that kept its address or a time-out of its own.
		s.wantCloseConn, s.phase = true, ended
		t.moduleEnded(s, choice.Reset, report)
		t.endForViewer(s, BoxLost)
	case op == SetRung && s.pendingRung == arg:
		if s.pendingRung = -1; ok {
			s.rung = arg
		} else {
			t.rungRejected(s)
		}
	case s.pendingOp.op == op && s.pendingOp.n == arg:
		if s.pendingOp = (queuedOp{}); !ok {
			s.replies = append(s.replies, reply{arg, BoxRefused})
		} else {
			s.replies = append(s.replies, reply{arg, Done})
			switch op {
			case Play:
				s.phase = playing
			case Pause:
				s.phase = paused
			}
		}
		t.dispatchQueue(s)
	}
}

// rungRejected answers a change of rung that the box did not make: the module goes on from the rung in force.
func (t *Table) rungRejected(s *session) {
	s.wantRung = s.rung
	t.record(s, account.Entry{Act: account.RungRefused, Rung: s.rung})
	if s.inModule {
		t.module.InForce(s.id, s.rung)
	}
}

// moduleEnded tells the module a session's end.
func (t *Table) moduleEnded(s *session, o choice.Outcome, report choice.Report) {
	if s.inModule {
		s.inModule = false
		t.module.Ended(s.id, s.box, o, true, report)
	}
}

// endForViewer ends a session for its viewer; what is left at boxes is put in order after it.
func (t *Table) endForViewer(s *session, reason EndReason) {
	t.markDirty(s)
	for _, q := range s.queue {
		s.replies = append(s.replies, reply{q.n, NoSession})
	}
	if s.pendingOp.op != 0 {
		s.replies = append(s.replies, reply{s.pendingOp.n, BoxUnavailable})
	}
	s.queue, s.pendingOp = nil, queuedOp{}
	if reason != FrontStopping || s.servedSent {
		s.viewerPresent = false
	}
	if (s.servedSent || s.answerOwed && s.answer == Served) && s.endReason == 0 {
		s.endReason = reason
	}
	switch s.phase {
	case connecting, setupSent:
		if s.wantSetup {
			s.wantSetup = false
		} else {
			s.cancelSetups = append(s.cancelSetups, s.attempt)
		}
		o := choice.Cancelled
		if s.phase == connecting {
			o = choice.Unsent
		}
		s.phase = ended
		if s.inModule {
			t.module.Left(s.id)
		}
		t.moduleEnded(s, o, choice.Report{Link: -1, Uplink: -1})
	case idle:
		s.phase = ended
		if s.inModule {
			s.inModule = false
			t.module.Left(s.id)
		}
	case ready, playing, paused:
		s.phase, s.wantTeardown, s.phaseDeadline = closing, true, t.now+teardownTimeoutSeconds
	}
}

// dispatchQueue takes the viewer's requests in their order, as far as the session's state lets it.
func (t *Table) dispatchQueue(s *session) {
	for len(s.queue) > 0 && s.pendingOp.op == 0 && s.phase != closing && s.phase != ended {
		if s.phase < ready && s.answer != Served {
			return // its SETUP has no answer yet
		}
		q := s.queue[0]
		s.queue = s.queue[1:]
		forward := false
		switch q.op {
		case Play:
			forward = true
		case Pause:
			if forward = s.phase == playing; s.phase == ready {
				s.replies = append(s.replies, reply{q.n, WrongState})
				continue
			}
		case Join:
			if forward = s.phase == ready; !forward {
				s.replies = append(s.replies, reply{q.n, WrongState})
				continue
			}
		case TearDown:
			s.replies = append(s.replies, reply{q.n, Done})
			t.endForViewer(s, ByViewer)
			return
		}
		if !forward {
			s.replies = append(s.replies, reply{q.n, Done})
			continue
		}
		s.pendingOp, s.opSent, s.opDeadline = q, false, t.now+opTimeoutSeconds
	}
}

// Probed tells how a probe ended: a status, or 0 with the failure.
func (t *Table) Probed(box choice.ServerID, status int, failure choice.Outcome, report choice.Report) {
	o := failure
	if status != 0 {
		o = OutcomeOf(status)
	}
	t.module.Probed(box, o, report)
}

// ShortDelivery, Load pass on what choice/hearing makes of boxes.
func (t *Table) ShortDelivery(box choice.ServerID, share float64) { t.module.Short(box, share) }

// LoadNote passes on a load note that came with a session's media.
func (t *Table) LoadNote(id choice.SessID, box choice.ServerID, x float64, uplink bool) {
	t.module.Load(id, box, x, uplink)
}

// StopAccepting has new requests busy-replied. Sessions go on.
func (t *Table) StopAccepting() { t.refuseNew = true }

// EndAll ends all sessions: those set up are torn down, requests without an answer are busy-replied where no SETUP of
// theirs may have run, else torn down.
func (t *Table) EndAll() {
	t.refuseNew = true
	for _, s := range t.sortedSessions() {
		if s.answerOwed {
			mayHaveRun := s.phase == setupSent
			if s.answer == 0 {
				if s.answer = Busy; mayHaveRun {
					s.answer = Failed
				}
			}
		}
		if s.phase != closing && s.phase != ended {
			t.endForViewer(s, FrontStopping)
		}
	}
}

// NextTimer is the instant at which Due is wanted, 0 where none is.
func (t *Table) NextTimer() float64 {
	next := t.moduleWakeAt
	if len(t.timers) > 0 && (next == 0 || t.timers[0].timerAt < next) {
		next = t.timers[0].timerAt
	}
	return next
}

// RunTimers does what has come due: waits that are over, signs of life, the module's own.
func (t *Table) RunTimers() {
	for len(t.timers) > 0 && t.timers[0].timerAt <= t.now {
		s := t.timers[0]
		t.checkDeadlines(s)
		t.markDirty(s)
		t.schedule(s)
		if s.heapIndex >= 0 && s.timerAt <= t.now { // nothing may spin
			s.timerAt = t.now + 0.01
			heap.Fix(&t.timers, s.heapIndex)
		}
	}
	if t.moduleWakeAt > 0 && t.now >= t.moduleWakeAt {
		t.moduleWakeAt = 0
		t.module.Due()
	}
}

// checkDeadlines does what one session's clock asks for.
func (t *Table) checkDeadlines(s *session) {
	none := choice.Report{Link: -1, Uplink: -1}
	switch s.phase {
	case connecting, setupSent:
		if t.now >= s.phaseDeadline && !s.wantSetup {
			s.cancelSetups = append(s.cancelSetups, s.attempt)
			o := choice.TimedOut
			if s.phase == connecting {
				o = choice.NoConnection // never sent
			}
			t.setupFailed(s, o, none)
		}
	case closing:
		if t.now >= s.phaseDeadline {
			s.wantCloseConn, s.phase = true, ended
			t.moduleEnded(s, choice.TimedOut, none)
		}
	case ready, playing, paused:
		if s.pendingOp.op != 0 && t.now >= s.opDeadline {
			s.wantCloseConn, s.phase = true, ended
			t.moduleEnded(s, choice.TimedOut, none)
			t.endForViewer(s, BoxHung)
			return
		}
		if s.pendingRung >= 0 && t.now >= s.rungDeadline {
			s.pendingRung = -1
			t.rungRejected(s)
		}
		if t.limits.ViewerIdleTimeout > 0 && t.now >= s.lastSeen+t.limits.ViewerIdleTimeout {
			t.endForViewer(s, ViewerIdle)
		}
	}
	// The net under rule 1: against any path that would leave a request without its answer until the viewer gives
	// up. The module answers margin seconds earlier, so it acts only where something else failed; torn down is the
	// answer that is true whatever ran.
	if s.answerOwed && s.answer == 0 && t.now >= s.answerDeadline-backstopMarginSeconds {
		if s.phase == connecting || s.phase == setupSent {
			t.endForViewer(s, BoxHung)
		} else if s.inModule {
			s.inModule = false
			t.module.Left(s.id)
		}
		s.answer, s.phase = Failed, ended
	}
}

// schedule sets when a session wants to be looked at next.
func (t *Table) schedule(s *session) {
	next := 0.0
	consider := func(x float64) {
		if x > 0 && (next == 0 || x < next) {
			next = x
		}
	}
	switch s.phase {
	case connecting, setupSent, closing:
		consider(s.phaseDeadline)
	case ready, playing, paused:
		if s.pendingOp.op != 0 {
			consider(s.opDeadline)
		}
		if s.pendingRung >= 0 {
			consider(s.rungDeadline)
		}
		if t.limits.ViewerIdleTimeout > 0 {
			consider(s.lastSeen + t.limits.ViewerIdleTimeout)
		}
		if t.limits.KeepAliveInterval > 0 {
			consider(s.keepAliveAt)
		}
	}
	if s.answerOwed && s.answer == 0 {
		consider(s.answerDeadline - backstopMarginSeconds)
	}
	if s.timerAt = next; next == 0 {
		if s.heapIndex >= 0 {
			heap.Remove(&t.timers, s.heapIndex)
		}
		return
	}
	if s.heapIndex >= 0 {
		heap.Fix(&t.timers, s.heapIndex)
	} else {
		heap.Push(&t.timers, s)
	}
}

// Settle gives the orders that take each session from where it is to where it is wanted.
func (t *Table) Settle() {
	t.module.Settle()
	for _, s := range t.unknown {
		t.actions.Reply(s.id, s.n, NoSession)
	}
	t.unknown = t.unknown[:0]
	for i := 0; i < len(t.dirty); i++ {
		s := t.dirty[i]
		s.dirty = false
		t.reconcile(s)
		t.schedule(s)
		if s.phase == ended && !s.answerOwed {
			delete(t.sessions, s.id)
			if s.heapIndex >= 0 {
				heap.Remove(&t.timers, s.heapIndex)
			}
		}
	}
	t.dirty = t.dirty[:0]
}

// reconcile works out the difference between a session's wanted state and its present one and orders it.
func (t *Table) reconcile(s *session) {
	for _, attempt := range s.cancelSetups {
		t.actions.CancelSetup(s.id, attempt)
	}
	s.cancelSetups = nil
	if s.wantSetup {
		s.wantSetup = false
		s.rung = s.wantRung
		t.actions.Setup(s.id, s.attempt, s.box, s.rung)
	}
	if s.answerOwed && s.answer != 0 {
		s.answerOwed, s.servedSent = false, s.answer == Served
		t.actions.Answer(s.id, s.answer, s.retryAfter)
		if s.answer != Served {
			s.viewerPresent = false
			for _, q := range s.queue {
				s.replies = append(s.replies, reply{q.n, NoSession})
			}
			if s.queue = nil; s.phase == idle {
				s.phase = ended
			}
		}
	}
	for _, r := range s.replies {
		t.actions.Reply(s.id, r.n, r.result)
	}
	s.replies = nil
	if s.pendingOp.op != 0 && !s.opSent {
		s.opSent = true
		t.actions.SendOp(s.id, s.attempt, s.pendingOp.op, s.pendingOp.n)
	}
	if s.phase >= ready && s.phase <= paused {
		if s.wantRung != s.rung && s.pendingRung < 0 {
			s.pendingRung, s.rungDeadline = s.wantRung, t.now+opTimeoutSeconds
			t.actions.SendOp(s.id, s.attempt, SetRung, s.wantRung)
		}
		if t.limits.KeepAliveInterval > 0 && t.now >= s.keepAliveAt {
			s.keepAliveAt = t.now + t.limits.KeepAliveInterval
			t.actions.SendOp(s.id, s.attempt, KeepAlive, 0)
		}
	}
	if s.endReason != 0 && !s.endReported {
		s.endReported = true
		t.record(s, account.Entry{Act: account.Ended, Word: s.endReason.String()})
		t.actions.End(s.id, s.endReason)
	}
	if s.wantTeardown {
		s.wantTeardown = false
		t.actions.SendOp(s.id, s.attempt, TearDown, 0)
	}
	if s.wantCloseConn {
		s.wantCloseConn = false
		t.actions.CloseConn(s.id, s.attempt)
	}
}

// moduleActions takes the module's moduleActions and makes wanted state of them.
type moduleActions struct{ t *Table }

func (a moduleActions) withActive(id choice.SessID, update func(s *session)) {
	if s := a.t.sessions[id]; s != nil && s.phase != ended && s.phase != closing {
		update(s)
		a.t.markDirty(s)
	}
}

func (a moduleActions) Rung(id choice.SessID, rung int) {
	a.withActive(id, func(s *session) {
		s.wantRung = rung
		if s.phase >= ready {
			a.t.record(s, account.Entry{Act: account.Rung, Box: s.box, Rung: rung})
		}
	})
}

func (a moduleActions) Setup(id choice.SessID, box choice.ServerID, wait float64) {
	a.withActive(id, func(s *session) {
		s.attempt++
		s.box, s.phase, s.wantSetup = box, connecting, true
		s.phaseDeadline = a.t.now + max(wait, 0)
		a.t.record(s, account.Entry{Act: account.Setup, Box: box, Rung: s.wantRung, Seconds: wait})
	})
}

func (a moduleActions) BusyReply(id choice.SessID, comeBack float64) {
	a.withActive(id, func(s *session) {
		s.answer, s.retryAfter, s.inModule = Busy, comeBack, false
		a.t.record(s, account.Entry{Act: account.Busy, Seconds: comeBack})
	})
}

func (a moduleActions) Tell(int, []byte) {} // fronts of this program have no messages yet; Peers is never set
func (a moduleActions) TearDown(id choice.SessID) {
	a.withActive(id, func(s *session) {
		s.answer, s.inModule = Failed, false
		a.t.record(s, account.Entry{Act: account.TornDown})
	})
}

// record keeps a decision with the figures that the module sees now.
func (t *Table) record(s *session, e account.Entry) {
	e.At, e.Sess = t.now, s.id
	switch e.Act {
	case account.Setup, account.Rung, account.Busy, account.TornDown:
		e.Standing, _ = t.module.Standing(s.id)
	}
	t.decisions.Note(e)
}

// Explain puts into words what was decided for a session, as far back as it is kept; an empty id stands for the one that was
// turned away last, as viewers are not told the ids of those.
func (t *Table) Explain(id choice.SessID) []string {
	if id == "" {
		id = t.decisions.Turned()
	}
	return account.Say(t.decisions.Of(id))
}

func (a moduleActions) Probe(box choice.ServerID) { a.t.actions.Probe(box) }

func (a moduleActions) Wake(after float64) { a.t.moduleWakeAt = a.t.now + after }

func sortByID(list []*session) {
	slices.SortFunc(list, func(a, b *session) int { return cmp.Compare(a.id, b.id) })
}
