package standin

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
)

// Instance is the entry of a server in the coordinator's list.
type Instance struct {
	ID          string `json:"instanceId"`
	Addr        string `json:"hostPort"`
	Zone        string `json:"zone"`
	Kind        string `json:"machineType"`
	Cell        int    `json:"cell"`
	State       string `json:"lifecycle"`
	Weight      int    `json:"weight"`
	StartedAtMs int64  `json:"startedAtMs"`
}

// event is a numbered event of the coordinator.
type event struct {
	Index     int       `json:"index"`
	Endpoints endpoints `json:"endpoints"`
}

type endpoints struct {
	Generation int        `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Coordinator is the platform's coordinator, with a list that does not change.
type Coordinator struct {
	Addr   string
	record *Record
	list   []Instance
}

// NewCoordinator starts a coordinator whose first and only event carries the whole list.
func NewCoordinator(r *Record, list ...Instance) (*Coordinator, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &Coordinator{Addr: l.Addr().String(), record: r, list: list}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return k, nil
}

// serve answers a follower: the event, where it does not have that yet, and each second the number of the last event.
func (k *Coordinator) serve(c net.Conn) {
	defer c.Close()
	last := 0
	if _, err := fmt.Fscanf(c, "follow %d\n", &last); err != nil {
		return
	}
	k.record.Add("coordinator: follow %d", last)
	if last < 1 {
		b, _ := json.Marshal(firstEvent(k.list))
		if _, err := c.Write(append(b, '\n')); err != nil {
			return
		}
	}
	for {
		if _, err := c.Write([]byte("1\n")); err != nil {
			return
		}
		time.Sleep(time.Second)
	}
}

func firstEvent(list []Instance) event { return event{1, endpoints{1, true, list}} }

// Server is a stand-in of the platform's server: it answers each set-up with a description, and each test with a report.
type Server struct {
	ID, Addr string
	Cell     int
	record   *Record

	mu       sync.Mutex
	conns    map[*Conn]bool
	opened   int
	sessions map[string]*Conn // sessions that stand, with the connection of their set-up
	releases []string         // sent, and due on the next connection opened as well
}

// NewServer starts a server.
func NewServer(id string, cell int, r *Record) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, Addr: l.Addr().String(), Cell: cell, record: r, conns: map[*Conn]bool{}, sessions: map[string]*Conn{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.opened++
			conn := NewConn(c, fmt.Sprintf("%s/%d", s.ID, s.opened), s.record)
			s.conns[conn] = true
			again := s.releases
			s.releases = nil
			s.mu.Unlock()
			s.record.Add("%s: accepted", conn.Name)
			for _, b := range again {
				conn.Send(b)
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

// Entry is the server's entry in the coordinator's list.
func (s *Server) Entry(state string, startedAtMs int64) Instance {
	return Instance{s.ID, s.Addr, "a", "std", s.Cell, state, 1, startedAtMs}
}

// Stands reports whether a session stands at the server.
func (s *Server) Stands(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sessions[id] != nil
}

// Release releases a session that stands: on the connection of its set-up, otherwise on any open one, and on the next one opened
// as well.
func (s *Server) Release(id string, cause int) bool {
	b := Format("TEARDOWN rtsp://media/x RTSP/1.0", "", "CSeq: 2", "Session: "+id, "Reason: cause="+strconv.Itoa(cause))
	s.mu.Lock()
	s.releases = append(s.releases, b)
	c := s.sessions[id]
	delete(s.sessions, id)
	if !s.conns[c] {
		for o := range s.conns {
			c = o
		}
	}
	s.mu.Unlock()
	return c != nil && c.Send(b) == nil
}

func (s *Server) serve(c *Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		s.record.Add("%s: the connection has ended", c.Name)
	}()
	for {
		m, err := c.Read()
		if err != nil {
			return
		}
		id := m.Session()
		switch m.Method() {
		case "SETUP":
			s.mu.Lock()
			s.sessions[id] = c
			s.mu.Unlock()
			c.Send(Format("RTSP/1.0 200 OK", "description of "+s.ID+" for "+id+"\r\n", "CSeq: 1", "Session: "+id))
		case "OPTIONS":
			c.Send(Format("RTSP/1.0 200 OK", "", "CSeq: 3", "Session: "+id, "X-State: cpu:0.2;x1:0.2"))
		case "TEARDOWN":
			if strings.Contains(m.Header["reason"], "cause=") { // without a cause it gives up a set-up
				s.mu.Lock()
				delete(s.sessions, id)
				s.mu.Unlock()
			}
			c.Send(Format("RTSP/1.0 200 OK", "", "CSeq: 2", "Session: "+id))
		}
	}
}

// Front is one connection of the platform's front to a front node.
type Front struct {
	*Conn
	mu       sync.Mutex
	answers  map[string]*Message // to set-ups, by session
	released map[string]float64  // when a release was read, by session
	tests    int
	closed   bool
}

// NewFront connects to a front node.
func NewFront(addr, name string, r *Record) (*Front, error) {
	c, err := Dial(addr, name, r)
	if err != nil {
		return nil, err
	}
	f := &Front{Conn: c, answers: map[string]*Message{}, released: map[string]float64{}}
	go func() {
		for {
			m, err := c.Read()
			f.mu.Lock()
			switch {
			case err != nil:
				r.Add("%s: the connection has ended: %v", name, err)
				f.closed = true
				f.mu.Unlock()
				return
			case m.Method() == "TEARDOWN":
				f.released[m.Session()] = r.Seconds()
			case m.Method() == "" && m.Header["cseq"] == "1" && m.Status() >= 200:
				f.answers[m.Session()] = m
			case m.Method() == "" && m.Header["cseq"] == "3" && m.Status() == 200:
				f.tests++
			}
			f.mu.Unlock()
			if m.Method() == "TEARDOWN" {
				c.Send(Format("RTSP/1.0 200 OK", "", "CSeq: 2", "Session: "+m.Session()))
			}
		}
	}()
	return f, nil
}

// Setup sends a set-up.
func (f *Front) Setup(id, class, title string, patience time.Duration, facts string) {
	f.Send(Format("SETUP rtsp://media/"+title+" RTSP/1.0", "c=IN IP4 127.0.0.1\r\nm=video 31000 RTP/AVP 96\r\n", "CSeq: 1", "Session: "+id, "Subject: "+class,
		fmt.Sprintf("X-Patience: %d", patience.Milliseconds()), "X-Facts: "+facts))
}

// Handover sends the set-up of a session that plays at a server already. It wants no answer.
func (f *Front) Handover(id, class, title, server, facts string) {
	f.Setup(id, class, title, 3*time.Second, facts+";at:"+server)
}

// Test sends a test.
func (f *Front) Test() {
	f.Send(Format("OPTIONS rtsp://media/ping RTSP/1.0", "", "CSeq: 3", "Session: 00000000000000f0"))
}

// Closed reports whether the connection has ended.
func (f *Front) Closed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closed
}

// Tests returns how many tests were passed.
func (f *Front) Tests() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tests
}

// Status returns the status of the answer to a set-up, 0 where there is none yet.
func (f *Front) Status(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.answers[id]; m != nil {
		return m.Status()
	}
	return 0
}

// ReleasedAt returns when a release of a session was read, 0 if none was.
func (f *Front) ReleasedAt(id string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.released[id]
}

// AwaitStatus waits for the answer to a set-up; 0 if none comes in time.
func (f *Front) AwaitStatus(id string, within time.Duration) int {
	Await(within, func() bool { return f.Status(id) != 0 })
	return f.Status(id)
}

// NodeSettings are the settings of a small deployment that has the service groups free and paid.
func NodeSettings() map[string]any {
	return map[string]any{
		"balancers": 1, "me": 0, "zone": 0, "zones": []string{"a"}, "models": []string{"std"},
		"caps": map[string]any{"connect_timeout": 250000, "keepalive": 15000000, "max_retry_after": 1000000, "most_tries": 4, "peers": false, "probes": true,
			"retry_after": false, "streams_per_conn": 100, "cancel": true, "may_duplicate": false},
		"family_info": map[string]any{"cabinets": 1, "cells": 4, "class_floor": []int{0, 0}, "class_scale": []float64{1, 1}, "fleet_kb": 200000, "guard": 0,
			"highest_rung": []int{3, 3}, "level_kb": []int{250, 550, 1100, 2400}, "live": []bool{false, false}, "places_by_kind": []int{40}, "seats": []int{0, 0},
			"see": 500000, "shared_adds": 1, "told_every": 2750000, "uplink_kb": 200000},
		"grades": []map[string]any{
			{"name": "free", "effect": "pure", "goal_time": 1000000, "hard_limit": 3000000, "worth": 1},
			{"name": "paid", "effect": "side_effect", "goal_time": 1000000, "hard_limit": 3000000, "worth": 3}},
		"reporting": map[string]any{"source": "pull", "fields": []string{"cpu", "x1"}},
		"rules": map[string]any{"cold": 6000000, "counted_over": 5000000, "fall": 1000000, "overload_factor": 3, "repeat_ratio": 0.2, "spare_attempts": 5,
			"start_capacity": 0.4, "stop_sending_within": 500000},
	}
}

// StartNode writes a configuration and starts a front node by the command of the deploy file. It returns its address once a
// test is passed.
func (c *Case) StartNode(k *Coordinator, settings map[string]any, sockets int, known []Instance) (p *Process, addr string, first *Front, err error) {
	if addr, err = FreeAddress(); err != nil {
		return nil, "", nil, err
	}
	config, err := json.MarshalIndent(map[string]any{"name": "n1", "listen": addr, "seed": "8c1f30d27a5be964", "coordinator": k.Addr,
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 128, "sockets": sockets},
		"known":    map[string]any{"index": 1, "updates": []event{firstEvent(known)}},
		"settings": settings}, "", " ")
	if err != nil {
		return nil, "", nil, err
	}
	path := filepath.Join(c.Folder, "config.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, "", nil, err
	}
	if p, err = c.Start("node", "exec bin/rainhaven node", "GW_NAME=n1", "GW_LISTEN="+addr, "GW_CONFIG="+path, "TMPDIR="+c.Folder); err != nil {
		return nil, "", nil, err
	}
	if !Await(10*time.Second, func() bool {
		first, err = NewFront(addr, "viewers1", c.Record)
		return err == nil
	}) {
		return nil, "", nil, fmt.Errorf("the node does not listen: %w", err)
	}
	first.Test()
	if !Await(5*time.Second, func() bool { return first.Tests() > 0 }) {
		return nil, "", nil, fmt.Errorf("the node passes no test")
	}
	return p, addr, first, nil
}
