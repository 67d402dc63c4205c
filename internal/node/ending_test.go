package node

import (
	"syscall"
	"testing"
	"time"

	"rainhaven/internal/rtsp"
)

// The tests of this file force the end of something to be heard of before what it ends: a session's release before its
// answer, a connection's close before a request that was read from it, the exit before a reader's last request.

// A server's release reaches the node before the answer that it follows: the session has stood, so its SETUP is not
// repeated, and the client gets the one answer that the server gave, as soon as it comes.
func TestReleaseOvertakesTheAnswer(t *testing.T) {
	for _, c := range []struct {
		name     string
		class    string
		cause    int
		released bool // the client is owed a release after its answer
	}{
		{"ended by its client", "free", causeMoved, false},
		{"ended by its client, paid", "paid", causeMoved, false},
		{"come to its end", "free", causeOver, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s1, s2 *host
			f := newFarm(t, 256, func(f *farm) []*host {
				s1, s2 = f.host("s-1"), f.host("s-2")
				return []*host{s1, s2}
			})
			v := f.client()
			v.setup(id(1), c.class, "")
			x, h := f.wanted(rtsp.Setup, s1, s2)
			x.on.tearDown(id(1), c.cause)
			time.Sleep(600 * time.Millisecond) // past the wait after which the class would be tried elsewhere
			x.on.answer(x.m, 200, given)
			if m := v.want("200"); string(m.Body) != given {
				t.Errorf("the answer has %q", m.Body)
			}
			if c.released {
				v.want(rtsp.TearDown)
			}
			other := s1
			if h == s1 {
				other = s2
			}
			f.none(other)
			f.until("nothing is left of it", func(n *Node) bool { return len(n.sessions) == 0 && n.open == 0 })
			v.say("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")
			v.want("200") // and nothing of the session's before it
		})
	}
}

// A connection is closed as unused while its reader already has a request: the request is answered all the same, whichever
// of the two the loop hears of first.
func TestRequestReadAsItsConnectionIsClosed(t *testing.T) {
	f, s1 := single(t, 256)
	v := f.client()
	v.say("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")
	v.want("200")
	f.held(
		func() { v.setup(id(1), "free", "") },
		func() { f.node.clients[0].Used = -100; f.node.sweep(); f.node.events <- event{do: func() {}} },
	)
	x, _ := f.wanted(rtsp.Setup, s1)
	x.on.answer(x.m, 200, given)
	v.want("200")
}

// The node ends while readers still take requests: each that was read from a connection before its close is answered, also
// where it is read after all that was open has been answered.
func TestExitHearsEveryReader(t *testing.T) {
	var clients []*peer
	read := map[string]bool{}
	f := newFarm(t, 256, func(f *farm) []*host {
		f.logged = func(what string) {
			if what != "exit" && what != "over" {
				return
			}
			v, had := clients[len(read)], len(f.node.events)
			v.setup(id(len(read)), "free", "")
			for end := time.Now().Add(100 * time.Millisecond); len(f.node.events) == had && time.Now().Before(end); {
				time.Sleep(100 * time.Microsecond)
			}
			read[what] = len(f.node.events) > had
		}
		return []*host{f.host("s-1")}
	})
	clients = []*peer{f.client(), f.client()}
	f.until("both connections are known", func(n *Node) bool { return len(n.clients) == 2 })
	f.terminate()
	f.ends <- syscall.SIGTERM
	f.over <- <-f.over
	if !read["exit"] { // else the test shows nothing
		t.Error("the request at the exit was not read")
	}
	for k, what := range []string{"exit", "over"} {
		if m := clients[k].next(); read[what] && said(m) != "503" {
			t.Errorf("read at %q: %s where 503 is due", what, said(m))
		}
	}
}
