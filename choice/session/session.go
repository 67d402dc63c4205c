// Package session is the state machine of each session between its viewer and its box. It decides which requests go to
// the box and when, how long to wait for each answer, how an answer, a broken connection or a timeout is reported to the
// placement module (package choice), and what the viewer is answered. It does no I/O and parses no protocol.
//
// A Table is created with New. Each batch of events starts with SetTime, followed by one method call per event, and ends
// with Reconcile, the only method that calls Actions. The Table owns the choice.Front, so every event that concerns the
// module passes through it. NextWakeup returns when RunTimers must be called. Events may arrive late, twice or out of
// order: each carries the number of the SETUP attempt it belongs to, and events of a finished attempt are dropped.
package session

import (
	"cmp"
	"container/heap"
	"slices"

	"rainhaven/choice"
	"rainhaven/choice/decisionlog"
)

// Op is an operation on a session, requested by a viewer or sent to a box.
type Op int

// The operations. Join adds a track, KeepAlive only refreshes the session, and SetRung is sent to boxes only.
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

// Request describes the session that a viewer asks for.
type Request struct {
	Group                int
	Title                string
	StartCell, CellCount int
	BestRung             int
	Length               float64 // expected length in seconds; 0 if unknown
}

// FinalAnswer is the final answer to a request for a session.
type FinalAnswer int

// The final answers.
const (
	Served FinalAnswer = iota + 1
	Busy
	Failed
)

func (a FinalAnswer) String() string {
	return [...]string{"none", "served", "busy-replied", "torn down"}[a]
}

// Result is the outcome of a viewer's request within its session.
type Result int

// The results. Done means that the request succeeded; where it went to the box, the box's answer is passed on.
const (
	Done            Result = iota + 1
	NoSession              // the session does not exist or has ended
	WrongState             // not allowed in the session's present state
	BoxRefused             // the box answered with an error
	BoxUnavailable         // the box did not answer in time, or its connection broke
	TooManyRequests        // the viewer's queue of requests is full
)

// EndReason is why an established session ended.
type EndReason int

// The end reasons.
const (
	ByViewer      EndReason = iota + 1 // TEARDOWN, or the viewer's connection closed
	BoxLost                            // the connection to the box broke, or the box lost the session
	BoxHung                            // the box did not answer in time
	ViewerIdle                         // no sign of life from the viewer within Limits.ViewerIdleTimeout
	FrontStopping                      // the front is shutting down
)

func (r EndReason) String() string {
	return [...]string{"none", "by viewer", "box lost", "box hung", "viewer silent", "front stopping"}[r]
}

// Actions carries out a table's decisions. Its methods are called from within Reconcile only.
type Actions interface {
	// Setup sends a SETUP to a box, connecting first if needed. SetupSent, BoxAnswered or BoxFailed report what follows.
	Setup(id choice.SessID, attempt int, box choice.ServerID, rung int)
	// CancelSetup withdraws a pending SETUP. The box is notified at once, and a session that it sets up all the same is
	// torn down.
	CancelSetup(id choice.SessID, attempt int)
	// SendOp sends an operation to the box. arg is the viewer's number of the request, the rung for SetRung, and 0 for
	// the operations of the table itself. OpAnswered reports the answer.
	SendOp(id choice.SessID, attempt int, op Op, arg int)
	// CloseConn closes a session's connection to its box without a TEARDOWN.
	CloseConn(id choice.SessID, attempt int)
	// Probe probes a box. ProbeEnded reports the result.
	Probe(box choice.ServerID)
	// Answer sends the final answer to the viewer; retryAfter is in seconds, and 0 gives no advice. Unless the answer is Served,
	// it is the last action for the session, and the viewer's requests that waited for it have been replied to.
	Answer(id choice.SessID, answer FinalAnswer, retryAfter float64)
	// Reply answers the viewer's request number n within its session. Each request gets one reply, before the Answer that turns
	// its session away and before End.
	Reply(id choice.SessID, n int, result Result)
	// End reports that a served session has ended. Only SendOp with TearDown, and CloseConn, may follow for it.
	End(id choice.SessID, reason EndReason)
}

// Limits are the limits that the table itself enforces.
type Limits struct {
	SetupTimeout      []float64 // by service group: seconds that a viewer waits for its final answer
	MaxSessions       int       // further ones are busy-replied; 0 is no limit
	ViewerIdleTimeout float64   // seconds without a sign of life after which a viewer's session ends; 0 is never
	KeepAliveInterval float64   // seconds between keep-alives to a box; 0 is none
}

const (
	// How long before the viewer's setup timeout the final answer must be decided. Event loop, two writes and the way
	// back take under 40 ms with 2,000 sessions playing; the rest is reserve for a machine short of CPU.
	answerMarginSeconds = 0.15
	// How long a box may take to answer an operation on an established session. Such answers normally take
	// milliseconds; by 3 s the module has already noticed a stalled box by its delivered share.
	opTimeoutSeconds = 3.0
	// How long to wait for the answer to a TEARDOWN before the connection is closed instead. The session keeps its seat
	// meanwhile.
	teardownTimeoutSeconds = 2.0
	// Enough for a viewer that pipelines the SETUPs of all tracks, PLAY and TEARDOWN in one write.
	maxQueuedOps = 8
	// How long before the viewer's setup timeout the backstop of rule 1 answers. It is shorter than answerMarginSeconds,
	// so that the module decides first.
	backstopMarginSeconds = 0.05
)

// phase is the state of a session at its box.
type phase int

const (
	idle       phase = iota // no SETUP is pending
	connecting              // a SETUP was decided and has not been sent yet
	setupSent               // a SETUP is in flight
	ready                   // set up and not played yet
	playing
	paused
	closing // a TEARDOWN is in flight
	ended   // over at the box
)

// queuedOp is a viewer's request within its session.
type queuedOp struct {
	op Op
	n  int // the viewer's number of the request
}

// session is the state of one session, from its request to its end.
type session struct {
	id    choice.SessID
	group int

	viewerPresent  bool // the viewer has neither left nor been turned away
	answerOwed     bool // the viewer still waits for its final answer
	answer         FinalAnswer
	retryAfter     float64
	answerDeadline float64    // when the viewer's setup timeout ends
	lastSeen       float64    // last sign of life from the viewer
	queue          []queuedOp // the viewer's waiting requests, oldest first; at most maxQueuedOps
	replies        []reply    // to be sent by reconcile

	attempt       int // number of the latest SETUP; 0 before the first
	box           choice.ServerID
	phase         phase
	phaseDeadline float64  // when the wait for the SETUP or the TEARDOWN ends
	pendingOp     queuedOp // the viewer's request that the box has to answer; op 0 is none
	opSent        bool
	opDeadline    float64
	rung          int // rung in force at the box
	wantRung      int
	pendingRung   int // rung of the SET_PARAMETER in flight; -1 is none
	rungDeadline  float64
	keepAliveAt   float64

	wantSetup     bool  // a SETUP to box is to be sent
	cancelSetups  []int // attempts whose SETUP is to be cancelled
	wantTeardown  bool  // a TEARDOWN is to be sent
	wantCloseConn bool
	endReason     EndReason
	endReported   bool           // Actions.End was called
	dirty         bool           // in Table.dirty
	heapIndex     int            // index in Table.timers; -1 if not there
	timerAt       float64        // when checkDeadlines must run next
	inModule      bool           // the module still tracks the session
	servedSent    bool           // the answer Served was sent
	req           choice.Request // as given to the module
	noRetry       bool           // the pending SETUP is the last: a reload or Freeze came while it was pending
}

// reply is the answer to a viewer's request.
type reply struct {
	n      int // the viewer's number of the request
	result Result
}

// unknownSession is a request for a session that does not exist.
type unknownSession struct {
	id choice.SessID
	n  int // the viewer's number of the request
}

// Table holds the sessions of one front.
type Table struct {
	module       *choice.Front
	actions      Actions
	limits       Limits
	now          float64
	sessions     map[choice.SessID]*session         // entries are deleted when sessions end
	timers       timerHeap                          // sessions with a deadline, by timerAt
	dirty        []*session                         // sessions to reconcile; emptied by Reconcile
	unknown      []unknownSession                   // requests for sessions that do not exist; emptied by Reconcile
	boxes        map[choice.ServerID]choice.Listing // as listed; an update deletes boxes that are gone and hold no session
	moduleWakeAt float64                            // when to call the module's HandleTimer; 0 is never
	refuseNew    bool
	groups       []choice.ServiceGroup
	topRung      int // highest rung of the ladder
	foreignSeats []choice.SeatCount
	decisions    *decisionlog.Ring // the latest decisions, for Explain
}

// New creates a table and its placement module.
func New(now float64, config choice.Config, limits Limits, actions Actions) *Table {
	t := &Table{actions: actions, limits: limits, now: now, sessions: map[choice.SessID]*session{},
		boxes: map[choice.ServerID]choice.Listing{}, decisions: &decisionlog.Ring{}}
	t.newModule(config)
	return t
}

// newModule replaces the table's placement module by an empty one.
func (t *Table) newModule(config choice.Config) {
	t.groups, t.topRung, t.moduleWakeAt = config.Groups, len(config.Ladder)-1, 0
	t.module = choice.New(t.now, config, moduleActions{t})
}

// SetTime sets the clock. It must be called before each batch of events.
func (t *Table) SetTime(now float64) {
	t.now = max(t.now, now)
	t.module.SetTime(t.now)
}

// Len returns the number of sessions, including those that are ending.
func (t *Table) Len() int { return len(t.sessions) }

// markDirty has the next Reconcile handle a session.
func (t *Table) markDirty(s *session) {
	if !s.dirty {
		s.dirty = true
		t.dirty = append(t.dirty, s)
	}
}

// UpdateBoxes applies the list of boxes: the whole list, or changed entries only.
func (t *Table) UpdateBoxes(full bool, list []choice.Listing) {
	inUse := map[choice.ServerID]bool{}
	for _, s := range t.sessions {
		inUse[s.box] = true
	}
	if full {
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
	t.module.UpdateServers(full, list)
	// Guards against a SETUP that was decided before this update and would reach a box that is no longer ready: one that
	// is not sent yet is cancelled and placed anew. This covers changed addresses too. It is safe for every group, as
	// an unsent SETUP provably never ran.
	for _, s := range t.sortedSessions() {
		if s.phase == connecting && !s.wantSetup && t.boxes[s.box].State != choice.Ready {
			s.cancelSetups = append(s.cancelSetups, s.attempt)
			t.setupFailed(s, choice.Unsent, choice.LoadReport{Link: -1, Uplink: -1})
		}
	}
}

// sortedSessions returns all sessions sorted by id, so that results do not depend on map order.
func (t *Table) sortedSessions() []*session {
	list := make([]*session, 0, len(t.sessions))
	for _, s := range t.sessions {
		list = append(list, s)
	}
	sortByID(list)
	return list
}

// forModule converts the request to the module's form.
func (r Request) forModule(id choice.SessID) choice.Request {
	return choice.Request{ID: id, Group: r.Group, Title: r.Title, StartCell: r.StartCell, CellCount: r.CellCount, BestRung: r.BestRung,
		Length: r.Length}
}

// Open starts a session at a viewer's request. A request with an id that is in use is ignored.
func (t *Table) Open(id choice.SessID, r Request) {
	if t.sessions[id] != nil {
		return
	}
	s := &session{id: id, group: r.Group, viewerPresent: true, answerOwed: true, lastSeen: t.now, pendingRung: -1, heapIndex: -1,
		rung: t.groups[r.Group].Floor, wantRung: t.groups[r.Group].Floor,
		answerDeadline: t.now + t.limits.SetupTimeout[r.Group]}
	t.sessions[id] = s
	t.markDirty(s)
	// Guards against more sessions than the process was sized for, and against new ones during shutdown. Nothing was
	// sent to any box, so a retry elsewhere is safe for every group.
	if t.refuseNew || t.limits.MaxSessions > 0 && len(t.sessions) > t.limits.MaxSessions {
		s.answer, s.retryAfter = Busy, 1
		return
	}
	t.record(s, decisionlog.Entry{Kind: decisionlog.Requested, Rung: r.BestRung})
	s.inModule, s.req = true, r.forModule(id)
	s.req.SetupDeadline = s.answerDeadline - answerMarginSeconds
	t.module.RequestSession(s.req)
}

// AddHandedOver adds a session that already plays at a box, handed over by another process.
func (t *Table) AddHandedOver(id choice.SessID, r Request, box choice.ServerID, rung int) {
	if t.sessions[id] != nil {
		return
	}
	s := &session{id: id, group: r.Group, viewerPresent: true, lastSeen: t.now, pendingRung: -1, heapIndex: -1, inModule: true,
		attempt: 1, box: box, phase: playing, rung: rung, wantRung: rung, keepAliveAt: t.now + t.limits.KeepAliveInterval,
		answer: Served, servedSent: true, req: r.forModule(id)}
	t.sessions[id] = s
	t.markDirty(s)
	t.module.AddHandedOver(s.req, box)
	t.module.SetCurrentRung(id, rung)
}

// RequestOp queues a viewer's request within its session; n is the viewer's number of the request.
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

// ViewerSeen records a sign of life from a viewer other than a request.
func (t *Table) ViewerSeen(id choice.SessID) {
	if s := t.sessions[id]; s != nil {
		s.lastSeen = t.now
	}
}

// ViewerGone reports that a viewer's connection has closed.
func (t *Table) ViewerGone(id choice.SessID) {
	if s := t.sessions[id]; s != nil && s.viewerPresent {
		s.answerOwed = false
		t.endForViewer(s, ByViewer)
	}
}

// SetupSent reports that a SETUP was sent to its box.
func (t *Table) SetupSent(id choice.SessID, attempt int) {
	if s := t.sessions[id]; s != nil && s.attempt == attempt && s.phase == connecting {
		s.phase = setupSent
	}
}

// OutcomeOf translates a box's status for a SETUP or a probe to the module's outcome. 453 and 503 prove that nothing ran.
func OutcomeOf(status int) choice.Outcome {
	switch {
	case status >= 200 && status < 300:
		return choice.Served
	case status == 453 || status == 503:
		return choice.Full
	}
	return choice.ServerError
}

// BestRung returns the highest rung that fits a viewer's declared bandwidth in bits per second, 0 if it declared none.
// rates are those of its group, in kB per second.
func BestRung(rates []float64, bandwidth float64) int {
	best := len(rates) - 1
	for best > 0 && bandwidth > 0 && rates[best]*8000 > bandwidth {
		best--
	}
	return best
}

// BoxAnswered reports a box's answer to a SETUP.
func (t *Table) BoxAnswered(id choice.SessID, attempt, status int, report choice.LoadReport) {
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
	t.module.SessionEstablished(id)
	if report.Link >= 0 {
		t.module.LoadNote(id, s.box, report.Link, false)
	}
	if report.Uplink >= 0 {
		t.module.LoadNote(id, s.box, report.Uplink, true)
	}
	s.answer = Served
	t.dispatchQueue(s)
}

// setupFailed handles the end of a SETUP that established no session.
func (t *Table) setupFailed(s *session, o choice.Outcome, report choice.LoadReport) {
	t.markDirty(s)
	s.phase, s.wantSetup = idle, false
	t.record(s, decisionlog.Entry{Kind: decisionlog.SetupEnded, Box: s.box, Outcome: o})
	if s.noRetry {
		mayHaveRun := o != choice.Full && o != choice.NoConnection && o != choice.Unsent
		if s.answer, s.retryAfter = Busy, 1; mayHaveRun && t.groups[s.group].Paid {
			s.answer = Failed
		}
		t.moduleEnded(s, o, report)
		return
	}
	if s.inModule {
		t.module.SetupEnded(s.id, s.box, o, false, report)
	}
}

// BoxFailed reports that the connection to a box could not be established, or broke.
func (t *Table) BoxFailed(id choice.SessID, attempt int) {
	s := t.sessions[id]
	if s == nil || s.attempt != attempt {
		return
	}
	t.markDirty(s)
	noReport := choice.LoadReport{Link: -1, Uplink: -1}
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

// OpAnswered reports a box's answer to an operation; status 0 stands for no answer.
func (t *Table) OpAnswered(id choice.SessID, attempt int, op Op, arg, status int, report choice.LoadReport) {
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
		// The box has lost the session, by a restart at the same address or by its own session timeout.
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

// rungRejected handles a change of rung that the box did not make: the module continues from the rung in force.
func (t *Table) rungRejected(s *session) {
	s.wantRung = s.rung
	t.record(s, decisionlog.Entry{Kind: decisionlog.RungRejected, Rung: s.rung})
	if s.inModule {
		t.module.SetCurrentRung(s.id, s.rung)
	}
}

// moduleEnded reports the end of a session to the module.
func (t *Table) moduleEnded(s *session, o choice.Outcome, report choice.LoadReport) {
	if s.inModule {
		s.inModule = false
		t.module.SetupEnded(s.id, s.box, o, true, report)
	}
}

// endForViewer ends a session for its viewer. The following Reconcile cancels its pending SETUP or tears it down at its box.
func (t *Table) endForViewer(s *session, reason EndReason) {
	t.markDirty(s)
	s.rejectQueue()
	if s.pendingOp.op != 0 {
		s.replies = append(s.replies, reply{s.pendingOp.n, BoxUnavailable})
	}
	s.pendingOp = queuedOp{}
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
			t.module.RequestClosed(s.id)
		}
		t.moduleEnded(s, o, choice.LoadReport{Link: -1, Uplink: -1})
	case idle:
		s.phase = ended
		if s.inModule {
			s.inModule = false
			t.module.RequestClosed(s.id)
		}
	case ready, playing, paused:
		s.phase, s.wantTeardown, s.phaseDeadline = closing, true, t.now+teardownTimeoutSeconds
	}
}

// rejectQueue replies to the viewer's waiting requests that their session does not exist or has ended.
func (s *session) rejectQueue() {
	for _, q := range s.queue {
		s.replies = append(s.replies, reply{q.n, NoSession})
	}
	s.queue = nil
}

// dispatchQueue processes the viewer's waiting requests in order until one has to wait for the box.
func (t *Table) dispatchQueue(s *session) {
	for len(s.queue) > 0 && s.pendingOp.op == 0 && s.phase != closing && s.phase != ended {
		if s.phase < ready && s.answer != Served {
			return // the SETUP is not answered yet
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

// ProbeEnded reports how a probe ended: the box's status, or 0 and the failure.
func (t *Table) ProbeEnded(box choice.ServerID, status int, failure choice.Outcome, report choice.LoadReport) {
	o := failure
	if status != 0 {
		o = OutcomeOf(status)
	}
	t.module.ProbeEnded(box, o, report)
}

// ShortDelivery passes on the share of the rate that a box delivers, as package delivery measures it.
func (t *Table) ShortDelivery(box choice.ServerID, share float64) { t.module.ShortDelivery(box, share) }

// LoadNote passes on a load note received with a session's media: the load x of the box's link, or of its uplink.
func (t *Table) LoadNote(id choice.SessID, box choice.ServerID, x float64, uplink bool) {
	t.module.LoadNote(id, box, x, uplink)
}

// StopAccepting makes the table busy-reply new requests. Existing sessions continue.
func (t *Table) StopAccepting() { t.refuseNew = true }

// EndSessions ends all sessions. Established ones are torn down at their boxes; unanswered requests are busy-replied, or
// answered as failed where the SETUP in flight may have run.
func (t *Table) EndSessions() {
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

// NextWakeup returns when RunTimers must be called next, 0 for never.
func (t *Table) NextWakeup() float64 {
	next := t.moduleWakeAt
	if len(t.timers) > 0 && (next == 0 || t.timers[0].timerAt < next) {
		next = t.timers[0].timerAt
	}
	return next
}

// RunTimers handles the deadlines that have passed, schedules keep-alives that are due, and runs the module's timer.
func (t *Table) RunTimers() {
	for len(t.timers) > 0 && t.timers[0].timerAt <= t.now {
		s := t.timers[0]
		t.checkDeadlines(s)
		t.markDirty(s)
		t.schedule(s)
		if s.heapIndex >= 0 && s.timerAt <= t.now { // guards against a busy loop
			s.timerAt = t.now + 0.01
			heap.Fix(&t.timers, s.heapIndex)
		}
	}
	if t.moduleWakeAt > 0 && t.now >= t.moduleWakeAt {
		t.moduleWakeAt = 0
		t.module.HandleTimer()
	}
}

// checkDeadlines handles the deadlines of one session that have passed.
func (t *Table) checkDeadlines(s *session) {
	noReport := choice.LoadReport{Link: -1, Uplink: -1}
	switch s.phase {
	case connecting, setupSent:
		if t.now >= s.phaseDeadline && !s.wantSetup {
			s.cancelSetups = append(s.cancelSetups, s.attempt)
			o := choice.TimedOut
			if s.phase == connecting {
				o = choice.NoConnection // never sent
			}
			t.setupFailed(s, o, noReport)
		}
	case closing:
		if t.now >= s.phaseDeadline {
			s.wantCloseConn, s.phase = true, ended
			t.moduleEnded(s, choice.TimedOut, noReport)
		}
	case ready, playing, paused:
		if s.pendingOp.op != 0 && t.now >= s.opDeadline {
			s.wantCloseConn, s.phase = true, ended
			t.moduleEnded(s, choice.TimedOut, noReport)
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
	// Backstop for rule 1 (every request is answered in time): guards against any path that leaves a request unanswered
	// until the viewer gives up. The module answers earlier, by answerMarginSeconds, so this acts only where something
	// else failed. Failed is correct whether or not a SETUP ran.
	if s.answerOwed && s.answer == 0 && t.now >= s.answerDeadline-backstopMarginSeconds {
		if s.phase == connecting || s.phase == setupSent {
			t.endForViewer(s, BoxHung)
		} else if s.inModule {
			s.inModule = false
			t.module.RequestClosed(s.id)
		}
		s.answer, s.phase = Failed, ended
	}
}

// schedule sets the time of a session's next deadline.
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

// Reconcile ends a batch of events: it calls the Actions that take each changed session from its present to its wanted state.
func (t *Table) Reconcile() {
	t.module.Reconcile()
	for _, s := range t.unknown {
		t.actions.Reply(s.id, s.n, NoSession)
	}
	t.unknown = t.unknown[:0]
	for i := 0; i < len(t.dirty); i++ {
		s := t.dirty[i]
		s.dirty = false
		t.reconcileSession(s)
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

// reconcileSession calls the Actions for the difference between a session's wanted and its present state.
func (t *Table) reconcileSession(s *session) {
	for _, attempt := range s.cancelSetups {
		t.actions.CancelSetup(s.id, attempt)
	}
	s.cancelSetups = nil
	if s.wantSetup {
		s.wantSetup = false
		s.rung = s.wantRung
		t.actions.Setup(s.id, s.attempt, s.box, s.rung)
	}
	answers := s.answerOwed && s.answer != 0
	if answers && s.answer != Served {
		s.viewerPresent = false
		s.rejectQueue()
		if s.phase == idle {
			s.phase = ended
		}
	}
	for _, r := range s.replies { // before Answer and End, after which the session may be gone
		t.actions.Reply(s.id, r.n, r.result)
	}
	s.replies = nil
	if answers {
		s.answerOwed, s.servedSent = false, s.answer == Served
		t.actions.Answer(s.id, s.answer, s.retryAfter)
	}
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
		t.record(s, decisionlog.Entry{Kind: decisionlog.Ended, EndReason: s.endReason.String()})
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

// moduleActions implements choice.Actions: it turns the module's decisions into the wanted state of sessions.
type moduleActions struct{ t *Table }

// withActive applies update to a session unless it is closing or ended.
func (a moduleActions) withActive(id choice.SessID, update func(s *session)) {
	if s := a.t.sessions[id]; s != nil && s.phase != ended && s.phase != closing {
		update(s)
		a.t.markDirty(s)
	}
}

func (a moduleActions) SetRung(id choice.SessID, rung int) {
	a.withActive(id, func(s *session) {
		s.wantRung = rung
		if s.phase >= ready {
			a.t.record(s, decisionlog.Entry{Kind: decisionlog.RungChanged, Box: s.box, Rung: rung})
		}
	})
}

func (a moduleActions) Setup(id choice.SessID, box choice.ServerID, wait float64) {
	a.withActive(id, func(s *session) {
		s.attempt++
		s.box, s.phase, s.wantSetup = box, connecting, true
		s.phaseDeadline = a.t.now + max(wait, 0)
		a.t.record(s, decisionlog.Entry{Kind: decisionlog.SetupSent, Box: box, Rung: s.wantRung, Seconds: wait})
	})
}

func (a moduleActions) BusyReply(id choice.SessID, retryAfter float64) {
	a.withActive(id, func(s *session) {
		s.answer, s.retryAfter, s.inModule = Busy, retryAfter, false
		a.t.record(s, decisionlog.Entry{Kind: decisionlog.BusyReplied, Seconds: retryAfter})
	})
}

func (a moduleActions) SendMessage(int, []byte) {} // unused: choice.Config.PeerMessages is never set here, as fronts exchange no messages yet
func (a moduleActions) FailureReply(id choice.SessID) {
	a.withActive(id, func(s *session) {
		s.answer, s.inModule = Failed, false
		a.t.record(s, decisionlog.Entry{Kind: decisionlog.Failed})
	})
}

// record stores a decision, with the module's present view of the session's holders where the decision depends on it.
func (t *Table) record(s *session, e decisionlog.Entry) {
	e.At, e.Session = t.now, s.id
	switch e.Kind {
	case decisionlog.SetupSent, decisionlog.RungChanged, decisionlog.BusyReplied, decisionlog.Failed:
		e.Snapshot, _ = t.module.Explain(s.id)
	}
	t.decisions.Record(e)
}

// Explain returns the recorded decisions for a session, a line each. An empty id selects the session that was turned away
// last, as viewers never learn the ids of those.
func (t *Table) Explain(id choice.SessID) []string {
	if id == "" {
		id = t.decisions.LastRejected()
	}
	return decisionlog.Explain(t.decisions.ForSession(id))
}

func (a moduleActions) Probe(box choice.ServerID) { a.t.actions.Probe(box) }

func (a moduleActions) SetTimer(after float64) { a.t.moduleWakeAt = a.t.now + after }

func sortByID(list []*session) {
	slices.SortFunc(list, func(a, b *session) int { return cmp.Compare(a.id, b.id) })
}
