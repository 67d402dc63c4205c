// Package share divides a front node's file descriptors between viewers and servers. It decides which viewer's connection is
// closed to make room, which connection carries a SETUP, and how long requests and sessions may take. It does no I/O.
package share

// MaxViewerConns is the maximum number of viewers' connections beside the given number of connections to servers. Usual
// viewers hold at most a third of all descriptors, and misbehaving ones may hold as many again until they can be told apart
// by their age. A tenth of all is reserved, so that the coordinator's connection, the listener and the program itself never
// run out.
func MaxViewerConns(descriptors, servers int) int {
	return max(min(descriptors*55/100, descriptors*90/100-servers), descriptors*36/100, 8)
}

// AcceptSlack is the number of viewers' connections accepted above MaxViewerConns before others have been closed for them.
// Drawback: they take that many descriptors from the reserved tenth.
const AcceptSlack = 4

// MaxConnsPerServer is the maximum number of connections to one server: the descriptors that viewers, the coordinator and the
// program itself leave, divided among the servers, within 1 to 8. Where possible each SETUP has a connection of its own,
// because a malformed answer ends all requests on its connection.
func MaxConnsPerServer(descriptors, servers int) int {
	return min(max((descriptors*35/100)/max(servers, 1), 1), 8)
}

// MaxServerConns is the maximum number of connections to all servers together, whatever MaxConnsPerServer allows: with as
// many servers as descriptors, one connection to each would leave none for the coordinator and the listener.
func MaxServerConns(descriptors int) int { return max(descriptors*54/100, 8) }

const (
	// MessageTimeout is the time in seconds for a viewer's connection to send its first complete message, and for each later
	// message from its first byte. Usual viewers send at once; silent connections and those with half a message must be
	// closed within 3 s.
	MessageTimeout = 2.0
	// idleTimeoutSeconds is how long a connection without sessions is kept: viewers close theirs after 4 s. It guards against
	// viewers that send one request and hold their connection forever.
	idleTimeoutSeconds = 6.0
	// MaxPendingPerConn bounds the unanswered requests of one connection, and maxPendingTotal those of all connections.
	// Further ones get a busy reply, as no work has been done for them. Usual connections of the platform carry some tens.
	MaxPendingPerConn, maxPendingTotal = 64, 512
	// AnswerMargin is the time in seconds reserved for an answer's way back to the viewer, whose timeout started when it sent
	// its SETUP: about 1 ms each way, and the delay of a busy core. Much more would abort SETUPs that would still be served.
	AnswerMargin = 0.012
	// maxMalformedRequests is the number of malformed requests after which a connection is closed.
	maxMalformedRequests = 8
)

// ConnUsage is the state of a viewer's connection that decides whether and in which order it is closed.
type ConnUsage struct {
	SentMessage      bool // it has sent a complete message
	RequestedSession bool // it has requested a session
	Pending          int  // unanswered requests
	Established      int  // established sessions, whose release it still waits for
	Malformed        int  // malformed requests
	OpenedAt         float64
	LastUsed         float64 // when it last sent a message, or a session of its ended
}

// Idle reports whether a connection has been without sessions for too long.
func (u ConnUsage) Idle(now float64) bool {
	return u.SentMessage && u.Pending == 0 && u.Established == 0 && now-u.LastUsed > idleTimeoutSeconds
}

// TooManyMalformed reports whether a connection without sessions has sent so many malformed requests that it is closed.
func (u ConnUsage) TooManyMalformed() bool {
	return u.Malformed >= maxMalformedRequests && u.Pending == 0 && u.Established == 0
}

// TooManyPending reports whether a further request on the connection is refused, with total unanswered requests on all
// connections.
func (u ConnUsage) TooManyPending(total int) bool {
	return u.Pending >= MaxPendingPerConn || total >= maxPendingTotal
}

// MaxHandedOver is the maximum number of established sessions that a node takes over, by its memory. A session takes about a
// kilobyte, and a tenth of the smallest node's memory holds as many as the largest usual node takes over. It guards against
// viewers that claim sessions without end.
func MaxHandedOver(megabytes int) int { return 100 * max(megabytes, 16) }

const (
	// MaxUnhandledMessages is how many messages of one connection may wait for the event loop, or be handled in a row before others
	// get their turn.
	MaxUnhandledMessages = 64
	// MaxReadPause is the longest pause in seconds that a connection's reader makes after so many messages.
	MaxReadPause = 0.01
)

// MaxRanIDs is the number of ids of ended requests that are remembered, so that none runs twice: at some hundred requests a second those of
// the last minutes, in less than 2 MB.
const MaxRanIDs = 1 << 15

// Stale reports whether a connection to a server that was last used at lastUsed is to be closed, before the server closes it
// after idle seconds.
func Stale(now, lastUsed, idle float64) bool { return idle > 0 && now-lastUsed > 0.8*idle }

// MayEvict reports whether a connection to a server may be closed in favour of another server's: not the only open one of a server
// with established sessions, as their releases arrive on it.
func MayEvict(sessions, open int) bool { return sessions == 0 || open > 1 }

// MustKeep reports whether a connection is kept open however long it is unused: the only open one of a server with established
// sessions that is gone from the list, as its address may belong to another server and no further one is opened.
func MustKeep(gone bool, sessions, open int) bool { return gone && !MayEvict(sessions, open) }

// silenceGraceSeconds is how long a new connection may be silent without a lower rank: usual viewers send within
// milliseconds.
const silenceGraceSeconds = 0.25

// EvictionRank orders connections for closing: the lowest rank is closed first, and within a rank the one unused longest. A
// connection with a negative rank is never closed. It guards against hundreds of connections that are silent or only send
// probes, for which new ones of usual viewers would be refused.
func (u ConnUsage) EvictionRank(now float64) int {
	switch {
	case u.Pending > 0:
		return -1
	case !u.SentMessage && now-u.OpenedAt >= silenceGraceSeconds:
		return 0
	case u.SentMessage && !u.RequestedSession:
		return 1
	case u.SentMessage && u.Established == 0:
		return 2
	case !u.SentMessage:
		return 3
	}
	return 4
}

// DrainSeconds is how long sessions may play on after SIGTERM. SIGKILL follows no earlier than 0.7 s after the longest setup
// timeout, which counts as at most 3 s; shortly before that every request must have been answered.
func DrainSeconds(setupTimeout float64) float64 { return min(setupTimeout, 3) + 0.55 }

// ServerConn is the state of a connection to a server that decides whether it carries a SETUP.
type ServerConn struct {
	Up       bool // it is open; otherwise it is being opened
	Pending  int  // SETUPs in flight on it, or waiting for it to open
	LastUsed float64
}

// Results instead of an index: OpenNew means that the SETUP takes a new connection, NoConn that no connection is available.
const OpenNew, NoConn = -1, -2

// PickIdle returns the index of the connection to close in favour of a new one: among those without pending SETUPs the one
// unused longest, or NoConn if there is none.
func PickIdle(list []ServerConn) int {
	oldest := NoConn
	for i, c := range list {
		if c.Up && c.Pending == 0 && (oldest == NoConn || c.LastUsed < list[oldest].LastUsed) {
			oldest = i
		}
	}
	return oldest
}

// StuckWriteSeconds is the time in seconds after which a write that the system has not accepted means that the peer reads nothing. It
// leaves the rest of the grace of a drain, 0.25 s, to take back what was not sent.
const StuckWriteSeconds = 0.1

// AssumedArrivalSeconds is the time in seconds after which a sent message that is not bound to its connection counts as
// arrived although the connection ends. The peer may have closed just before and discarded it, so a more recent message is
// sent again; receiving it twice has no effect.
const AssumedArrivalSeconds = 0.25

// MaxResends is how often a SETUP of which nothing was sent is moved to a new connection to the same server. Connections cut
// while idle are common; the limit guards against a server that accepts connections and closes each, to which connections
// would be opened without end.
const MaxResends = 1

// OvertakenAnswerWait is the time in seconds to wait for an answer that was overtaken by its session's release on another
// connection. The delays of a server's connections differ by a few milliseconds, or some tens if one of them is congested.
// Drawback: where no answer comes, the client's refusal is that much later.
const OvertakenAnswerWait = 0.05

// A SETUP for which this machine could not open a connection is tried again up to MaxLocalRetries times, after
// LocalRetryDelay seconds each: descriptors and ports become free as connections close. Drawback: the answer is that much
// later.
const (
	MaxLocalRetries = 3
	LocalRetryDelay = 0.02
)

// ListenTimeout is the time in seconds during which a starting process tries to bind its address, as its predecessor may
// still be shutting down. Nine in ten restarted processes must be ready within 10 s.
const ListenTimeout = 5.0

// PickConn returns the index of the connection that carries a SETUP to a server: an open one without pending SETUPs, of
// several the one used last; otherwise OpenNew if there are fewer than maxConns connections; otherwise the one with the
// fewest pending SETUPs. maxPerConn limits the pending SETUPs of a connection if it is above 0; NoConn means that no
// connection has room.
func PickConn(list []ServerConn, maxConns, maxPerConn int) int {
	best := OpenNew
	for i, c := range list {
		if best == OpenNew {
			best = i
			continue
		}
		b := list[best]
		if c.Pending < b.Pending || c.Pending == b.Pending && (c.Up && !b.Up || c.Up == b.Up && c.LastUsed > b.LastUsed) {
			best = i
		}
	}
	switch {
	case best != OpenNew && list[best].Pending == 0 && list[best].Up:
		return best
	case len(list) < maxConns && (best == OpenNew || list[best].Pending > 0):
		return OpenNew
	case best == OpenNew || maxPerConn > 0 && list[best].Pending >= maxPerConn:
		return NoConn
	}
	return best
}
