package node

// endedSession is a session that has ended. Its client may still name it as established: its release was lost with a connection, or
// is on its way.
type endedSession struct {
	cause    int  // of the release that its client gets if it names the session
	byClient bool // its client ended it before this node knew it, so its server has not been notified
	id       string
	at       float64
}

// endedSessionSeconds is how long an ended session is remembered.
const endedSessionSeconds = 60.0

// endedSessions remembers the latest ended sessions, at most maxRemembered, each for endedSessionSeconds.
type endedSessions struct {
	byID  map[string]*endedSession
	queue []*endedSession // oldest first
}

func newEndedSessions() endedSessions { return endedSessions{byID: map[string]*endedSession{}} }

// add remembers a session that ended now, instead of an earlier end under its id.
func (e *endedSessions) add(now float64, id string, s endedSession) {
	s.id, s.at = id, now
	for len(e.queue) > 0 && (len(e.queue) >= maxRemembered || now-e.queue[0].at > endedSessionSeconds) {
		oldest := e.queue[0]
		e.queue = e.queue[1:]
		if e.byID[oldest.id] == oldest {
			delete(e.byID, oldest.id)
		}
	}
	e.byID[id] = &s
	e.queue = append(e.queue, &s)
}

// find returns the end of a session; nil if it is not remembered.
func (e *endedSessions) find(now float64, id string) *endedSession {
	if s := e.byID[id]; s != nil && now-s.at <= endedSessionSeconds {
		return s
	}
	return nil
}

// rememberEnd remembers the end of a session with the cause that its server or this node gave.
func (n *Node) rememberEnd(id string, cause int) {
	if cause != causeFinished {
		cause = causeLost
	}
	n.endedSessions.add(n.now, id, endedSession{cause: cause})
}

// rememberEndByClient remembers that a client ended a session that this node does not know, or not yet: the message that names it
// may still be on its way on another connection.
func (n *Node) rememberEndByClient(id string) {
	if n.endedSessions.find(n.now, id) == nil {
		n.endedSessions.add(n.now, id, endedSession{cause: causeMoved, byClient: true})
	}
}
