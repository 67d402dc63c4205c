// Package share decides how one front node's descriptors are shared out between viewers and servers, which viewers'
// connections give way, which connection carries a SETUP, and how long requests and sessions are let go on. It does no I/O.
package share

// MaxViewerConns is how many viewers' connections are held together beside so many to servers: usual viewers hold at most a
// third of all descriptors, and as many again may be held by others until their age tells them apart. A tenth of all is
// nobody's, so that the coordinator's connection, the listener and the program itself never want for one.
func MaxViewerConns(descriptors, servers int) int {
	return max(min(descriptors*55/100, descriptors*90/100-servers), descriptors*36/100, 8)
}

// AcceptSlack is how many viewers' connections past their share are accepted before others have given way to them. Harm: so many
// descriptors less of the tenth that is nobody's.
const AcceptSlack = 4

// MaxConnsPerServer is how many connections one server may have: what viewers, the coordinator and the program itself leave,
// split among the servers, within 1 to 8. A SETUP has a connection for itself where it can, as a spoilt answer ends
// all that its connection carries.
func MaxConnsPerServer(descriptors, servers int) int {
	return min(max((descriptors*35/100)/max(servers, 1), 1), 8)
}

// MaxServerConns is how many connections all servers may have together, PerServer or not: with as many servers as descriptors,
// one each would leave the coordinator and the listener none.
func MaxServerConns(descriptors int) int { return max(descriptors*54/100, 8) }

const (
	// MessageTimeout is how many seconds a viewer's connection may take to send its first whole message, and each further one
	// from its first byte: usual viewers send at once; against silent and half ones, who are owed a close within 3 s.
	MessageTimeout = 2.0
	// unused is how many seconds a connection without sessions is kept: viewers close theirs after 4 s. Against
	// viewers who ask once and hold their connection for good.
	unused = 6.0
	// MaxPendingPerConn is how many requests of one connection may be without their answers, and openInAll of all; more are
	// busy-replied, as nothing of them ran. Usual connections of the platform carry some tens.
	MaxPendingPerConn, openInAll = 64, 512
	// AnswerMargin is how many seconds an answer may take on its way back to the viewer, whose patience began when it sent its
	// SETUP: some 1 ms each way and what a busy core adds. Much more would cut short SETUPs that would still be served.
	AnswerMargin = 0.012
	// wrong is how many of a connection's requests may be refused as malformed before it is closed.
	wrong = 8
)

// ConnUsage is what decides whether a viewer's connection gives way.
type ConnUsage struct {
	SentMessage      bool // it has sent a whole message
	RequestedSession bool // it has asked for a session
	Pending          int  // requests without their answers
	Established      int  // sessions whose release it waits for
	Malformed        int  // requests of its that made no sense
	OpenedAt         float64
	LastUsed         float64 // when it last had something of a session's to do
}

// Idle tells whether a connection has been without sessions for too long.
func (h ConnUsage) Idle(now float64) bool {
	return h.SentMessage && h.Pending == 0 && h.Established == 0 && now-h.LastUsed > unused
}

// TooManyMalformed tells whether a connection without sessions has sent enough that makes no sense.
func (h ConnUsage) TooManyMalformed() bool {
	return h.Malformed >= wrong && h.Pending == 0 && h.Established == 0
}

// TooManyPending tells whether one more request of a connection is turned away, with so many open in all.
func (h ConnUsage) TooManyPending(all int) bool {
	return h.Pending >= MaxPendingPerConn || all >= openInAll
}

// MaxHandedOver is how many sessions that stand already are taken in, by memory: a session takes about a kilobyte, and a tenth
// of the smallest node's memory holds what the largest usual one is handed. Against viewers who claim sessions without end.
func MaxHandedOver(megabytes int) int { return 100 * max(megabytes, 16) }

// Stale tells whether a connection to a server, unused since then, is closed before its peer closes it after idle seconds.
func Stale(now, since, idle float64) bool { return idle > 0 && now-since > 0.8*idle }

// fresh is how many seconds a new connection has before its silence counts: usual viewers send within milliseconds.
const fresh = 0.25

// EvictionRank orders connections for giving way: the lowest goes first, the one unused longest of a rank; below 0 never goes.
// Against hundreds that say nothing, or only tests, and would have usual viewers' new ones turned away in their place.
func (h ConnUsage) EvictionRank(now float64) int {
	switch {
	case h.Pending > 0:
		return -1
	case !h.SentMessage && now-h.OpenedAt >= fresh:
		return 0
	case h.SentMessage && !h.RequestedSession:
		return 1
	case h.SentMessage && h.Established == 0:
		return 2
	case !h.SentMessage:
		return 3
	}
	return 4
}

// DrainSeconds is how many seconds sessions may play on after SIGTERM: SIGKILL follows after the longest setup timeout, counted
// as 3 s where it is longer, and 0.7 s at the earliest; a little before, all that was asked is answered.
func DrainSeconds(setupTimeout float64) float64 { return min(setupTimeout, 3) + 0.55 }

// ServerConn is one connection to a server, as far as it matters for who carries a SETUP.
type ServerConn struct {
	Up       bool // it is open; else it is being opened
	Pending  int  // SETUPs out on it, or waiting for it
	LastUsed float64
}

// OpenNew and NoConn tell that a SETUP goes over a new connection, or can't go.
const OpenNew, NoConn = -1, -2

// PickIdle tells which of the connections to servers gives way to a new one: the one unused longest of those that carry
// nothing; None where all carry something.
func PickIdle(list []ServerConn) int {
	first := NoConn
	for i, c := range list {
		if c.Up && c.Pending == 0 && (first == NoConn || c.LastUsed < list[first].LastUsed) {
			first = i
		}
	}
	return first
}

// AssumedArrivalSeconds is how many seconds after it was sent a message that belongs to no connection counts as arrived if its connection
// ends: its peer may have closed just before, and what came then was thrown away. Heard twice it says nothing new.
const AssumedArrivalSeconds = 0.25

// MaxResends is how many times a SETUP of which nothing left goes over a new connection to the same server: one cut while
// idle is common; against a server that takes connections and ends each, which would be opened anew without end.
const MaxResends = 1

// OvertakenAnswerWait is how many seconds an answer that its session's release has overtaken on another connection is waited for: connections
// of one server differ by a few milliseconds, and by some tens where one of them is crowded. Harm: a client that is refused so
// much later where no answer comes.
const OvertakenAnswerWait = 0.05

// MaxLocalRetries is how many times a SETUP is tried again for which the own machine had no connection to give, and LocalRetryDelay
// after how many seconds: descriptors and ports come back as connections close. Harm: an answer that comes so much later.
const (
	MaxLocalRetries = 3
	LocalRetryDelay = 0.02
)

// ListenTimeout is how many seconds a process that starts tries to get its address: one before it may just be ending. Nine in ten
// restarted ones are to be ready within 10 s.
const ListenTimeout = 5.0

// PickConn tells which of a server's connections carries a SETUP: an open one that carries none, the one used last; else a
// new one, up to most of them; else the one that carries fewest, within streams where that is above 0.
func PickConn(list []ServerConn, most, streams int) int {
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
	case len(list) < most && (best == OpenNew || list[best].Pending > 0):
		return OpenNew
	case best == OpenNew || streams > 0 && list[best].Pending >= streams:
		return NoConn
	}
	return best
}
