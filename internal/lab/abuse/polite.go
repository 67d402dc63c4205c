package abuse

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"rainhaven/internal/rtsp"
)

// Dialect makes the requests of one of the program's protocols.
type Dialect struct {
	// Setup returns a request for a session. id is the session's id where clients choose it.
	Setup func(address, id string) *rtsp.Message
	// TearDown returns the request that ends it, given the id that the answer named.
	TearDown func(address, id string) *rtsp.Message
}

// Platform is the protocol of the platform's front nodes, Viewers that of a front.
var (
	Platform = Dialect{
		Setup: func(_, id string) *rtsp.Message { return platformSetup(id, "free") },
		TearDown: func(_, id string) *rtsp.Message {
			return rtsp.NewRequest(rtsp.TearDown, "rtsp://media/t1").WithHeader("CSeq", "2").WithHeader("Session", id).WithHeader("Content-Length", "0")
		},
	}
	Viewers = Dialect{
		Setup: func(address, _ string) *rtsp.Message {
			return rtsp.NewRequest(rtsp.Setup, "rtsp://"+address+"/clips/vents/track0").WithHeader("CSeq", "1").
				WithHeader("Transport", "RTP/AVP/TCP;interleaved=0-1")
		},
		TearDown: func(address, id string) *rtsp.Message {
			return rtsp.NewRequest(rtsp.TearDown, "rtsp://"+address+"/clips/vents").WithHeader("CSeq", "2").WithHeader("Session", id)
		},
	}
)

// platformSetup returns a SETUP of the platform's protocol.
func platformSetup(id, class string) *rtsp.Message {
	m := rtsp.NewRequest(rtsp.Setup, "rtsp://media/t1").WithHeader("CSeq", "1").WithHeader("Session", id).WithHeader("Subject", class).
		WithHeader("X-Patience", fmt.Sprint(Patience.Milliseconds())).WithHeader("X-Facts", "home:0;copies:2;top:4")
	m.Body = []byte("9d41c07a5be2f318\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n")
	return m
}

// Outcomes are what clients that keep to the protocol got.
type Outcomes struct {
	Asked, Served int
	Lost          int           // requests without an answer within the setup timeout, or whose connection ended
	Worst         time.Duration // the longest time to an answer
	LastError     error
}

// Clients are clients that keep to the protocol: each asks for a session, ends it and asks again.
type Clients struct {
	address string
	dialect Dialect
	stopped atomic.Bool
	running sync.WaitGroup
	mu      sync.Mutex
	times   []time.Duration
	result  Outcomes
}

// pauseBetweenSessions is the time between the end of a client's session and its next request.
const pauseBetweenSessions = 30 * time.Millisecond

var nextClientID atomic.Uint64

// newSessionID returns an id that no client has used.
func newSessionID() string { return fmt.Sprintf("%016x", 0x5c00000000000000+nextClientID.Add(1)) }

// StartClients starts so many clients.
func StartClients(address string, dialect Dialect, count int) *Clients {
	c := &Clients{address: address, dialect: dialect}
	for range count {
		c.running.Go(c.run)
	}
	return c
}

// run asks for one session after the other, over a new connection every so often.
func (c *Clients) run() {
	const sessionsPerConn = 20
	for !c.stopped.Load() {
		raw, err := net.DialTimeout("tcp", c.address, Patience)
		if err != nil {
			c.add(0, 0, err)
			time.Sleep(pauseBetweenSessions)
			continue
		}
		conn := rtsp.NewConn(raw, rtsp.Limits{})
		for k := 0; k < sessionsPerConn && !c.stopped.Load() && err == nil; k++ {
			err = c.watch(conn)
			time.Sleep(pauseBetweenSessions)
		}
		raw.Close()
	}
}

// errNoEnd is the error of a session that its client can't end.
var errNoEnd = errors.New("no answer to TEARDOWN")

// watch asks for a session and ends it.
func (c *Clients) watch(conn *rtsp.Conn) error {
	begin := time.Now()
	r, err := conn.RoundTrip(c.dialect.Setup(c.address, newSessionID()), Patience, nil)
	if err != nil {
		c.add(0, 0, err)
		return err
	}
	c.add(r.Status, time.Since(begin), nil)
	if r.Status != rtsp.OK {
		return nil
	}
	if _, err := conn.RoundTrip(c.dialect.TearDown(c.address, r.Session()), Patience, nil); err != nil {
		return fmt.Errorf("%w: %w", errNoEnd, err)
	}
	return nil
}

// add counts a request.
func (c *Clients) add(status int, took time.Duration, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.result.Asked++
	switch {
	case err != nil:
		c.result.Lost++
		c.result.LastError = err
		return
	case status == rtsp.OK:
		c.result.Served++
	}
	c.times = append(c.times, took)
}

// Stop stops the clients and returns what they got.
func (c *Clients) Stop() Outcomes {
	c.stopped.Store(true)
	c.running.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.times) > 0 {
		c.result.Worst = slices.Max(c.times)
	}
	return c.result
}

// String is a line for reports.
func (o Outcomes) String() string {
	return fmt.Sprintf("asked %d, served %d, lost %d, worst answer %.3f s, last error: %v", o.Asked, o.Served, o.Lost, o.Worst.Seconds(), o.LastError)
}
