// Package standin holds the small stand-ins of the review's cases: messages, servers, the coordinator, viewers, the record of
// what was sent and read, and the start of the project's own programs as processes. It uses none of the project's packages.
package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Message is one RTSP message, or one interleaved frame.
type Message struct {
	Start  string            // start line
	Header map[string]string // by name in lower case
	Body   string
	Frame  []byte // an interleaved frame's payload; nil for a message
}

// Method returns the method of a request, or "" for a response.
func (m *Message) Method() string {
	if m.Frame != nil || strings.HasPrefix(m.Start, "RTSP/") {
		return ""
	}
	method, _, _ := strings.Cut(m.Start, " ")
	return method
}

// Status returns the status of a response, or 0 for a request or a frame.
func (m *Message) Status() int {
	if m.Frame != nil || !strings.HasPrefix(m.Start, "RTSP/") {
		return 0
	}
	status, _ := strconv.Atoi(strings.Fields(m.Start)[1])
	return status
}

// Session returns the session id without parameters.
func (m *Message) Session() string {
	id, _, _ := strings.Cut(m.Header["session"], ";")
	return strings.TrimSpace(id)
}

// summary is the text of a message in the record.
func (m *Message) summary() string {
	text := m.Start
	for _, name := range []string{"cseq", "session", "reason", "x-facts", "user-agent"} {
		if v := m.Header[name]; v != "" {
			text += " | " + name + ": " + v
		}
	}
	return text
}

// Conn is a connection whose messages are recorded.
type Conn struct {
	net.Conn
	Name   string
	record *Record
	in     *bufio.Reader
	mu     sync.Mutex
}

// NewConn wraps a connection; name stands for it in the record.
func NewConn(c net.Conn, name string, r *Record) *Conn {
	return &Conn{Conn: c, Name: name, record: r, in: bufio.NewReader(c)}
}

// Dial connects to an address.
func Dial(addr, name string, r *Record) (*Conn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	r.Add("%s: connected", name)
	return NewConn(c, name, r), nil
}

// Send writes the given messages in one write.
func (c *Conn) Send(messages ...string) error {
	for _, m := range messages {
		first, rest, _ := strings.Cut(m, "\r\n")
		sent := &Message{Start: first, Header: headers(rest)}
		c.record.Add("%s: sent %s", c.Name, sent.summary())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, err := io.WriteString(c.Conn, strings.Join(messages, ""))
	return err
}

// SendFrame writes an interleaved frame; frames are not recorded.
func (c *Conn) SendFrame(channel byte, payload []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, err := c.Conn.Write(append([]byte{'$', channel, byte(len(payload) >> 8), byte(len(payload))}, payload...))
	return err
}

// Reset closes the connection with a reset.
func (c *Conn) Reset() {
	c.record.Add("%s: reset by this side", c.Name)
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// Read reads the next message or frame. Messages are recorded.
func (c *Conn) Read() (*Message, error) {
	b, err := c.in.Peek(1)
	if err != nil {
		return nil, err
	}
	if b[0] == '$' {
		var head [4]byte
		if _, err := io.ReadFull(c.in, head[:]); err != nil {
			return nil, err
		}
		m := &Message{Frame: make([]byte, int(head[2])<<8|int(head[3]))}
		_, err := io.ReadFull(c.in, m.Frame)
		return m, err
	}
	var lines []string
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			return nil, err
		}
		if line = strings.TrimRight(line, "\r\n"); line == "" {
			break
		}
		lines = append(lines, line)
	}
	if len(lines) == 0 {
		return nil, fmt.Errorf("empty message")
	}
	m := &Message{Start: lines[0], Header: headers(strings.Join(lines[1:], "\r\n"))}
	length, _ := strconv.Atoi(m.Header["content-length"])
	body := make([]byte, length)
	if _, err := io.ReadFull(c.in, body); err != nil {
		return nil, err
	}
	m.Body = string(body)
	c.record.Add("%s: read %s", c.Name, m.summary())
	return m, nil
}

func headers(text string) map[string]string {
	h := map[string]string{}
	for _, line := range strings.Split(text, "\r\n") {
		if line == "" {
			break
		}
		if name, value, ok := strings.Cut(line, ":"); ok {
			h[strings.ToLower(strings.TrimSpace(name))] = strings.TrimSpace(value)
		}
	}
	return h
}

// Format returns a message with the given start line, header lines and body.
func Format(start, body string, header ...string) string {
	return start + "\r\n" + strings.Join(header, "\r\n") + fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n", len(body)) + body
}
