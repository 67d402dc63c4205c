// Package limits holds a front's resource limits and timeouts: the defaults of those that can be set, and fixed ones. It does
// no I/O.
package limits

// Bounds are the limits that a front's settings may change.
type Bounds struct {
	MaxConnections    int     // connections of all viewers
	MaxSessions       int     // sessions in all; further requests get a busy reply
	MaxBoxConnections int     // connections to one box
	QueueBytes        int     // bytes of media queued for one viewer
	ViewerIdleTimeout float64 // seconds of silence after which a viewer counts as gone
	KeepAliveInterval float64 // seconds between keep-alive requests to a box
	ConnectTimeout    float64 // seconds to connect to a box
	ProbeTimeout      float64 // seconds to wait for the answer to a probe
	WriteStall        float64 // seconds that one write to a viewer may take
}

// Defaults are the limits used where the settings have none.
var Defaults = Bounds{
	// A session takes two descriptors: 4,000 sessions need less than half of the 20,000 that a service may usually open.
	// The users' fronts carry a hundredth of that.
	MaxConnections: 5000, MaxSessions: 4000,
	// A box has 20 places, and drains and probes take connections besides; ten times that leaves room for far larger boxes.
	MaxBoxConnections: 200,
	// Half a second of the users' fastest rung, 2.5 MB a second, is 1.25 MB. A viewer further behind has stalled for longer
	// than its player's buffer covers, and the media that it missed is outdated.
	QueueBytes: 1 << 20,
	// The default session timeout of RFC 2326, and a third of it, so that two keep-alives may be lost.
	ViewerIdleTimeout: 60, KeepAliveInterval: 20,
	// The users' present limit for both with their boxes; a round trip takes up to 5 ms.
	ConnectTimeout: 0.25, ProbeTimeout: 0.25,
	// A viewer that accepts no data for that long is gone: it is twice the longest stall that its player waits through.
	WriteStall: 10,
}

// QueueFullWait is the time in seconds that a box's media waits for room in a viewer's full queue before frames are dropped. A
// viewer that keeps up on average empties its queue within a round trip or two. A longer wait would delay the box's answers
// on the same connection, which are due within milliseconds.
const QueueFullWait = 0.05

// ViewerLimited reports whether a session's media rate tells nothing about its box, because the viewer's queue was full at
// time limited. One second is the window over which delivered shares are measured.
func ViewerLimited(now, limited float64) bool { return limited > 0 && now-limited < 1 }

// HandshakeTimeout is the time in seconds for a viewer's TLS handshake: two round trips and a signature, with a margin for a
// poor farm link. A client that never finishes occupies its place no longer.
const HandshakeTimeout = 5.0

// MaxViewerFramesPerSecond is the number of frames of one viewer that are processed within a second. RTCP comes every few
// seconds per track. The limit guards against floods: each frame takes some microseconds of the front's loop, which all
// viewers share. Players may exceed the rate of RFC 3550 a hundredfold without being affected.
const MaxViewerFramesPerSecond = 50

// MaxPipelined is the number of unanswered requests of one viewer's connection; while it is reached nothing more is read.
// SETUPs of all tracks, PLAY, a keep-alive and TEARDOWN are six. The limit guards against a viewer that floods requests, each
// of which takes memory.
const MaxPipelined = 16

// CloseCheckInterval is the time in seconds between two looks for the end of a viewer's connection from which nothing is read. No attempt
// may begin later than 0.1 s after a viewer has left.
const CloseCheckInterval = 0.05

// MaxRequestBytes bounds a viewer's request, its body and an interleaved frame from a viewer, in bytes, and with them what a connection
// holds of a request whose rest never comes. Requests of players have less than 2 kB, and a report of receivers fits a datagram.
const MaxRequestBytes = 16 << 10

// maxRoundTrip is the longest round trip to a viewer in seconds; SETUP timeouts are two to three of them.
const maxRoundTrip = 1.0

// MayCross reports whether a request that was read at time now may have been sent before its viewer received a response that left
// at time sentAt, in seconds; 0 if it has not left yet.
func MayCross(now, sentAt float64) bool { return sentAt == 0 || now-sentAt < maxRoundTrip }

const (
	// LateAnswerWait is the time in seconds to wait for the answer to a withdrawn SETUP, to tear down what it set up. A box
	// that stalls for longer drops the sessions of closed connections by itself.
	LateAnswerWait = 10.0
	// MaxLateAnswers is the number of such waits at a time; beyond it a withdrawn SETUP's connection is closed at once.
	MaxLateAnswers = 128
	// OrphanTimeout is the time in seconds for which a session that no viewer has is torn down again and again at a box that
	// can't be reached, OrphanRetryInterval the time in seconds between two attempts, and MaxOrphans the number of such
	// sessions at a time. What exceeds them is left to the box's own session timeout.
	OrphanTimeout, OrphanRetryInterval = 8.0, 0.25
	MaxOrphans                         = 256
	// ClaimTimeout is the time in seconds for a viewer to claim a session that was handed over. It notices the lost
	// connection at once and reconnects within a second or two; boxes keep sessions without a connection for some seconds.
	ClaimTimeout = 10.0
	// AdoptTimeout is the time in seconds for a connection to the box of a session that was handed over, and
	// AdoptRetryInterval the time in seconds between two attempts. Boxes drop such a session after about as long.
	AdoptTimeout, AdoptRetryInterval = 2.0, 0.1
)
