package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"rainhaven/choice"
	"rainhaven/choice/lifecycle"
	"rainhaven/internal/node/start"
	"rainhaven/internal/rtsp"
)

// failingNetwork fails so many dials with an error of the system's.
type failingNetwork struct {
	systemNetwork
	failuresLeft atomic.Int32
	errno        syscall.Errno
}

func (f *failingNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	if f.failuresLeft.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", f.errno)}
	}
	return f.systemNetwork.Dial(ctx, addr)
}

// What the own machine lacks speaks against no server: the request is served there as soon as there is a connection, and the
// server is not set aside. A peer that can't be reached is.
func TestErrorsOfTheOwnMachine(t *testing.T) {
	for _, c := range []struct {
		errno syscall.Errno
		local bool
	}{{syscall.EADDRNOTAVAIL, true}, {syscall.ENFILE, true}, {syscall.EMFILE, true}, {syscall.ENOBUFS, true}, {syscall.ENETUNREACH, true},
		{syscall.EINTR, true}, {syscall.ETIMEDOUT, false}, {syscall.EHOSTUNREACH, false}, {syscall.ECONNREFUSED, false}} {
		t.Run(c.errno.Error(), func(t *testing.T) {
			failing := &failingNetwork{errno: c.errno}
			var s1 *fakeServer
			f := newHarness(t, 256, func(f *harness) []*fakeServer {
				f.network, s1 = failing, f.startServer("s-1")
				return []*fakeServer{s1}
			})
			failing.failuresLeft.Store(2)
			v := f.connect()
			v.setup(testID(1), "paid", "")
			if c.local {
				f.serveNext(s1, v)
			} else {
				v.expect("503")
			}
			aside := false
			f.inspect(func(n *Node) { aside = n.front.ServerEstimates()[0].Ejected })
			if aside == c.local {
				t.Errorf("set aside: %v", aside)
			}
		})
	}
}

// Where the own machine has no connection for as long as the client waits, the request is refused in time, as nothing ran.
func TestNoLocalConnectionUntilDeadline(t *testing.T) {
	failing := &failingNetwork{errno: syscall.EADDRNOTAVAIL}
	f := newHarness(t, 256, func(f *harness) []*fakeServer { f.network = failing; return []*fakeServer{f.startServer("s-1")} })
	failing.failuresLeft.Store(1 << 20)
	v := f.connect()
	v.setup(testID(1), "paid", "")
	v.expect("503")
	f.waitFor("nothing is left of it", func(n *Node) bool { return len(n.sessions) == 0 && n.openRequests == 0 })
}

// A server's start is told by a clock that may be off by an hour, either way: the server is cold from when it was told, and
// warm again after its time, not an hour later. An entry that tells the same start again starts nothing anew.
func TestStartToldByAClockThatIsOff(t *testing.T) {
	for _, off := range []time.Duration{0, time.Second, -3 * time.Second, time.Hour, -time.Hour} {
		t.Run(off.String(), func(t *testing.T) {
			f, _ := newSingleServerHarness(t, 256)
			feed := f.acceptFollower()
			s2 := f.startServer("s-2")
			told := strings.Replace(listEntry("s-2", s2.Addr().String(), "up"), `"startedAtMs":0`, fmt.Sprintf(`"startedAtMs":%d`, time.Now().Add(off).UnixMilli()), 1)
			fmt.Fprintln(feed, listEvent(2, false, told))
			f.waitFor("it is known", func(n *Node) bool { return n.serversByID["s-2"] != nil })
			born := 0.0
			f.inspect(func(n *Node) {
				if born = n.serversByID["s-2"].startedAt; born > n.now || born < n.now-5 {
					t.Errorf("counts as started %.1f s ago", n.now-born)
				}
			})
			fmt.Fprintln(feed, listEvent(3, false, told))
			f.waitFor("it is told again", func(n *Node) bool { return n.lastIndex == 3 })
			f.inspect(func(n *Node) {
				if again := n.serversByID["s-2"].startedAt; again != born {
					t.Errorf("starts anew %.1f s later", again-born)
				}
			})
		})
	}
}

// Requests with very little time left are answered in time, or their server is told no more than that.
func TestShortDeadlines(t *testing.T) {
	f, s1 := newSingleServerHarness(t, 256)
	for k, patience := range []int{1, 5, 12, 13, 30, 50} {
		v := f.connect()
		v.sendf("%s", setupText(k, patience))
		sent := time.Now()
		m := v.nextWithin(time.Duration(patience)*time.Millisecond + 500*time.Millisecond)
		if s := messageKind(m); s != "503" && s != "500" {
			t.Errorf("%d ms: %s after %v", patience, s, time.Since(sent))
		}
	}
	for len(s1.received) > 0 {
		if x := <-s1.received; x.msg.Method == rtsp.Setup {
			var wait int
			if fmt.Sscan(x.msg.Header.Get(headerPatience), &wait); wait > 50 {
				t.Errorf("a server is told %d ms", wait)
			}
		}
	}
}

// A process that starts while the one before it still has the address serves as soon as that has ended.
func TestAddressFreedLate(t *testing.T) {
	f, _ := newSingleServerHarness(t, 256)
	before, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := start.Parse([]byte(f.config(256, 0, "")))
	if err != nil {
		t.Fatal(err)
	}
	s.Listen = before.Addr().String()
	ends, over := make(chan os.Signal, 3), make(chan lifecycle.ExitCode, 1)
	go func() {
		code, err := Run(Options{Config: s, Log: zap.NewNop(), TerminationSignals: ends})
		if err != nil {
			t.Error(err)
		}
		over <- code
	}()
	time.AfterFunc(200*time.Millisecond, func() { before.Close() })
	ready := false
	for end := time.Now().Add(testTimeout); !ready && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c, err := net.Dial("tcp", s.Listen)
		if err != nil {
			continue
		}
		p := newPeer(t, c, "client")
		p.sendf("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")
		select {
		case m := <-p.messages:
			ready = messageKind(m) == "200"
		case <-time.After(300 * time.Millisecond):
		}
		c.Close()
	}
	if !ready {
		t.Error("it does not serve")
	}
	ends <- syscall.SIGTERM
	if code := <-over; code != lifecycle.ExitClean {
		t.Errorf("exit %d", code)
	}
}

// A new configuration names a coordinator that takes connections and says nothing yet: a drain that only the one before tells
// is heeded. Once the new one has spoken the old one is left, and its connection closed.
func TestOldCoordinatorIsHeardUntilTheNewOneSpeaks(t *testing.T) {
	f, s1 := newSingleServerHarness(t, 256)
	old := f.acceptFollower()
	l, follows := f.startCoordinator()
	f.reloadConfig = func() (*start.Start, error) { return &start.Start{Coordinator: l.Addr().String()}, nil }
	f.reloadSignals <- syscall.SIGHUP
	c := <-follows
	defer c.Close()
	fmt.Fprintln(old, listEvent(2, false, listEntry("s-1", s1.Addr().String(), "draining")))
	f.waitFor("the drain is heard", func(n *Node) bool { return n.servers[0].state == choice.Draining })
	fmt.Fprintln(c, "2")
	f.waitFor("the old one is left", func(n *Node) bool { return len(n.watches) == 1 && n.watches[0].addr == l.Addr().String() })
	old.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := old.Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the old one's connection: %v", err)
	}
}

// Ten configurations in a row, some of them broken, some naming the coordinator before: the last good one is in force, and no
// more coordinators are followed than needed.
func TestConfigurationsInARow(t *testing.T) {
	f, s1 := newSingleServerHarness(t, 256)
	f.acceptFollower()
	var addrs []string
	var follows []chan *followerConn
	for range 3 {
		l, ch := f.startCoordinator()
		addrs, follows = append(addrs, l.Addr().String()), append(follows, ch)
	}
	for k := range 10 {
		read := make(chan bool, 1)
		f.reloadConfig = func() (*start.Start, error) {
			defer func() { read <- true }()
			if k%3 == 1 {
				return nil, errors.New("half a file")
			}
			return &start.Start{Coordinator: addrs[k%len(addrs)]}, nil
		}
		f.reloadSignals <- syscall.SIGHUP
		<-read
	}
	last := 9 % len(addrs)
	over := make(chan bool)
	defer close(over)
	go func() { // a connection on which nothing is said for some seconds is given up for another
		for {
			select {
			case c := <-follows[last]:
				defer c.Close()
				fmt.Fprintln(c, listEvent(2, false, listEntry("s-1", s1.Addr().String(), "draining")))
			case <-over:
				return
			}
		}
	}()
	f.waitFor("the last one is in force", func(n *Node) bool {
		return n.servers[0].state == choice.Draining && len(n.watches) == 1 && n.watches[0].addr == addrs[last]
	})
}
