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
	testTimeout = 5 * time.Second // that tests have with what must come
	requestBody = "9d41c07a5be2f318\r\nc=IN IP4 127.0.0.1\r\n"
	answerBody  = "7e55aa0012345678\r\nc=IN IP4 127.0.0.2\r\nm=video 31000 RTP/AVP 33\r\n"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// peer is a test's end of a connection: what comes waits in its channel, nil once it is closed.
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

func (p *peer) sendf(format string, args ...any) {
	if _, err := fmt.Fprintf(p.Conn, format, args...); err != nil {
		p.t.Logf("%s: %v", p.name, err)
	}
}

// next is the next message, nil where the connection was closed.
func (p *peer) next() *rtsp.Message {
	p.t.Helper()
	return p.nextWithin(testTimeout)
}

// nextWithin is next with a time limit of its own.
func (p *peer) nextWithin(limit time.Duration) *rtsp.Message {
	p.t.Helper()
	select {
	case m := <-p.messages:
		return m
	case <-time.After(limit):
		p.t.Fatalf("%s: nothing came", p.name)
	}
	return nil
}

// expect is the next message, which must be a status or a method.
func (p *peer) expect(what string) *rtsp.Message {
	p.t.Helper()
	return p.expectWithin(testTimeout, what)
}

// expectWithin is want with a time limit of its own.
func (p *peer) expectWithin(limit time.Duration, what string) *rtsp.Message {
	p.t.Helper()
	m := p.nextWithin(limit)
	if got := messageKind(m); got != what {
		p.t.Fatalf("%s: %s where %s is due", p.name, got, what)
	}
	return m
}

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

// fakeServer is a stand-in for a server. What is not a test reaches do; each connection's end comes there as nil.
type fakeServer struct {
	net.Listener
	name         string
	mu           sync.Mutex
	conns        []*peer
	received     chan receivedMessage
	ignoreProbes atomic.Bool // answers no tests
}

type receivedMessage struct {
	conn *peer
	msg  *rtsp.Message
}

func (f *harness) startServer(name string) *fakeServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	h := &fakeServer{Listener: l, name: name, received: make(chan receivedMessage, 4096)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p := newPeer(f.t, c, name)
			h.mu.Lock()
			h.conns = append(h.conns, p)
			h.mu.Unlock()
			go func() {
				for m := range p.messages {
					if m.Method == rtsp.Options {
						if h.ignoreProbes.Load() {
							continue
						}
						p.sendf("RTSP/1.0 200 OK\r\nCSeq: 3\r\nSession: %s\r\nX-State: cpu:0.25;x1:0.5\r\nContent-Length: 0\r\n\r\n", m.Session())
						continue
					}
					h.received <- receivedMessage{p, m}
				}
			}()
		}
	}()
	f.t.Cleanup(h.kill)
	return h
}

// firstConn is the firstConn connection that the stand-in took; the system lets a node see it open before that.
func (h *fakeServer) firstConn() (p *peer) {
	for end := time.Now().Add(testTimeout); p == nil && time.Now().Before(end); time.Sleep(100 * time.Microsecond) {
		h.mu.Lock()
		if len(h.conns) > 0 {
			p = h.conns[0]
		}
		h.mu.Unlock()
	}
	return p
}

// kill ends the stand-in as a process that dies: its connections are reset, and none is taken.
func (h *fakeServer) kill() {
	h.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.conns {
		p.Conn.(*net.TCPConn).SetLinger(0)
		p.Close()
	}
}

// expectAt is the next message of a kind at any of some hosts; responses to releases are passed over.
func (f *harness) expectAt(method string, hosts ...*fakeServer) (receivedMessage, *fakeServer) {
	f.t.Helper()
	end := time.After(testTimeout)
	for {
		for _, h := range hosts {
			select {
			case x := <-h.received:
				if !x.msg.IsRequest() {
					continue
				}
				if x.msg.Method != method {
					f.t.Fatalf("%s: %s where %s is due", h.name, x.msg.Method, method)
				}
				return x, h
			default:
			}
		}
		select {
		case <-end:
			f.t.Fatalf("no %s came", method)
		case <-time.After(time.Millisecond):
		}
	}
}

// harness is a front node with stand-ins around it.
type harness struct {
	t                   testing.TB
	node                *Node
	addr                string
	reloadSignals       chan os.Signal
	terminationSignals  chan os.Signal
	exitCode            chan lifecycle.ExitCode
	coordinatorListener net.Listener
	followers           chan *followerConn
	reloadConfig        func() (*start.Start, error)
	network             Network           // the system's where it is nil
	onLog               func(what string) // hears of each line of the log as it is written
	writeDelay          time.Duration     // what the node writes to clients leaves so much later
	openClients         *atomic.Int64     // counts the clients' connections that the node holds, where it is given
}

// countingListener counts the accepted connections that are open.
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

// slowListener accepts connections on which each write takes so much longer.
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
	long time.Duration
}

func (c slowWriteConn) Write(b []byte) (int, error) {
	time.Sleep(c.long)
	return c.Conn.Write(b)
}

// followerConn is the coordinator's end of a connection, and the number that it was asked to follow.
type followerConn struct {
	net.Conn
	after int
}

func listEntry(id, addr, state string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"a","machineType":"std","cell":1,"lifecycle":%q,"weight":1,"startedAtMs":0}`, id, addr, state)
}

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

// newHarness starts a front node that knows these hosts.
func newHarness(t testing.TB, sockets int, hosts func(f *harness) []*fakeServer) *harness {
	f := &harness{t: t, reloadSignals: make(chan os.Signal, 1), terminationSignals: make(chan os.Signal, 3), exitCode: make(chan lifecycle.ExitCode, 1)}
	f.coordinatorListener, f.followers = f.startCoordinator()
	var entries []string
	for _, h := range hosts(f) {
		entries = append(entries, listEntry(h.name, h.Addr().String(), "up"))
	}
	text := f.config(sockets, 1, listEvent(1, true, entries...))
	s, err := start.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.addr = l.Addr().String()
	if f.writeDelay > 0 {
		l = slowListener{l, f.writeDelay}
	}
	if f.openClients != nil {
		l = countingListener{l, f.openClients}
	}
	log := zap.New(zapcore.RegisterHooks(zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{}), zapcore.AddSync(io.Discard), zap.InfoLevel), f.checkLogEntry))
	if os.Getenv("NODE_TEST_LOG") != "" {
		log, _ = zap.NewDevelopment(zap.Hooks(f.checkLogEntry))
	}
	got := make(chan *Node, 1)
	go func() {
		code, err := Run(Options{Config: s, Listener: l, Log: log, ReloadSignals: f.reloadSignals, TerminationSignals: f.terminationSignals, onServing: func(n *Node) { got <- n },
			Network: f.network, ReloadConfig: func() (*start.Start, error) { return f.reloadConfig() }})
		if err != nil {
			t.Error(err)
		}
		f.exitCode <- code
	}()
	f.node = <-got
	t.Cleanup(f.stop)
	return f
}

// checkLogEntry takes each line of the node's log: an error there, a violated invariant among them, is one of the test.
func (f *harness) checkLogEntry(e zapcore.Entry) error {
	if e.Level >= zapcore.ErrorLevel {
		f.t.Errorf("the node logs: %s", e.Message)
	}
	if f.onLog != nil {
		f.onLog(e.Message)
	}
	return nil
}

func (f *harness) config(sockets, index int, events string) string {
	return fmt.Sprintf(`{"coordinator":%q,"known":{"index":%d,"updates":[%s]},"limits":{"cores":1.0,"memory_mb":64,"sockets":%d},"listen":"127.0.0.1:0","name":"n0","seed":"6444882f5c620abb","settings":%s}`,
		f.coordinatorListener.Addr().String(), index, events, sockets, fmt.Sprintf(settingsJSON, false))
}

func (f *harness) startCoordinator() (net.Listener, chan *followerConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { l.Close() })
	ch := make(chan *followerConn, 64)
	go func() {
		for {
			c, err := l.Accept()
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
	return l, ch
}

func (f *harness) acceptFollower() *followerConn {
	f.t.Helper()
	select {
	case p := <-f.followers:
		f.t.Cleanup(func() { p.Close() })
		return p
	case <-time.After(testTimeout):
		f.t.Fatal("nobody asks the coordinator")
	}
	return nil
}

func (f *harness) stop() {
	select {
	case code := <-f.exitCode:
		f.exitCode <- code
		return
	default:
	}
	f.node.post(event{do: func() { f.node.exiting = true }})
	select {
	case code := <-f.exitCode:
		f.exitCode <- code
	case <-time.After(testTimeout):
		f.t.Error("the front node does not end")
	}
}

func (f *harness) connect() *peer {
	f.t.Helper()
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { c.Close() })
	return newPeer(f.t, c, "client")
}

// inspect runs a look at the node's tables within its loop.
func (f *harness) inspect(look func(n *Node)) {
	done := make(chan struct{})
	if f.node.post(event{do: func() { look(f.node); close(done) }}) {
		select {
		case <-done:
		case <-f.node.ctx.Done(): // it is over
		}
	}
}

// waitFor waits for something to be true of the node's tables.
func (f *harness) waitFor(what string, is func(n *Node) bool) {
	f.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(2 * time.Millisecond) {
		ok := false
		f.inspect(func(n *Node) { ok = is(n) })
		if ok {
			return
		}
		if time.Now().After(end) {
			f.t.Fatalf("not so: %s", what)
		}
	}
}

func testID(k int) string { return fmt.Sprintf("%016x", 0xab00000000000000+uint64(k)) }

// newSingleServerHarness is a farm with one host.
func newSingleServerHarness(t testing.TB, sockets int) (f *harness, h *fakeServer) {
	f = newHarness(t, sockets, func(f *harness) []*fakeServer { h = f.startServer("s-1"); return []*fakeServer{h} })
	return f, h
}

// serveNext has the host answer the next SETUP, and takes the answer at its client.
func (f *harness) serveNext(h *fakeServer, v *peer) receivedMessage {
	f.t.Helper()
	x, _ := f.expectAt(rtsp.Setup, h)
	x.conn.answer(x.msg, 200, answerBody)
	v.expect("200")
	return x
}
