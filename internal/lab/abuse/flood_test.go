package abuse

import (
	"testing"
	"time"

	"rainhaven/internal/rtsp"
)

// flood is what one hostile client sends over and over, or nil where it makes no sense for a protocol.
type flood struct {
	name        string
	reads       bool // it reads the answers
	node, front func() []byte
}

// handedOver returns the platform's SETUP of a session that plays at a server already.
func handedOver(id string) *rtsp.Message {
	return platformSetup(id, "free").WithHeader("X-Facts", "home:0;copies:2;top:4;at:s-0")
}

// withName returns a function that makes a request of a front whose title, session or method is an ever new name.
func withName(make func(name string) *rtsp.Message) func() []byte {
	return EverNew(func(id string) *rtsp.Message { return make(id).WithHeader("CSeq", "1") })
}

const (
	platformTest = "OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n"
	frontTest    = "OPTIONS * RTSP/1.0\r\nCSeq: 3\r\n\r\n"
	unsoundSetup = "SETUP x RTSP/1.0\r\nCSeq: 1\r\n\r\n"
	strayAnswer  = "RTSP/1.0 200 OK\r\nCSeq: 1\r\n\r\n"
)

var floods = []flood{
	{"tests", true, Repeat(platformTest), Repeat(frontTest)},
	{"tests, answers unread", false, Repeat(platformTest), Repeat(frontTest)},
	{"unsound requests", true, Repeat(unsoundSetup), Repeat(unsoundSetup)},
	{"answers to nothing", true, Repeat(strayAnswer), Repeat(strayAnswer)},
	{"new sessions", true, EverNew(func(id string) *rtsp.Message { return platformSetup(id, "free") }),
		withName(func(string) *rtsp.Message {
			return rtsp.NewRequest(rtsp.Setup, "rtsp://x/clips/vents/track0").WithHeader("Transport", "RTP/AVP/TCP")
		})},
	{"new names", true, EverNew(func(id string) *rtsp.Message { return Platform.TearDown("", id) }),
		withName(func(name string) *rtsp.Message { return rtsp.NewRequest(rtsp.Describe, "rtsp://x/clips/"+name) })},
	{"new methods", true, withName(func(name string) *rtsp.Message { return rtsp.NewRequest("X"+name, "rtsp://media/t1") }),
		withName(func(name string) *rtsp.Message { return rtsp.NewRequest("X"+name, "rtsp://media/t1") })},
	{"sessions handed over", true, EverNew(handedOver),
		withName(func(name string) *rtsp.Message {
			return rtsp.NewRequest(rtsp.GetParameter, "rtsp://x/clips/vents").WithHeader("Session", name)
		})},
}

// One client sends small or unsound messages on one connection at full speed: the other clients get every answer within their setup
// timeout, and memory stays within its limit. At a node others lost requests beside stray answers and beside sessions handed over: the
// loop and the flood's reader took turns, and nobody else's connection was read.
func TestOthersBesideAFlood(t *testing.T) {
	program := buildProgram(t)
	for _, f := range floods {
		t.Run(f.name, func(t *testing.T) {
			onBoth(t, program, func(t *testing.T, x target) {
				next := f.node
				if x.name == "front" {
					next = f.front
				}
				others := StartClients(x.address, x.dialect, 10)
				time.Sleep(settle)
				PlayHostile(x.address, 1, floodFor, Flood(f.reads, next))
				time.Sleep(settle)
				got := others.Stop()
				t.Log(got)
				if got.Lost > 0 || got.Worst > Patience || got.Asked == 0 {
					t.Errorf("beside a flood of %s: %v", f.name, got)
				}
				x.checkMemory(t)
			})
		})
	}
}
