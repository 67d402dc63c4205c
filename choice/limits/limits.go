// Package limits holds the bounds by which one front keeps itself and its peers from harm where its settings name
// none. It does no I/O.
package limits

// Bounds are a front's own limits.
type Bounds struct {
	Connections    int     // of viewers, in all
	Sessions       int     // in all; more are busy-replied
	BoxConnections int     // to one box
	Queue          int     // bytes of media that wait for one viewer
	ViewerIdle     float64 // seconds after which an unheard viewer is gone
	KeepAlive      float64 // seconds between signs of life to a box
	ConnectTimeout float64 // seconds for a connection to a box
	ProbeTimeout   float64 // seconds for a probe's answer
	WriteStall     float64 // seconds that one write to a viewer may take
}

// Defaults are the bounds where none are set.
var Defaults = Bounds{
	// Two descriptors a session: 4,000 sessions stay under half of the 20,000 that a usual service may open, and a
	// front of the users' carries a hundredth of that.
	Connections: 5000, Sessions: 4000,
	// A box of 20 places, drains and probes beside; ten times that for boxes many times as large.
	BoxConnections: 200,
	// Half a second of the users' fastest rung at 2.5 MB a second is 1.25 MB; a viewer further behind has stalled
	// for longer than its player's own buffer bridges, and what it missed is old.
	Queue: 1 << 20,
	// RFC 2326's own session timeout, and a third of it, so that two signs of life may get lost.
	ViewerIdle: 60, KeepAlive: 20,
	// What the users' boxes are given now for both; the way there and back takes up to 5 ms.
	ConnectTimeout: 0.25, ProbeTimeout: 0.25,
	// A viewer that takes nothing at all for so long is gone: twice the longest stall its player would wait through.
	WriteStall: 10,
}

// QueueFullWait is how many seconds a box's media waits for room in a viewer's full queue before frames are dropped. A
// viewer that keeps up on average empties its queue within a round trip or two; longer would hold up the box's other
// answers on that connection, which are due within milliseconds.
const QueueFullWait = 0.05

// ViewerLimited tells whether a session's media says nothing of its box, because the viewer's queue was full at instant
// limited. The second is what shares are measured over.
func ViewerLimited(now, limited float64) bool { return limited > 0 && now-limited < 1 }

// HandshakeTimeout is how many seconds a viewer's TLS handshake may take: two round trips and a signature, with room for a poor
// farm link; a client that never finishes holds its place no longer.
const HandshakeTimeout = 5.0

// MaxViewerFramesPerSecond is how many frames of one viewer's are looked at within a second. RTCP comes every few seconds a track;
// against a viewer that floods them, each would take the front's loop some microseconds of everybody's. Harm: none to
// players that keep RFC 3550's pace by a factor of a hundred.
const MaxViewerFramesPerSecond = 50

// MaxPipelined is how many requests of one viewer's connection may be without their responses; its input waits beyond. SETUPs
// of all tracks, PLAY, a sign of life and TEARDOWN are six; against a viewer that floods requests, each would take memory.
const MaxPipelined = 16

const (
	// LateAnswerWait is how many seconds a withdrawn SETUP's answer is waited for, to tear down what it set up: boxes that stood
	// still longer drop sessions of connections that are gone by themselves.
	LateAnswerWait = 10.0
	// MaxLateAnswers is how many such waits there may be at a time; past it a withdrawn SETUP's connection is just closed.
	MaxLateAnswers = 128
	// ClaimTimeout is how many seconds a viewer has to claim a session that was handed over: it notices the break at once and
	// comes back within a second or two; boxes keep sessions without a connection for some seconds.
	ClaimTimeout = 10.0
)
