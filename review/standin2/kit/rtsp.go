package kit

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"rainhaven/internal/rtsp"
)

// Viewer is a viewer's connection to a front. It keeps what comes: responses by CSeq, in order, and the number of frames.
type Viewer struct {
	Name string
	c    *Case
	conn *rtsp.Conn
	cseq int

	mu        sync.Mutex
	changed   *sync.Cond
	responses map[int]*rtsp.Message
	order     []int
	frames    map[byte]int
	byes      int
	ended     bool
}

// NewViewer connects a viewer.
func (c *Case) NewViewer(name, address string) (*Viewer, error) {
	raw, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	v := &Viewer{Name: name, c: c, conn: rtsp.NewConn(raw, rtsp.Limits{}), responses: map[int]*rtsp.Message{}, frames: map[byte]int{}}
	v.changed = sync.NewCond(&v.mu)
	go v.read()
	return v, nil
}

func (v *Viewer) read() {
	for {
		m, f, err := v.conn.Next()
		v.mu.Lock()
		switch {
		case err != nil:
			v.ended = true
			v.mu.Unlock()
			v.changed.Broadcast()
			if !errors.Is(err, net.ErrClosed) {
				v.c.Logf("%s: the connection ended: %v", v.Name, plain(err))
			}
			return
		case m == nil && len(f.Payload()) > 1 && f.Payload()[1] == 203:
			v.byes++
			v.c.Logf("%s: BYE on channel %d", v.Name, f.Channel)
		case m == nil:
			v.frames[f.Channel]++
		case !m.IsRequest():
			v.responses[m.CSeq()] = m
			v.order = append(v.order, m.CSeq())
			v.c.Logf("%s: %d to CSeq %d, session %q", v.Name, m.Status, m.CSeq(), m.Header.Get("Session"))
		}
		v.mu.Unlock()
		v.changed.Broadcast()
	}
}

// plain is an error without addresses, which change from run to run.
func plain(err error) string {
	var op *net.OpError
	if errors.As(err, &op) {
		err = op.Err
		var sys *os.SyscallError
		if errors.As(err, &sys) {
			err = sys.Err
		}
	}
	return err.Error()
}

// Request makes a request with the next CSeq.
func (v *Viewer) Request(method, url, session string, fields ...string) *rtsp.Message {
	v.cseq++
	m := rtsp.NewRequest(method, url).WithHeader("CSeq", fmt.Sprint(v.cseq))
	if session != "" {
		m.WithHeader("Session", session)
	}
	for i := 0; i+1 < len(fields); i += 2 {
		m.WithHeader(fields[i], fields[i+1])
	}
	return m
}

// Send writes requests in one write.
func (v *Viewer) Send(requests ...*rtsp.Message) error {
	var b []byte
	var lines []string
	for _, m := range requests {
		b = m.Append(b)
		lines = append(lines, fmt.Sprintf("%s CSeq %d", m.Method, m.CSeq()))
	}
	v.c.Logf("%s: sends %s", v.Name, strings.Join(lines, ", "))
	_, err := v.conn.Write(b)
	return err
}

// Await waits for the response to a request; nil if none came in time or the connection ended before.
func (v *Viewer) Await(m *rtsp.Message, limit time.Duration) *rtsp.Message {
	v.awaitUntil(limit, func() bool { return v.responses[m.CSeq()] != nil || v.ended })
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.responses[m.CSeq()]
}

func (v *Viewer) awaitUntil(limit time.Duration, done func() bool) {
	end := time.Now().Add(limit)
	stop := time.AfterFunc(limit, v.changed.Broadcast)
	defer stop.Stop()
	v.mu.Lock()
	defer v.mu.Unlock()
	for !done() && time.Now().Before(end) {
		v.changed.Wait()
	}
}

// AwaitBye waits for an RTCP BYE and reports whether one came.
func (v *Viewer) AwaitBye(limit time.Duration) bool {
	v.awaitUntil(limit, func() bool { return v.byes > 0 || v.ended })
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.byes > 0
}

// Do sends a request and waits for its response.
func (v *Viewer) Do(m *rtsp.Message, limit time.Duration) (*rtsp.Message, error) {
	if err := v.Send(m); err != nil {
		return nil, err
	}
	return v.Await(m, limit), nil
}

// Setup requests a session or adds a track. An empty session requests a new one.
func (v *Viewer) Setup(url, session, transport string) *rtsp.Message {
	return v.Request(rtsp.Setup, url, session, "Transport", transport)
}

// Transport fields: channels chosen by the front, and by the viewer.
const Interleaved = "RTP/AVP/TCP;unicast"

// InterleavedOn is a Transport field with channels.
func InterleavedOn(low int) string {
	return fmt.Sprintf("RTP/AVP/TCP;unicast;interleaved=%d-%d", low, low+1)
}

// Frames returns how many frames came.
func (v *Viewer) Frames() (n int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, k := range v.frames {
		n += k
	}
	return n
}

// Ended reports whether the front has ended the connection.
func (v *Viewer) Ended() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ended
}

// Close closes the connection.
func (v *Viewer) Close() { v.conn.Close() }

// Box is a small stand-in box. It answers as docs/rtsp.md and docs/program.md say, and sends no media.
type Box struct {
	Name    string
	Address string
	c       *Case

	mu        sync.Mutex
	listener  net.Listener
	conns     map[net.Conn]bool
	sessions  map[string]string // titles by session
	lastID    int
	setups    []time.Duration // when SETUPs without a session came, since the start of the case
	setupTime time.Duration
}

// NewBox starts a stand-in box on a free port.
func (c *Case) NewBox(name string, setupTime time.Duration) (*Box, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Box{Name: name, Address: l.Addr().String(), c: c, listener: l, conns: map[net.Conn]bool{}, sessions: map[string]string{}, setupTime: setupTime}
	go func() {
		for {
			raw, err := l.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns[raw] = true
			b.mu.Unlock()
			go b.serve(raw)
		}
	}()
	return b, nil
}

func (b *Box) serve(raw net.Conn) {
	conn := rtsp.NewConn(raw, rtsp.Limits{})
	own := map[string]bool{}
	defer func() { // sessions end with their connection
		raw.Close()
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.conns, raw)
		for id := range own {
			delete(b.sessions, id)
		}
	}()
	for {
		m, _, err := conn.Next()
		if err != nil {
			return
		}
		if m == nil || !m.IsRequest() {
			continue
		}
		r := rtsp.NewResponse(m, rtsp.OK)
		b.mu.Lock()
		_, known := b.sessions[m.Session()]
		b.mu.Unlock()
		switch {
		case m.Method == rtsp.Setup && m.Session() == "":
			place, _ := rtsp.ParseURL(m.URL)
			b.mu.Lock()
			b.lastID++
			id := fmt.Sprintf("%s-%d", b.Name, b.lastID)
			b.sessions[id] = place.Group + "/" + place.Title
			own[id] = true
			b.setups = append(b.setups, time.Since(b.c.start))
			standing := len(b.sessions)
			b.mu.Unlock()
			b.c.Logf("%s: SETUP of %s/%s from %s: session %s, %d stand", b.Name, place.Group, place.Title, m.Header.Get("User-Agent"), id, standing)
			time.Sleep(b.setupTime)
			r.WithHeader("Session", id).WithHeader("Transport", m.Header.Get("Transport"))
		case m.Method == rtsp.Setup && known:
			r.WithHeader("Session", m.Session()).WithHeader("Transport", m.Header.Get("Transport"))
		case m.Session() != "" && !known:
			r = rtsp.NewResponse(m, rtsp.SessionNotFound)
		case m.Method == rtsp.TearDown:
			b.mu.Lock()
			delete(b.sessions, m.Session())
			b.mu.Unlock()
			b.c.Logf("%s: TEARDOWN of %s", b.Name, m.Session())
			r.WithHeader("Session", m.Session())
		case m.Session() != "":
			r.WithHeader("Session", m.Session())
		}
		if _, err := raw.Write(r.Append(nil)); err != nil {
			return
		}
	}
}

// Standing returns how many sessions of a group and title stand.
func (b *Box) Standing(place string) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.sessions {
		if p == place {
			n++
		}
	}
	return n
}

// SetupsSince returns how many sessions were requested after a time since the start of the case.
func (b *Box) SetupsSince(at time.Duration) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.setups {
		if t > at {
			n++
		}
	}
	return n
}

// Now returns the time since the start of the case.
func (c *Case) Now() time.Duration { return time.Since(c.start) }

// Die ends the box as a killed process ends: its port is closed and its connections are reset.
func (b *Box) Die() {
	b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for conn := range b.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// Report sends an RTCP receiver report without blocks, as players do every few seconds.
func (v *Viewer) Report(channel byte) error {
	_, err := v.conn.Write(rtsp.AppendFrame(nil, channel, []byte{0x80, 201, 0, 1, 0, 0, 0, 7}))
	return err
}
