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

// failingNetwork fails the next failuresLeft dials with errno.
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

// An error of the node's own machine must not count against a server: the request is served there as soon as a connection can be
// opened, and the server is not ejected. An unreachable server is ejected.
func TestErrorsOfTheOwnMachine(t *testing.T) {
	for _, c := range []struct {
		errno syscall.Errno
		local bool
	}{{syscall.EADDRNOTAVAIL, true}, {syscall.ENFILE, true}, {syscall.EMFILE, true}, {syscall.ENOBUFS, true}, {syscall.ENETUNREACH, true},
		{syscall.EINTR, true}, {syscall.ETIMEDOUT, false}, {syscall.EHOSTUNREACH, false}, {syscall.ECONNREFUSED, false}} {
		t.Run(c.errno.Error(), func(t *testing.T) {
			failing := &failingNetwork{errno: c.errno}
			var s1 *fakeServer
			h := newHarness(t, 256, func(h *harness) []*fakeServer {
				h.network, s1 = failing, h.startServer("s-1")
				return []*fakeServer{s1}
			})
			failing.failuresLeft.Store(2)
			cl := h.connect()
			cl.setup(testID(1), "paid", "")
			if c.local {
				h.serveNext(s1, cl)
			} else {
				cl.expect("503")
			}
			ejected := false
			h.inspect(func(n *Node) { ejected = n.front.ServerEstimates()[0].Ejected })
			if ejected == c.local {
				t.Errorf("ejected: %v", ejected)
			}
		})
	}
}

// If the node's own machine has no connection until the client's deadline, the request is refused in time with 503, as it had no
// effect.
func TestNoLocalConnectionUntilDeadline(t *testing.T) {
	failing := &failingNetwork{errno: syscall.EADDRNOTAVAIL}
	h := newHarness(t, 256, func(h *harness) []*fakeServer { h.network = failing; return []*fakeServer{h.startServer("s-1")} })
	failing.failuresLeft.Store(1 << 20)
	cl := h.connect()
	cl.setup(testID(1), "paid", "")
	cl.expect("503")
	h.waitFor("the session is forgotten", func(n *Node) bool { return len(n.sessions) == 0 && n.openRequests == 0 })
}

// The clock by which the list gives a server's start may be off by an hour, either way: the server counts as cold from when the
// start was listed, and as warm after the warm-up, not an hour later. An entry that repeats the same start changes nothing.
func TestStartToldByAClockThatIsOff(t *testing.T) {
	for _, off := range []time.Duration{0, time.Second, -3 * time.Second, time.Hour, -time.Hour} {
		t.Run(off.String(), func(t *testing.T) {
			h, _ := newSingleServerHarness(t, 256)
			coordinator := h.acceptFollower()
			s2 := h.startServer("s-2")
			started := strings.Replace(listEntry("s-2", s2.Addr().String(), "up"), `"startedAtMs":0`, fmt.Sprintf(`"startedAtMs":%d`, time.Now().Add(off).UnixMilli()), 1)
			fmt.Fprintln(coordinator, listEvent(2, false, started))
			h.waitFor("the server is known", func(n *Node) bool { return n.serversByID["s-2"] != nil })
			startedAt := 0.0
			h.inspect(func(n *Node) {
				if startedAt = n.serversByID["s-2"].startedAt; startedAt > n.now || startedAt < n.now-5 {
					t.Errorf("counts as started %.1f s ago", n.now-startedAt)
				}
			})
			fmt.Fprintln(coordinator, listEvent(3, false, started))
			h.waitFor("the entry is repeated", func(n *Node) bool { return n.lastIndex == 3 })
			h.inspect(func(n *Node) {
				if again := n.serversByID["s-2"].startedAt; again != startedAt {
					t.Errorf("counts as started %.1f s later", again-startedAt)
				}
			})
		})
	}
}

// Requests with very little time left are answered in time, and their servers get no longer deadline than that.
func TestShortDeadlines(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	for k, milliseconds := range []int{1, 5, 12, 13, 30, 50} {
		cl := h.connect()
		cl.sendf("%s", setupText(k, milliseconds))
		sent := time.Now()
		m := cl.nextWithin(time.Duration(milliseconds)*time.Millisecond + 500*time.Millisecond)
		if s := messageKind(m); s != "503" && s != "500" {
			t.Errorf("%d ms: %s after %v", milliseconds, s, time.Since(sent))
		}
	}
	for len(s1.received) > 0 {
		if x := <-s1.received; x.msg.Method == rtsp.Setup {
			var wait int
			if fmt.Sscan(x.msg.Header.Get(headerPatience), &wait); wait > 50 {
				t.Errorf("a server got a deadline of %d ms", wait)
			}
		}
	}
}

// A process that starts while its predecessor still holds the address serves as soon as the predecessor has ended.
func TestAddressFreedLate(t *testing.T) {
	h, _ := newSingleServerHarness(t, 256)
	predecessor, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := start.Parse([]byte(h.config(256, 0, "")))
	if err != nil {
		t.Fatal(err)
	}
	s.Listen = predecessor.Addr().String()
	terminationSignals, exitCode := make(chan os.Signal, 3), make(chan lifecycle.ExitCode, 1)
	go func() {
		code, err := Run(Options{Config: s, Log: zap.NewNop(), TerminationSignals: terminationSignals})
		if err != nil {
			t.Error(err)
		}
		exitCode <- code
	}()
	time.AfterFunc(200*time.Millisecond, func() { predecessor.Close() })
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
		t.Error("the node does not serve")
	}
	terminationSignals <- syscall.SIGTERM
	if code := <-exitCode; code != lifecycle.ExitClean {
		t.Errorf("exit %d", code)
	}
}

// A new configuration names a coordinator that accepts connections but sends nothing yet: a drain that only the old coordinator
// reports still takes effect. After the new one's first message the connection to the old one is closed.
func TestOldCoordinatorIsHeardUntilTheNewOneSpeaks(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	old := h.acceptFollower()
	listener, follows := h.startCoordinator()
	h.reloadConfig = func() (*start.Config, error) { return &start.Config{Coordinator: listener.Addr().String()}, nil }
	h.reloadSignals <- syscall.SIGHUP
	c := <-follows
	defer c.Close()
	fmt.Fprintln(old, listEvent(2, false, listEntry("s-1", s1.Addr().String(), "draining")))
	h.waitFor("the drain is applied", func(n *Node) bool { return n.servers[0].state == choice.Draining })
	fmt.Fprintln(c, "2")
	h.waitFor("the old coordinator is no longer followed", func(n *Node) bool {
		return len(n.coordinators) == 1 && n.coordinators[0].addr == listener.Addr().String()
	})
	old.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := old.Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("connection to the old coordinator: %v", err)
	}
}

// Ten reloads in a row, some with a broken configuration, some naming the previous coordinator: the last valid one takes effect,
// and only its coordinator remains followed.
func TestConfigurationsInARow(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	h.acceptFollower()
	var addrs []string
	var follows []chan *followerConn
	for range 3 {
		listener, ch := h.startCoordinator()
		addrs, follows = append(addrs, listener.Addr().String()), append(follows, ch)
	}
	for k := range 10 {
		read := make(chan bool, 1)
		h.reloadConfig = func() (*start.Config, error) {
			defer func() { read <- true }()
			if k%3 == 1 {
				return nil, errors.New("half a file")
			}
			return &start.Config{Coordinator: addrs[k%len(addrs)]}, nil
		}
		h.reloadSignals <- syscall.SIGHUP
		<-read
	}
	last := 9 % len(addrs)
	stop := make(chan bool)
	defer close(stop)
	go func() { // the node replaces a connection that is silent for some seconds
		for {
			select {
			case c := <-follows[last]:
				defer c.Close()
				fmt.Fprintln(c, listEvent(2, false, listEntry("s-1", s1.Addr().String(), "draining")))
			case <-stop:
				return
			}
		}
	}()
	h.waitFor("the last configuration is in force", func(n *Node) bool {
		return n.servers[0].state == choice.Draining && len(n.coordinators) == 1 && n.coordinators[0].addr == addrs[last]
	})
}
