package standin

import (
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Box is a stand-in of a streaming server for a front: RTSP with interleaved RTP, one session a connection, 25 small video
// frames a second while a session plays. It is sound but for what its fields say.
type Box struct {
	Addr         string
	Full         atomic.Bool // SETUPs are answered 453: there is no room
	RefusesRungs bool        // SET_PARAMETER is answered 451: this box changes no rung in service
	AnswerAfter  time.Duration
	Setups       atomic.Int64 // sessions set up so far
	Sessions     atomic.Int64 // sessions that the box holds
	name         string
	record       *Record
}

// NewBox starts a box on a free port.
func NewBox(name string, r *Record) (*Box, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Box{Addr: l.Addr().String(), AnswerAfter: 20 * time.Millisecond, name: name, record: r}
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(NewConn(c, fmt.Sprintf("%s/%d", name, n), r))
		}
	}()
	return b, nil
}

func (b *Box) serve(c *Conn) {
	defer c.Close()
	session := ""
	var playing sync.WaitGroup
	defer playing.Wait()
	stop := make(chan struct{})
	stopOnce := sync.OnceFunc(func() { close(stop) })
	defer stopOnce()
	for {
		m, err := c.Read()
		if err != nil {
			return
		}
		if m.Frame != nil || m.Method() == "" {
			continue
		}
		cseq := "CSeq: " + m.Header["cseq"]
		answer := func(status string, header ...string) {
			if session != "" {
				header = append(header, "Session: "+session)
			}
			c.Send(Format("RTSP/1.0 "+status, "", append([]string{cseq}, header...)...))
		}
		switch method := m.Method(); {
		case method == "SETUP":
			time.Sleep(b.AnswerAfter)
			if session == "" && b.Full.Load() {
				answer("453 Not Enough Bandwidth")
				continue
			}
			if session == "" {
				session = fmt.Sprintf("%s-%d", b.name, b.Setups.Add(1))
				b.Sessions.Add(1)
				defer b.Sessions.Add(-1)
			}
			answer("200 OK", "Transport: "+m.Header["transport"])
		case m.Header["session"] != "" && m.Session() != session:
			answer("454 Session Not Found")
		case method == "PLAY":
			answer("200 OK")
			playing.Go(func() { sendVideo(c, stop) })
		case method == "SET_PARAMETER" && b.RefusesRungs:
			answer("451 Parameter Not Understood")
		case method == "TEARDOWN":
			stopOnce()
			playing.Wait()
			answer("200 OK")
			return
		default:
			answer("200 OK")
		}
	}
}

// sendVideo sends 25 frames a second on channel 0.
func sendVideo(c *Conn, stop chan struct{}) {
	t := time.NewTicker(40 * time.Millisecond)
	defer t.Stop()
	for n := uint32(1); ; n++ {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		b := make([]byte, 200)
		b[0], b[1] = 0x80, 96|0x80
		binary.BigEndian.PutUint16(b[2:], uint16(n))
		binary.BigEndian.PutUint32(b[4:], n*3600)
		binary.BigEndian.PutUint32(b[8:], 7)
		if c.SendFrame(0, b) != nil {
			return
		}
	}
}

// Viewer is a viewer of a front over one connection. Its reader counts frames and keeps the answers by CSeq.
type Viewer struct {
	*Conn
	Base    string // rtsp://HOST/GROUP/TITLE
	mu      sync.Mutex
	answers map[string]*Message
	Frames  atomic.Int64
	Closed  atomic.Bool
}

// NewViewer connects to a front.
func NewViewer(front, place, name string, r *Record) (*Viewer, error) {
	c, err := Dial(front, name, r)
	if err != nil {
		return nil, err
	}
	v := &Viewer{Conn: c, Base: "rtsp://" + front + "/" + place, answers: map[string]*Message{}}
	go func() {
		defer v.Closed.Store(true)
		for {
			m, err := c.Read()
			switch {
			case err != nil:
				r.Add("%s: the connection has ended: %v", name, err)
				return
			case m.Frame != nil:
				v.Frames.Add(1)
			case m.Method() == "":
				v.mu.Lock()
				v.answers[m.Header["cseq"]] = m
				v.mu.Unlock()
			}
		}
	}()
	return v, nil
}

// Request returns a request of this viewer.
func (v *Viewer) Request(method, path string, cseq int, header ...string) string {
	lines := append([]string{fmt.Sprintf("CSeq: %d", cseq)}, header...)
	return method + " " + v.Base + path + " RTSP/1.0\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// Answer returns the answer to the request with a CSeq, or nil.
func (v *Viewer) Answer(cseq int) *Message {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.answers[fmt.Sprint(cseq)]
}

// AwaitAnswer waits for the answer to a request; nil if none comes in time.
func (v *Viewer) AwaitAnswer(cseq int, within time.Duration) *Message {
	Await(within, func() bool { return v.Answer(cseq) != nil || v.Closed.Load() })
	return v.Answer(cseq)
}

// Settings returns the settings of a front with two boxes, of the form of examples/front.star.
func Settings(listen, rates string, boxes ...*Box) string {
	text := fmt.Sprintf(`front(name = "front-1", listen = %q, me = 0, fronts = 1)
kind(name = "two-core", places = 20)
ladder(rates = [%s])
group(name = "fault-clips", utility = 2, scale = 1.4, start_target = 1, setup_timeout = 3, floor = 1, seats = 5)
group(name = "grower-guides", start_target = 1, setup_timeout = 5)
fleet(links = 200000, uplink = 200000, cells = 2, racks = 1)
setups(most = 3, spare = 5, share = 0.1, window = 10)
cold(warm_up = 10, share = 0.4, fall_factor = 4, fall_time = 1.5)
reports(come = "answers", lag = 1, notes_every = 3)
title(name = "vents", span = 2)
title(name = "heating", span = 2)
`, listen, rates)
	for i, b := range boxes {
		text += fmt.Sprintf("box(id = %d, address = %q, cell = %d)\n", i+1, b.Addr, i)
	}
	return text
}
