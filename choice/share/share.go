// Package share decides how one front node's descriptors are shared out between viewers and servers, which viewers'
// connections give way, which connection carries a SETUP, and how long requests and sessions are let go on. It does no I/O.
package share

// Viewers is how many viewers' connections are held together beside so many to servers: usual viewers hold at most a
// third of all descriptors, and as many again may be held by others until their age tells them apart. A tenth of all is
// nobody's, so that the coordinator's connection, the listener and the program itself never want for one.
func Viewers(descriptors, servers int) int {
	return max(min(descriptors*55/100, descriptors*90/100-servers), descriptors*36/100, 8)
}

// Newcomers is how many viewers' connections past their share are accepted before others have given way to them. Harm: so many
// descriptors less of the tenth that is nobody's.
const Newcomers = 4

// PerServer is how many connections one server may have: what viewers, the coordinator and the program itself leave,
// split among the servers, within 1 to 8. A SETUP has a connection for itself where it can, as a spoilt answer ends
// all that its connection carries.
func PerServer(descriptors, servers int) int {
	return min(max((descriptors*35/100)/max(servers, 1), 1), 8)
}

// Servers is how many connections all servers may have together, PerServer or not: with as many servers as descriptors,
// one each would leave the coordinator and the listener none.
func Servers(descriptors int) int { return max(descriptors*54/100, 8) }

const (
	// Begin is how many seconds a viewer's connection may take to send its first whole message, and each further one
	// from its first byte: usual viewers send at once; against silent and half ones, who are owed a close within 3 s.
	Begin = 2.0
	// unused is how many seconds a connection without sessions is kept: viewers close theirs after 4 s. Against
	// viewers who ask once and hold their connection for good.
	unused = 6.0
	// Open is how many requests of one connection may be without their answers, and openInAll of all; more are
	// busy-replied, as nothing of them ran. Usual connections of the platform carry some tens.
	Open, openInAll = 64, 512
	// Margin is how many seconds an answer may take on its way back to the viewer, whose patience began when it sent its
	// SETUP: some 1 ms each way and what a busy core adds. Much more would cut short SETUPs that would still be served.
	Margin = 0.012
	// wrong is how many of a connection's requests may be refused as malformed before it is closed.
	wrong = 8
)

// Holding is what decides whether a viewer's connection gives way.
type Holding struct {
	Spoke    bool // it has sent a whole message
	Asked    bool // it has asked for a session
	Open     int  // requests without their answers
	Standing int  // sessions whose release it waits for
	Wrong    int  // requests of its that made no sense
	Since    float64
	Used     float64 // when it last had something of a session's to do
}

// Idle tells whether a connection has been without sessions for too long.
func (h Holding) Idle(now float64) bool {
	return h.Spoke && h.Open == 0 && h.Standing == 0 && now-h.Used > unused
}

// Senseless tells whether a connection without sessions has sent enough that makes no sense.
func (h Holding) Senseless() bool { return h.Wrong >= wrong && h.Open == 0 && h.Standing == 0 }

// TooMany tells whether one more request of a connection is turned away, with so many open in all.
func (h Holding) TooMany(all int) bool { return h.Open >= Open || all >= openInAll }

// Handed is how many sessions that stand already are taken in, by memory: a session takes about a kilobyte, and a tenth
// of the smallest node's memory holds what the largest usual one is handed. Against viewers who claim sessions without end.
func Handed(megabytes int) int { return 100 * max(megabytes, 16) }

// Stale tells whether a connection to a server, unused since then, is closed before its peer closes it after idle seconds.
func Stale(now, since, idle float64) bool { return idle > 0 && now-since > 0.8*idle }

// fresh is how many seconds a new connection has before its silence counts: usual viewers send within milliseconds.
const fresh = 0.25

// Rank orders connections for giving way: the lowest goes first, the one unused longest of a rank; below 0 never goes.
// Against hundreds that say nothing, or only tests, and would have usual viewers' new ones turned away in their place.
func (h Holding) Rank(now float64) int {
	switch {
	case h.Open > 0:
		return -1
	case !h.Spoke && now-h.Since >= fresh:
		return 0
	case h.Spoke && !h.Asked:
		return 1
	case h.Spoke && h.Standing == 0:
		return 2
	case !h.Spoke:
		return 3
	}
	return 4
}

// Drain is how many seconds sessions may play on after SIGTERM: SIGKILL follows after the longest setup timeout, counted
// as 3 s where it is longer, and 0.7 s at the earliest; a little before, all that was asked is answered.
func Drain(setupTimeout float64) float64 { return min(setupTimeout, 3) + 0.55 }

// Carrying is one connection to a server, as far as it matters for who carries a SETUP.
type Carrying struct {
	Up   bool // it is open; else it is being opened
	Open int  // SETUPs out on it, or waiting for it
	Used float64
}

// New and None tell that a SETUP goes over a new connection, or can't go.
const New, None = -1, -2

// Yield tells which of the connections to servers gives way to a new one: the one unused longest of those that carry
// nothing; None where all carry something.
func Yield(list []Carrying) int {
	first := None
	for i, c := range list {
		if c.Up && c.Open == 0 && (first == None || c.Used < list[first].Used) {
			first = i
		}
	}
	return first
}

// Arrives is how many seconds after it was sent a message that belongs to no connection counts as arrived if its connection
// ends: its peer may have closed just before, and what came then was thrown away. Heard twice it says nothing new.
const Arrives = 0.25

// Resent is how many times a SETUP of which nothing left goes over a new connection to the same server: one cut while
// idle is common; against a server that takes connections and ends each, which would be opened anew without end.
const Resent = 1

// Overtaken is how many seconds an answer that its session's release has overtaken on another connection is waited for: connections
// of one server differ by a few milliseconds, and by some tens where one of them is crowded. Harm: a client that is refused so
// much later where no answer comes.
const Overtaken = 0.05

// LocalTries is how many times a SETUP is tried again for which the own machine had no connection to give, and LocalPause
// after how many seconds: descriptors and ports come back as connections close. Harm: an answer that comes so much later.
const (
	LocalTries = 3
	LocalPause = 0.02
)

// ListenFor is how many seconds a process that starts tries to get its address: one before it may just be ending. Nine in ten
// restarted ones are to be ready within 10 s.
const ListenFor = 5.0

// Carry tells which of a server's connections carries a SETUP: an open one that carries none, the one used last; else a
// new one, up to most of them; else the one that carries fewest, within streams where that is above 0.
func Carry(list []Carrying, most, streams int) int {
	best := New
	for i, c := range list {
		if best == New {
			best = i
			continue
		}
		b := list[best]
		if c.Open < b.Open || c.Open == b.Open && (c.Up && !b.Up || c.Up == b.Up && c.Used > b.Used) {
			best = i
		}
	}
	switch {
	case best != New && list[best].Open == 0 && list[best].Up:
		return best
	case len(list) < most && (best == New || list[best].Open > 0):
		return New
	case best == New || streams > 0 && list[best].Open >= streams:
		return None
	}
	return best
}
