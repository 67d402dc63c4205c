package kit

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"rainhaven/internal/rtsp"
)

// Entry is a server in the coordinator's list.
type Entry struct {
	ID        string  `json:"instanceId"`
	Address   string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	State     string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedAt int64   `json:"startedAtMs"`
}

type endpoints struct {
	Generation int     `json:"generation"`
	Reset      bool    `json:"reset"`
	Instances  []Entry `json:"instances"`
}

type update struct {
	Index     int64     `json:"index"`
	Endpoints endpoints `json:"endpoints"`
}

// Coordinator is a stand-in coordinator, by PROTOCOL.md.
type Coordinator struct {
	Address string
	c       *Case
	mu      sync.Mutex
	updates []update
	changed chan struct{}
}

// NewCoordinator starts a coordinator whose first event is the list.
func (c *Case) NewCoordinator(list ...Entry) (*Coordinator, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	o := &Coordinator{Address: l.Addr().String(), c: c, changed: make(chan struct{}), updates: []update{{1, endpoints{1, true, list}}}}
	go func() {
		for {
			raw, err := l.Accept()
			if err != nil {
				return
			}
			go o.serve(raw)
		}
	}()
	return o, nil
}

func (o *Coordinator) serve(raw net.Conn) {
	defer raw.Close()
	var next int64
	if _, err := fmt.Fscanf(raw, "follow %d\n", &next); err != nil {
		return
	}
	for {
		o.mu.Lock()
		updates, changed := o.updates, o.changed
		o.mu.Unlock()
		for ; next < int64(len(updates)); next++ {
			b, err := json.Marshal(updates[next])
			if err != nil {
				return
			}
			if _, err := raw.Write(append(b, '\n')); err != nil {
				return
			}
		}
		select {
		case <-changed:
		case <-time.After(time.Second):
			if _, err := fmt.Fprintf(raw, "%d\n", next); err != nil {
				return
			}
		}
	}
}

// Publish tells a change of the list.
func (o *Coordinator) Publish(entries ...Entry) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.updates = append(o.updates, update{int64(len(o.updates) + 1), endpoints{1, false, entries}})
	close(o.changed)
	o.changed = make(chan struct{})
	for _, e := range entries {
		o.c.Logf("coordinator: event %d: %s %s", len(o.updates), e.ID, e.State)
	}
}

// Patience is the setup timeout of the classes in NodeConfig, in milliseconds.
const Patience = 2000

// NodeConfig writes a node's configuration file, with figures like those of a small deployment: a class that may be repeated
// and one that is paid.
func (c *Case) NodeConfig(listen string, o *Coordinator) (path string, err error) {
	o.mu.Lock()
	known := map[string]any{"index": len(o.updates), "updates": o.updates}
	o.mu.Unlock()
	type fields = map[string]any
	class := func(name, effect string) fields {
		return fields{"name": name, "effect": effect, "goal_time": 1000000, "hard_limit": Patience * 1000, "worth": 1}
	}
	config := fields{"name": "n1", "listen": listen, "seed": "8c1f30d27a5be964", "coordinator": o.Address, "known": known,
		"limits": fields{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"settings": fields{
			"balancers": 1, "me": 0, "zone": 0, "zones": []string{"a"}, "models": []string{"std"},
			"grades": []fields{class("free", "pure"), class("paid", "side_effect")},
			"caps": fields{"connect_timeout": 250000, "keepalive": 30000000, "max_retry_after": 1000000, "most_tries": 4, "peers": false,
				"probes": true, "retry_after": false, "streams_per_conn": 100},
			"family_info": fields{"cabinets": 1, "cells": 2, "class_floor": []int{0, 0}, "class_scale": []int{1, 1}, "fleet_kb": 400000, "guard": 0,
				"highest_rung": []int{4, 4}, "level_kb": []int{247, 443, 793, 1419, 2541}, "live": []bool{false, false}, "places_by_kind": []int{40},
				"seats": []int{0, 0}, "see": 360000, "shared_adds": 1, "told_every": 0, "uplink_kb": 400000},
			"reporting": fields{"fields": []string{"cpu", "x1"}, "source": "pull"},
			"rules": fields{"cold": 6000000, "counted_over": 5000000, "fall": 1000000, "overload_factor": 3, "repeat_ratio": 0.2, "spare_attempts": 5,
				"start_capacity": 0.4, "stop_sending_within": 250000},
		}}
	b, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return "", err
	}
	path = filepath.Join(c.Tmp, "config.json")
	return path, os.WriteFile(path, b, 0o600)
}

// message makes a message of the platform's protocol.
func message(m *rtsp.Message, cseq, session string, fields ...string) *rtsp.Message {
	m.WithHeader("CSeq", cseq).WithHeader("Session", session)
	m.Header["Content-Length"] = nil
	for i := 0; i+1 < len(fields); i += 2 {
		m.WithHeader(fields[i], fields[i+1])
	}
	return m
}

// Server is a stand-in server, by PROTOCOL.md. Its sessions stand until it releases them or is told that they are over.
type Server struct {
	ID       string
	c        *Case
	mu       sync.Mutex
	dead     bool
	vanished bool // its machine answers nothing any more
	replaced bool // another machine has its address and knows nothing of its connections
	conns    map[net.Conn]bool
	sessions map[string]bool
}

// NewServer makes a server; connections are passed to Serve.
func (c *Case) NewServer(id string) *Server {
	return &Server{ID: id, c: c, conns: map[net.Conn]bool{}, sessions: map[string]bool{}}
}

// Serve serves a connection.
func (s *Server) Serve(raw net.Conn) {
	s.mu.Lock()
	if s.dead {
		s.mu.Unlock()
		reset(raw)
		return
	}
	s.conns[raw] = true
	s.mu.Unlock()
	s.c.Logf("%s: a connection", s.ID)
	defer raw.Close()
	conn := rtsp.NewConn(raw, rtsp.Limits{})
	for {
		m, _, err := conn.Next()
		if err != nil {
			return
		}
		if m == nil || !m.IsRequest() {
			continue
		}
		s.c.Logf("%s: %s of %s, %q", s.ID, m.Method, m.Session(), m.Header.Get("Reason"))
		var r *rtsp.Message
		s.mu.Lock()
		if s.vanished {
			replaced := s.replaced
			s.mu.Unlock()
			if replaced {
				reset(raw)
				return
			}
			continue
		}
		switch m.Method {
		case rtsp.Setup:
			s.sessions[m.Session()] = true
			r = message(rtsp.NewResponse(m, rtsp.OK), "1", m.Session())
			r.Body = []byte("c=IN IP4 127.0.0.1\r\nm=video 31000 RTP/AVP 96\r\n")
		case rtsp.TearDown:
			delete(s.sessions, m.Session())
			r = message(rtsp.NewResponse(m, rtsp.OK), "2", m.Session())
		case rtsp.Options:
			r = message(rtsp.NewResponse(m, rtsp.OK), "3", m.Session(), "X-State", "cpu:0.2;x1:0.2")
		}
		s.mu.Unlock()
		if r == nil { // a rung: wants no answer
			continue
		}
		if _, err := raw.Write(r.Append(nil)); err != nil {
			return
		}
	}
}

// reset ends a connection as the system does for a process that has died.
func reset(raw net.Conn) {
	if t, ok := raw.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	raw.Close()
}

// Die ends the process that the server stands for: its connections are reset and its sessions cut.
func (s *Server) Die() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dead = true
	for raw := range s.conns {
		reset(raw)
	}
	s.c.Logf("%s: its process dies; %d sessions are cut", s.ID, len(s.sessions))
	clear(s.sessions)
}

// Vanish has the server's machine vanish: its connections stay open and say nothing, and its sessions are cut.
func (s *Server) Vanish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vanished = true
	s.c.Logf("%s: its machine vanishes; %d sessions are cut", s.ID, len(s.sessions))
	clear(s.sessions)
}

// Replaced has another machine take the address of one that has vanished: it resets a connection of the old one as soon as
// something comes on it.
func (s *Server) Replaced() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaced = true
}

// Sessions returns how many sessions stand.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// Client is a stand-in for the viewers of a node, with one connection.
type Client struct {
	c        *Case
	conn     *rtsp.Conn
	mu       sync.Mutex
	answers  map[string]int           // status by session
	released map[string]time.Duration // when sessions were released, since the start of the case
	passed   int                      // tests answered with 200
	tested   int                      // tests answered
	ended    bool
}

// NewClient connects viewers to a node.
func (c *Case) NewClient(address string) (*Client, error) {
	raw, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	v := &Client{c: c, conn: rtsp.NewConn(raw, rtsp.Limits{}), answers: map[string]int{}, released: map[string]time.Duration{}}
	go v.read()
	return v, nil
}

func (v *Client) read() {
	for {
		m, _, err := v.conn.Next()
		if err != nil {
			v.mu.Lock()
			v.ended = true
			v.mu.Unlock()
			return
		}
		if m == nil {
			continue
		}
		v.mu.Lock()
		switch {
		case m.Method == rtsp.TearDown:
			if _, known := v.released[m.Session()]; !known {
				v.released[m.Session()] = v.c.Now()
			}
			v.conn.Write(message(rtsp.NewResponse(m, rtsp.OK), "2", m.Session()).Append(nil))
			v.c.Logf("client: released %s, %q", m.Session(), m.Header.Get("Reason"))
		case m.IsRequest() || m.Status < 200:
		case m.Header.Get("Cseq") == "3":
			if v.tested++; m.Status == rtsp.OK {
				v.passed++
			}
		case m.Header.Get("Cseq") == "1":
			v.answers[m.Session()] = m.Status
			v.c.Logf("client: %d to the set-up %s", m.Status, m.Session())
		}
		v.mu.Unlock()
	}
}

// SessionID makes the id of session n.
func SessionID(n int) string { return fmt.Sprintf("%016x", uint64(0x9b1f03aa5c7e0000)+uint64(n)) }

// Setup sends a set-up of a class.
func (v *Client) Setup(id, class string, home, copies int) error {
	m := message(rtsp.NewRequest(rtsp.Setup, "rtsp://media/7f3a9c21e0b4d655"), "1", id, "Subject", class, "X-Patience", strconv.Itoa(Patience),
		"X-Facts", fmt.Sprintf("home:%d;copies:%d;top:4;viewer:00000000b4d65521", home, copies))
	m.Body = []byte("9d41c07a5be2f318\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n")
	_, err := v.conn.Write(m.Append(nil))
	v.c.Logf("client: set-up %s, class %s", id, class)
	return err
}

// Test sends a test.
func (v *Client) Test() error {
	_, err := v.conn.Write(message(rtsp.NewRequest(rtsp.Options, "rtsp://media/ping"), "3", SessionID(0xffff)).Append(nil))
	return err
}

// Status returns the answer to a set-up; 0 if there is none.
func (v *Client) Status(id string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.answers[id]
}

// ReleasedAt returns when a session was released.
func (v *Client) ReleasedAt(id string) (at time.Duration, released bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	at, released = v.released[id]
	return at, released
}

// Passed reports whether a test has been passed.
func (v *Client) Passed() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.passed > 0
}

// StartNode starts a node and waits until it passes a test over the connection that is returned.
func (c *Case) StartNode(listen, config string) (*Proc, *Client, error) {
	p, err := c.Start("node", "bin/rainhaven node", "GW_CONFIG="+config, "GW_NAME=n1", "GW_LISTEN="+listen)
	if err != nil {
		return nil, nil, err
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		v, err := c.NewClient(listen)
		if err != nil {
			continue
		}
		if err := v.Test(); err != nil {
			continue
		}
		for range 50 {
			time.Sleep(10 * time.Millisecond)
			if v.Passed() {
				return p, v, nil
			}
		}
	}
	return nil, nil, fmt.Errorf("the node passes no test: %s", strings.TrimSpace(p.Output()))
}
