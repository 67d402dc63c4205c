package node

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"rainhaven/choice/lifecycle"
	"rainhaven/internal/node/start"
	"rainhaven/internal/rtsp"
)

const (
	testTimeout = 5 * time.Second // bounds each wait for something that must happen
	requestBody = "9d41c07a5be2f318\r\nc=IN IP4 127.0.0.1\r\n"
	answerBody  = "7e55aa0012345678\r\nc=IN IP4 127.0.0.2\r\nm=video 31000 RTP/AVP 33\r\n"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// peer is the test's end of a connection. Received messages wait in its channel, which is closed with the connection.
type peer struct {
	net.Conn
	t        testing.TB
	messages chan *rtsp.Message
	name     string
}

func newPeer(t testing.TB, c net.Conn, name string) *peer {
	p := &peer{c, t, make(chan *rtsp.Message, 4096), name}
	go func() {
		defer close(p.messages)
		r := rtsp.NewConn(c, rtsp.Limits{})
		for {
			m, _, err := r.Next()
			if err != nil {
				if os.Getenv("NODE_TEST_LOG") != "" {
					fmt.Println(name, err)
				}
				return
			}
			p.messages <- m
		}
	}()
	return p
}

// sendf writes formatted text to the connection.
func (p *peer) sendf(format string, args ...any) {
	if _, err := fmt.Fprintf(p.Conn, format, args...); err != nil {
		p.t.Logf("%s: %v", p.name, err)
	}
}

// next returns the next message, nil if the connection was closed.
func (p *peer) next() *rtsp.Message {
	p.t.Helper()
	return p.nextWithin(testTimeout)
}

// nextWithin is next with another time limit.
func (p *peer) nextWithin(limit time.Duration) *rtsp.Message {
	p.t.Helper()
	select {
	case m := <-p.messages:
		return m
	case <-time.After(limit):
		p.t.Fatalf("%s: no message within %v", p.name, limit)
	}
	return nil
}

// expect returns the next message, which must have this status or method.
func (p *peer) expect(kind string) *rtsp.Message {
	p.t.Helper()
	return p.expectWithin(testTimeout, kind)
}

// expectWithin is expect with another time limit.
func (p *peer) expectWithin(limit time.Duration, kind string) *rtsp.Message {
	p.t.Helper()
	m := p.nextWithin(limit)
	if got := messageKind(m); got != kind {
		p.t.Fatalf("%s: got %s, want %s", p.name, got, kind)
	}
	return m
}

// messageKind is a message's method or status, or "closed" for nil.
func messageKind(m *rtsp.Message) string {
	switch {
	case m == nil:
		return "closed"
	case m.IsRequest():
		return m.Method
	}
	return strconv.Itoa(m.Status)
}

func (p *peer) answer(m *rtsp.Message, status int, body string) {
	p.sendf("RTSP/1.0 %d X\r\nCSeq: 1\r\nSession: %s\r\nContent-Length: %d\r\n\r\n%s", status, m.Session(), len(body), body)
}

func (p *peer) setup(id, class, more string) {
	p.sendf("SETUP rtsp://media/t1 RTSP/1.0\r\nCSeq: 1\r\nSession: %s\r\nSubject: %s\r\nX-Patience: 1500\r\nX-Facts: home:0;copies:4;top:4%s\r\nContent-Length: %d\r\n\r\n%s",
		id, class, more, len(requestBody), requestBody)
}

func (p *peer) tearDown(id string, cause int) {
	reason := ""
	if cause > 0 {
		reason = fmt.Sprintf("Reason: cause=%d\r\n", cause)
	}
	p.sendf("TEARDOWN rtsp://media/t1 RTSP/1.0\r\nCSeq: 2\r\nSession: %s\r\n%sContent-Length: 0\r\n\r\n", id, reason)
}

// fakeServer stands in for a server. It answers probes itself; every other message goes to received.
type fakeServer struct {
	net.Listener
	name         string
	mu           sync.Mutex
	conns        []*peer
	killed       bool
	serving      sync.WaitGroup // the goroutines that accept connections and answer probes
	received     chan receivedMessage
	ignoreProbes atomic.Bool // leaves probes unanswered
}

// receivedMessage is a message that a fake server received, with the connection on which it arrived.
type receivedMessage struct {
	conn *peer
	msg  *rtsp.Message
}

func (h *harness) startServer(name string) *fakeServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	fs := &fakeServer{Listener: listener, name: name, received: make(chan receivedMessage, 4096)}
	fs.serving.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			p := newPeer(h.t, c, name)
			fs.mu.Lock()
			fs.conns = append(fs.conns, p)
			if fs.killed {
				p.Close()
			}
			fs.mu.Unlock()
			fs.serving.Go(func() {
				for m := range p.messages {
					if m.Method == rtsp.Options {
						if fs.ignoreProbes.Load() {
							continue
						}
						p.sendf("RTSP/1.0 200 OK\r\nCSeq: 3\r\nSession: %s\r\nX-State: cpu:0.25;x1:0.5\r\nContent-Length: 0\r\n\r\n", m.Session())
						continue
					}
					fs.received <- receivedMessage{p, m}
				}
			})
		}
	})
	h.t.Cleanup(func() {
		fs.kill()
		fs.serving.Wait() // a reply that fails is logged, which must not happen after the test
	})
	return fs
}

// firstConn is connAt for the first connection.
func (fs *fakeServer) firstConn() (p *peer) { return fs.connAt(0) }

// connAt returns the connection that the fake server accepted after so many others, once there is one: the node may see the connection
// open before it is accepted. It is nil if none came in time.
func (fs *fakeServer) connAt(index int) (p *peer) {
	for end := time.Now().Add(testTimeout); p == nil && time.Now().Before(end); time.Sleep(100 * time.Microsecond) {
		fs.mu.Lock()
		if len(fs.conns) > index {
			p = fs.conns[index]
		}
		fs.mu.Unlock()
	}
	return p
}

// kill ends the fake server like a process that dies: its connections are reset and no further one is accepted.
func (fs *fakeServer) kill() {
	fs.Close()
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.killed = true
	for _, p := range fs.conns {
		p.Conn.(*net.TCPConn).SetLinger(0)
		p.Close()
	}
}

// expectAt returns the next request at any of some servers, which must have this method; responses are skipped.
func (h *harness) expectAt(method string, servers ...*fakeServer) (receivedMessage, *fakeServer) {
	h.t.Helper()
	end := time.After(testTimeout)
	for {
		for _, fs := range servers {
			select {
			case x := <-fs.received:
				if !x.msg.IsRequest() {
					continue
				}
				if x.msg.Method != method {
					h.t.Fatalf("%s: got %s, want %s", fs.name, x.msg.Method, method)
				}
				return x, fs
			default:
			}
		}
		select {
		case <-end:
			h.t.Fatalf("no %s arrived", method)
		case <-time.After(time.Millisecond):
		}
	}
}

// harness runs a front node with fake servers and a fake coordinator.
type harness struct {
	t                   testing.TB
	node                *Node
	addr                string
	reloadSignals       chan os.Signal
	terminationSignals  chan os.Signal
	exitCode            chan lifecycle.ExitCode
	coordinatorListener net.Listener
	followers           chan *followerConn
	reloadConfig        func() (*start.Config, error)
	network             Network              // nil is the system's network
	onLog               func(message string) // called for each log line as it is written
	writeDelay          time.Duration        // delays each write of the node to a client
	openClients         *atomic.Int64        // counts the client connections that the node holds, unless nil
	wrapListener        func(net.Listener) net.Listener
}

// countingListener counts its accepted connections that are open.
type countingListener struct {
	net.Listener
	open *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.open.Add(1)
	return &countedConn{Conn: c, open: l.open}, nil
}

type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// slowListener accepts connections on which each write is delayed.
type slowListener struct {
	net.Listener
	writeDelay time.Duration
}

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return slowWriteConn{c, l.writeDelay}, nil
}

type slowWriteConn struct {
	net.Conn
	writeDelay time.Duration
}

func (c slowWriteConn) Write(b []byte) (int, error) {
	time.Sleep(c.writeDelay)
	return c.Conn.Write(b)
}

// followerConn is the coordinator's end of a connection, with the index after which the node asked to follow.
type followerConn struct {
	net.Conn
	after int
}

// listEntry is an entry of the coordinator's list of servers.
func listEntry(id, addr, state string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"a","machineType":"std","cell":1,"lifecycle":%q,"weight":1,"startedAtMs":0}`, id, addr, state)
}

// listEvent is an event of the coordinator.
func listEvent(index int, reset bool, entries ...string) string {
	return fmt.Sprintf(`{"index":%d,"endpoints":{"generation":1,"reset":%v,"instances":[%s]}}`, index, reset, strings.Join(entries, ","))
}

const settingsJSON = `{"balancers":1,"me":0,"zone":0,"zones":["a","b"],"models":["std"],"charges":{"cross_zone":0.01},
"caps":{"connect_timeout":250000,"keepalive":30000000,"most_tries":4,"probes":true,"peers":false,"retry_after":%v,"max_retry_after":1000000,"streams_per_conn":100},
"family_info":{"cabinets":1,"cells":4,"class_floor":[0,1],"class_scale":[1.0,1.4],"fleet_kb":200000.0,"guard":1.0,"highest_rung":[4,4],"level_kb":[247.0,443.0,793.0,1419.0,2541.0],
"live":[false,false],"places_by_kind":[570],"seats":[0,0],"see":361661,"shared_adds":1.0,"told_every":0,"uplink_kb":200000.0},
"grades":[{"effect":"pure","goal_time":1000000,"hard_limit":1790000,"name":"free","worth":1.0},{"effect":"side_effect","goal_time":1000000,"hard_limit":1430000,"name":"paid","worth":3.0}],
"reporting":{"fields":["cpu","x1"],"source":"pull"},
"rules":{"cold":12000000,"counted_over":5000000,"fall":1000000,"overload_factor":3.0,"repeat_ratio":0.5,"spare_attempts":50.0,"start_capacity":0.4,"stop_sending_within":250000}}`

// newHarness starts a front node whose list has these servers; servers may also set up the harness.
func newHarness(t testing.TB, sockets int, servers func(h *harness) []*fakeServer) *harness {
	h := &harness{t: t, reloadSignals: make(chan os.Signal, 1), terminationSignals: make(chan os.Signal, 3), exitCode: make(chan lifecycle.ExitCode, 1)}
	h.coordinatorListener, h.followers = h.startCoordinator()
	var entries []string
	for _, fs := range servers(h) {
		entries = append(entries, listEntry(fs.name, fs.Addr().String(), "up"))
	}
	text := h.config(sockets, 1, listEvent(1, true, entries...))
	s, err := start.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.addr = listener.Addr().String()
	if h.writeDelay > 0 {
		listener = slowListener{listener, h.writeDelay}
	}
	if h.openClients != nil {
		listener = countingListener{listener, h.openClients}
	}
	if h.wrapListener != nil {
		listener = h.wrapListener(listener)
	}
	log := zap.New(zapcore.RegisterHooks(zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{}), zapcore.AddSync(io.Discard), zap.InfoLevel), h.checkLogEntry))
	if os.Getenv("NODE_TEST_LOG") != "" {
		log, _ = zap.NewDevelopment(zap.Hooks(h.checkLogEntry))
	}
	serving := make(chan *Node, 1)
	go func() {
		code, err := Run(Options{Config: s, Listener: listener, Log: log, ReloadSignals: h.reloadSignals, TerminationSignals: h.terminationSignals, onServing: func(n *Node) { serving <- n },
			Network: h.network, ReloadConfig: func() (*start.Config, error) { return h.reloadConfig() }})
		if err != nil {
			t.Error(err)
		}
		h.exitCode <- code
	}()
	h.node = <-serving
	t.Cleanup(h.stop)
	return h
}

// checkLogEntry is called for each line of the node's log. A line at level error, such as a violated invariant, fails the test.
func (h *harness) checkLogEntry(e zapcore.Entry) error {
	if e.Level >= zapcore.ErrorLevel {
		h.t.Errorf("the node logs: %s", e.Message)
	}
	if h.onLog != nil {
		h.onLog(e.Message)
	}
	return nil
}

func (h *harness) config(sockets, index int, events string) string {
	return fmt.Sprintf(`{"coordinator":%q,"known":{"index":%d,"updates":[%s]},"limits":{"cores":1.0,"memory_mb":64,"sockets":%d},"listen":"127.0.0.1:0","name":"n0","seed":"6444882f5c620abb","settings":%s}`,
		h.coordinatorListener.Addr().String(), index, events, sockets, fmt.Sprintf(settingsJSON, false))
}

// startCoordinator starts a fake coordinator, which passes on the connections that ask to follow it.
func (h *harness) startCoordinator() (net.Listener, chan *followerConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { listener.Close() })
	ch := make(chan *followerConn, 64)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			p := &followerConn{Conn: c}
			if _, err := fmt.Fscanf(c, "follow %d\n", &p.after); err != nil {
				c.Close()
				continue
			}
			ch <- p
		}
	}()
	return listener, ch
}

// acceptFollower returns the next connection to the first coordinator.
func (h *harness) acceptFollower() *followerConn {
	h.t.Helper()
	select {
	case p := <-h.followers:
		h.t.Cleanup(func() { p.Close() })
		return p
	case <-time.After(testTimeout):
		h.t.Fatal("nobody follows the coordinator")
	}
	return nil
}

// stop ends the node, unless it has ended, and waits for its exit.
func (h *harness) stop() {
	select {
	case code := <-h.exitCode:
		h.exitCode <- code
		return
	default:
	}
	h.node.post(event{do: func() { h.node.exiting = true }})
	select {
	case code := <-h.exitCode:
		h.exitCode <- code
	case <-time.After(testTimeout):
		h.t.Error("the front node does not exit")
	}
}

// connect opens a client connection to the node.
func (h *harness) connect() *peer {
	h.t.Helper()
	c, err := net.Dial("tcp", h.addr)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { c.Close() })
	return newPeer(h.t, c, "client")
}

// inspect runs a function within the node's loop.
func (h *harness) inspect(fn func(n *Node)) {
	done := make(chan struct{})
	if h.node.post(event{do: func() { fn(h.node); close(done) }}) {
		select {
		case <-done:
		case <-h.node.ctx.Done(): // the node has stopped
		}
	}
}

// waitFor waits until a condition on the node's tables holds.
func (h *harness) waitFor(description string, condition func(n *Node) bool) {
	h.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(2 * time.Millisecond) {
		ok := false
		h.inspect(func(n *Node) { ok = condition(n) })
		if ok {
			return
		}
		if time.Now().After(end) {
			h.t.Fatalf("condition not met: %s", description)
		}
	}
}

// pauseLoop holds the node's loop within one turn; the events queued meanwhile are handled in that turn, after resume.
func (h *harness) pauseLoop() (resume func()) {
	paused, resumed := make(chan struct{}), make(chan struct{})
	h.node.post(event{do: func() { close(paused); <-resumed }})
	<-paused
	return func() { close(resumed) }
}

// waitForQueuedEvents waits until at least count events wait for the node's loop.
func (h *harness) waitForQueuedEvents(count int) {
	h.t.Helper()
	for end := time.Now().Add(testTimeout); len(h.node.events) < count; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			h.t.Fatalf("%d events are queued, not %d", len(h.node.events), count)
		}
	}
}

// testID is the k-th session id.
func testID(k int) string { return fmt.Sprintf("%016x", 0xab00000000000000+uint64(k)) }

// newSingleServerHarness starts a harness with one server.
func newSingleServerHarness(t testing.TB, sockets int) (h *harness, fs *fakeServer) {
	h = newHarness(t, sockets, func(h *harness) []*fakeServer { fs = h.startServer("s-1"); return []*fakeServer{fs} })
	return h, fs
}

// serveNext has the server answer the next SETUP, and expects the answer at the client.
func (h *harness) serveNext(fs *fakeServer, cl *peer) receivedMessage {
	h.t.Helper()
	x, _ := h.expectAt(rtsp.Setup, fs)
	x.conn.answer(x.msg, 200, answerBody)
	cl.expect("200")
	return x
}
