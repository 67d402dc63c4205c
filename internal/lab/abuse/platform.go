package abuse

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"rainhaven/internal/rtsp"
)

// description is the body of a stand-in server's answer.
const description = "c=IN IP4 127.0.0.1\r\nm=video 31000 RTP/AVP 96\r\n"

// Server is a stand-in for a streaming server of the platform: it serves every SETUP and answers every test.
type Server struct {
	net.Listener
	mu       sync.Mutex
	arrivals map[string][]time.Time // of SETUPs, by session id
	conns    []net.Conn
	AnswerIn time.Duration // delay of the answer to a SETUP
}

// NewServer starts a server that answers a SETUP after a delay.
func NewServer(answerIn time.Duration) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Listener: l, arrivals: map[string][]time.Time{}, AnswerIn: answerIn}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s, nil
}

// Stop closes the server and its connections.
func (s *Server) Stop() {
	s.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
}

// serve answers the requests of one connection.
func (s *Server) serve(c net.Conn) {
	defer c.Close()
	conn := rtsp.NewConn(c, rtsp.Limits{})
	for {
		m, _, err := conn.Next()
		if err != nil {
			return
		}
		switch m.Method {
		case rtsp.Setup:
			id := m.Session()
			s.mu.Lock()
			s.arrivals[id] = append(s.arrivals[id], time.Now())
			s.mu.Unlock()
			answer := fmt.Appendf(nil, "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(description), description)
			if s.AnswerIn == 0 {
				c.Write(answer)
				continue
			}
			time.AfterFunc(s.AnswerIn, func() { c.Write(answer) })
		case rtsp.TearDown:
			fmt.Fprintf(c, "RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: %s\r\nContent-Length: 0\r\n\r\n", m.Session())
		case rtsp.Options:
			fmt.Fprintf(c, "RTSP/1.0 200 OK\r\nCSeq: 3\r\nSession: %s\r\nX-State: cpu:0.1;x1:0.1\r\nContent-Length: 0\r\n\r\n", m.Session())
		}
	}
}

// Arrivals returns when the SETUPs of each session arrived.
func (s *Server) Arrivals() map[string][]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := make(map[string][]time.Time, len(s.arrivals))
	for id, at := range s.arrivals {
		copied[id] = append([]time.Time(nil), at...)
	}
	return copied
}

// startCoordinator starts a coordinator that has nothing to tell, until the listener is closed.
func startCoordinator() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for {
					if _, err := fmt.Fprintf(c, "1\n"); err != nil {
						return
					}
					time.Sleep(time.Second)
				}
			}()
		}
	}()
	return l, nil
}

// Patience is the setup timeout of all classes, as in the example of the platform's protocol.
const Patience = 1500 * time.Millisecond

type fields = map[string]any

// nodeConfig returns a node's configuration, with two classes of a small deployment: "free", and "paid", which is not repeated.
func nodeConfig(listen, coordinator string, servers []*Server) ([]byte, error) {
	class := func(name, effect string) fields {
		return fields{"name": name, "effect": effect, "goal_time": 1000000, "hard_limit": Patience.Microseconds(), "worth": 1}
	}
	var list []fields
	for i, s := range servers {
		list = append(list, fields{"instanceId": fmt.Sprintf("s-%d", i), "hostPort": s.Addr().String(), "zone": "a", "machineType": "std", "cell": i,
			"lifecycle": "up", "weight": 1, "startedAtMs": 0})
	}
	known := fields{"index": 1, "updates": []fields{{"index": 1, "endpoints": fields{"generation": 1, "reset": true, "instances": list}}}}
	return json.Marshal(fields{"name": "n1", "listen": listen, "seed": "8c1f30d27a5be964", "coordinator": coordinator, "known": known,
		"limits": fields{"cores": 1, "memory_mb": MemoryLimitMB, "sockets": DescriptorLimit},
		"settings": fields{
			"balancers": 1, "me": 0, "zone": 0, "zones": []string{"a"}, "models": []string{"std"},
			"grades": []fields{class("free", "pure"), class("paid", "side_effect")},
			"caps": fields{"connect_timeout": 250000, "keepalive": 30000000, "max_retry_after": 1000000, "most_tries": 4, "peers": false,
				"probes": true, "retry_after": false, "streams_per_conn": 100},
			"family_info": fields{"cabinets": 1, "cells": len(servers), "class_floor": []int{0, 0}, "class_scale": []int{1, 1}, "fleet_kb": 4000000, "guard": 0,
				"highest_rung": []int{4, 4}, "level_kb": []int{247, 443, 793, 1419, 2541}, "live": []bool{false, false}, "places_by_kind": []int{4000},
				"seats": []int{0, 0}, "see": 360000, "shared_adds": 1, "told_every": 0, "uplink_kb": 4000000},
			"reporting": fields{"fields": []string{"cpu", "x1"}, "source": "pull"},
			"rules": fields{"cold": 6000000, "counted_over": 5000000, "fall": 1000000, "overload_factor": 3, "repeat_ratio": 0.2, "spare_attempts": 5,
				"start_capacity": 0.4, "stop_sending_within": 250000},
		}})
}

// Node is a front node with its servers and its coordinator.
type Node struct {
	*Process
	Address     string
	Servers     []*Server
	coordinator net.Listener
}

// StartNode starts a front node, with servers that answer after the given delays, and waits until it listens.
func StartNode(program, folder string, answerIn ...time.Duration) (*Node, error) {
	n := &Node{}
	for _, delay := range answerIn {
		s, err := NewServer(delay)
		if err != nil {
			return nil, err
		}
		n.Servers = append(n.Servers, s)
	}
	var err error
	if n.coordinator, err = startCoordinator(); err != nil {
		return nil, err
	}
	if n.Address, err = freeAddress(); err != nil {
		return nil, err
	}
	config, err := nodeConfig(n.Address, n.coordinator.Addr().String(), n.Servers)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(folder, "config.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	if n.Process, err = startProcess(program, []string{"GW_CONFIG=" + path}, "node", "--log", "warn"); err != nil {
		return nil, err
	}
	return n, n.awaitListener(n.Address, 10*time.Second)
}

// Stop ends the node's process, its servers and its coordinator.
func (n *Node) Stop() {
	n.Process.Stop()
	n.coordinator.Close()
	for _, s := range n.Servers {
		s.Stop()
	}
}
