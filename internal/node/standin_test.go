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
	patience = 5 * time.Second // that tests have with what must come
	sdp      = "9d41c07a5be2f318\r\nc=IN IP4 127.0.0.1\r\n"
	given    = "7e55aa0012345678\r\nc=IN IP4 127.0.0.2\r\nm=video 31000 RTP/AVP 33\r\n"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// peer is a test's end of a connection: what comes waits in its channel, nil once it is closed.
type peer struct {
	net.Conn
	t    testing.TB
	in   chan *rtsp.Message
	name string
}

func newPeer(t testing.TB, c net.Conn, name string) *peer {
	p := &peer{c, t, make(chan *rtsp.Message, 4096), name}
	go func() {
		defer close(p.in)
		r := rtsp.NewConn(c, rtsp.Limits{})
		for {
			m, _, err := r.Next()
			if err != nil {
				if os.Getenv("NODE_TEST_LOG") != "" {
					fmt.Println(name, err)
				}
				return
			}
			p.in <- m
		}
	}()
	return p
}

func (p *peer) say(format string, args ...any) {
	if _, err := fmt.Fprintf(p.Conn, format, args...); err != nil {
		p.t.Logf("%s: %v", p.name, err)
	}
}

// next is the next message, nil where the connection was closed.
func (p *peer) next() *rtsp.Message {
	p.t.Helper()
	return p.within(patience)
}

// within is next with a time limit of its own.
func (p *peer) within(limit time.Duration) *rtsp.Message {
	p.t.Helper()
	select {
	case m := <-p.in:
		return m
	case <-time.After(limit):
		p.t.Fatalf("%s: nothing came", p.name)
	}
	return nil
}

// want is the next message, which must be a status or a method.
func (p *peer) want(what string) *rtsp.Message {
	p.t.Helper()
	return p.wantWithin(patience, what)
}

// wantWithin is want with a time limit of its own.
func (p *peer) wantWithin(limit time.Duration, what string) *rtsp.Message {
	p.t.Helper()
	m := p.within(limit)
	if got := said(m); got != what {
		p.t.Fatalf("%s: %s where %s is due", p.name, got, what)
	}
	return m
}

func said(m *rtsp.Message) string {
	switch {
	case m == nil:
		return "closed"
	case m.IsRequest():
		return m.Method
	}
	return strconv.Itoa(m.Status)
}

func (p *peer) answer(m *rtsp.Message, status int, body string) {
	p.say("RTSP/1.0 %d X\r\nCSeq: 1\r\nSession: %s\r\nContent-Length: %d\r\n\r\n%s", status, m.Session(), len(body), body)
}

func (p *peer) setup(id, class, more string) {
	p.say("SETUP rtsp://media/t1 RTSP/1.0\r\nCSeq: 1\r\nSession: %s\r\nSubject: %s\r\nX-Patience: 1500\r\nX-Facts: home:0;copies:4;top:4%s\r\nContent-Length: %d\r\n\r\n%s",
		id, class, more, len(sdp), sdp)
}

func (p *peer) tearDown(id string, cause int) {
	reason := ""
	if cause > 0 {
		reason = fmt.Sprintf("Reason: cause=%d\r\n", cause)
	}
	p.say("TEARDOWN rtsp://media/t1 RTSP/1.0\r\nCSeq: 2\r\nSession: %s\r\n%sContent-Length: 0\r\n\r\n", id, reason)
}

// host is a stand-in for a server. What is not a test reaches do; each connection's end comes there as nil.
type host struct {
	net.Listener
	name string
	mu   sync.Mutex
	up   []*peer
	seen chan heard
	deaf atomic.Bool // answers no tests
}

type heard struct {
	on *peer
	m  *rtsp.Message
}

func (f *farm) host(name string) *host {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	h := &host{Listener: l, name: name, seen: make(chan heard, 4096)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p := newPeer(f.t, c, name)
			h.mu.Lock()
			h.up = append(h.up, p)
			h.mu.Unlock()
			go func() {
				for m := range p.in {
					if m.Method == rtsp.Options {
						if h.deaf.Load() {
							continue
						}
						p.say("RTSP/1.0 200 OK\r\nCSeq: 3\r\nSession: %s\r\nX-State: cpu:0.25;x1:0.5\r\nContent-Length: 0\r\n\r\n", m.Session())
						continue
					}
					h.seen <- heard{p, m}
				}
			}()
		}
	}()
	f.t.Cleanup(h.kill)
	return h
}

// first is the first connection that the stand-in took; the system lets a node see it open before that.
func (h *host) first() (p *peer) {
	for end := time.Now().Add(patience); p == nil && time.Now().Before(end); time.Sleep(100 * time.Microsecond) {
		h.mu.Lock()
		if len(h.up) > 0 {
			p = h.up[0]
		}
		h.mu.Unlock()
	}
	return p
}

// kill ends the stand-in as a process that dies: its connections are reset, and none is taken.
func (h *host) kill() {
	h.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.up {
		p.Conn.(*net.TCPConn).SetLinger(0)
		p.Close()
	}
}

// wanted is the next message of a kind at any of some hosts; responses to releases are passed over.
func (f *farm) wanted(method string, hosts ...*host) (heard, *host) {
	f.t.Helper()
	end := time.After(patience)
	for {
		for _, h := range hosts {
			select {
			case x := <-h.seen:
				if !x.m.IsRequest() {
					continue
				}
				if x.m.Method != method {
					f.t.Fatalf("%s: %s where %s is due", h.name, x.m.Method, method)
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

// farm is a front node with stand-ins around it.
type farm struct {
	t       testing.TB
	node    *Node
	addr    string
	hangups chan os.Signal
	ends    chan os.Signal
	over    chan lifecycle.ExitCode
	feed    net.Listener
	follows chan *feedPeer
	reread  func() (*start.Start, error)
	network Network           // the system's where it is nil
	logged  func(what string) // hears of each line of the log as it is written
	slow    time.Duration     // what the node writes to clients leaves so much later
	clients *atomic.Int64     // counts the clients' connections that the node holds, where it is given
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
	long time.Duration
}

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return slowConn{c, l.long}, nil
}

type slowConn struct {
	net.Conn
	long time.Duration
}

func (c slowConn) Write(b []byte) (int, error) {
	time.Sleep(c.long)
	return c.Conn.Write(b)
}

// feedPeer is the coordinator's end of a connection, and the number that it was asked to follow.
type feedPeer struct {
	net.Conn
	after int
}

func entry(id, addr, state string) string {
	return fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"a","machineType":"std","cell":1,"lifecycle":%q,"weight":1,"startedAtMs":0}`, id, addr, state)
}

func change(index int, reset bool, entries ...string) string {
	return fmt.Sprintf(`{"index":%d,"endpoints":{"generation":1,"reset":%v,"instances":[%s]}}`, index, reset, strings.Join(entries, ","))
}

const terms = `{"balancers":1,"me":0,"zone":0,"zones":["a","b"],"models":["std"],"charges":{"cross_zone":0.01},
"caps":{"connect_timeout":250000,"keepalive":30000000,"most_tries":4,"probes":true,"peers":false,"retry_after":%v,"max_retry_after":1000000,"streams_per_conn":100},
"family_info":{"cabinets":1,"cells":4,"class_floor":[0,1],"class_scale":[1.0,1.4],"fleet_kb":200000.0,"guard":1.0,"highest_rung":[4,4],"level_kb":[247.0,443.0,793.0,1419.0,2541.0],
"live":[false,false],"places_by_kind":[570],"seats":[0,0],"see":361661,"shared_adds":1.0,"told_every":0,"uplink_kb":200000.0},
"grades":[{"effect":"pure","goal_time":1000000,"hard_limit":1790000,"name":"free","worth":1.0},{"effect":"side_effect","goal_time":1000000,"hard_limit":1430000,"name":"paid","worth":3.0}],
"reporting":{"fields":["cpu","x1"],"source":"pull"},
"rules":{"cold":12000000,"counted_over":5000000,"fall":1000000,"overload_factor":3.0,"repeat_ratio":0.5,"spare_attempts":50.0,"start_capacity":0.4,"stop_sending_within":250000}}`

// newFarm starts a front node that knows these hosts.
func newFarm(t testing.TB, sockets int, hosts func(f *farm) []*host) *farm {
	f := &farm{t: t, hangups: make(chan os.Signal, 1), ends: make(chan os.Signal, 3), over: make(chan lifecycle.ExitCode, 1)}
	f.feed, f.follows = f.coordinator()
	var entries []string
	for _, h := range hosts(f) {
		entries = append(entries, entry(h.name, h.Addr().String(), "up"))
	}
	text := f.config(sockets, 1, change(1, true, entries...))
	s, err := start.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.addr = l.Addr().String()
	if f.slow > 0 {
		l = slowListener{l, f.slow}
	}
	if f.clients != nil {
		l = countingListener{l, f.clients}
	}
	log := zap.New(zapcore.RegisterHooks(zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{}), zapcore.AddSync(io.Discard), zap.InfoLevel), f.hear))
	if os.Getenv("NODE_TEST_LOG") != "" {
		log, _ = zap.NewDevelopment(zap.Hooks(f.hear))
	}
	got := make(chan *Node, 1)
	go func() {
		code, err := Run(Options{Start: s, Listener: l, Log: log, Hangups: f.hangups, Ends: f.ends, serving: func(n *Node) { got <- n },
			Network: f.network, Reread: func() (*start.Start, error) { return f.reread() }})
		if err != nil {
			t.Error(err)
		}
		f.over <- code
	}()
	f.node = <-got
	t.Cleanup(f.stop)
	return f
}

// hear takes each line of the node's log: an error there, a violated invariant among them, is one of the test.
func (f *farm) hear(e zapcore.Entry) error {
	if e.Level >= zapcore.ErrorLevel {
		f.t.Errorf("the node logs: %s", e.Message)
	}
	if f.logged != nil {
		f.logged(e.Message)
	}
	return nil
}

func (f *farm) config(sockets, index int, events string) string {
	return fmt.Sprintf(`{"coordinator":%q,"known":{"index":%d,"updates":[%s]},"limits":{"cores":1.0,"memory_mb":64,"sockets":%d},"listen":"127.0.0.1:0","name":"n0","seed":"6444882f5c620abb","settings":%s}`,
		f.feed.Addr().String(), index, events, sockets, fmt.Sprintf(terms, false))
}

func (f *farm) coordinator() (net.Listener, chan *feedPeer) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { l.Close() })
	ch := make(chan *feedPeer, 64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p := &feedPeer{Conn: c}
			if _, err := fmt.Fscanf(c, "follow %d\n", &p.after); err != nil {
				c.Close()
				continue
			}
			ch <- p
		}
	}()
	return l, ch
}

func (f *farm) followed() *feedPeer {
	f.t.Helper()
	select {
	case p := <-f.follows:
		f.t.Cleanup(func() { p.Close() })
		return p
	case <-time.After(patience):
		f.t.Fatal("nobody asks the coordinator")
	}
	return nil
}

func (f *farm) stop() {
	select {
	case code := <-f.over:
		f.over <- code
		return
	default:
	}
	f.node.tell(event{do: func() { f.node.over = true }})
	select {
	case code := <-f.over:
		f.over <- code
	case <-time.After(patience):
		f.t.Error("the front node does not end")
	}
}

func (f *farm) client() *peer {
	f.t.Helper()
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { c.Close() })
	return newPeer(f.t, c, "client")
}

// see runs a look at the node's tables within its loop.
func (f *farm) see(look func(n *Node)) {
	done := make(chan struct{})
	if f.node.tell(event{do: func() { look(f.node); close(done) }}) {
		select {
		case <-done:
		case <-f.node.ctx.Done(): // it is over
		}
	}
}

// until waits for something to be true of the node's tables.
func (f *farm) until(what string, is func(n *Node) bool) {
	f.t.Helper()
	for end := time.Now().Add(patience); ; time.Sleep(2 * time.Millisecond) {
		ok := false
		f.see(func(n *Node) { ok = is(n) })
		if ok {
			return
		}
		if time.Now().After(end) {
			f.t.Fatalf("not so: %s", what)
		}
	}
}

func id(k int) string { return fmt.Sprintf("%016x", 0xab00000000000000+uint64(k)) }

// single is a farm with one host.
func single(t testing.TB, sockets int) (f *farm, h *host) {
	f = newFarm(t, sockets, func(f *farm) []*host { h = f.host("s-1"); return []*host{h} })
	return f, h
}

// serve has the host answer the next SETUP, and takes the answer at its client.
func (f *farm) serve(h *host, v *peer) heard {
	f.t.Helper()
	x, _ := f.wanted(rtsp.Setup, h)
	x.on.answer(x.m, 200, given)
	v.want("200")
	return x
}
