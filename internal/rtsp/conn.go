package rtsp

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// Conn reads messages and frames from a connection. Only one goroutine may read from it. Writing is left to the owner,
// which encodes output with Message.Append and AppendFrame.
type Conn struct {
	net.Conn
	in     buffer
	limits Limits
}

// NewConn returns a Conn that reads from c and enforces limits.
func NewConn(c net.Conn, limits Limits) *Conn {
	limits = limits.withDefaults()
	return &Conn{Conn: c, in: buffer{r: c, maxSize: limits.BufferBytes}, limits: limits}
}

// Frame is an interleaved frame (RFC 2326, section 10.12). Raw holds its four-byte header and its payload, and is
// valid only until the next call of Next.
type Frame struct {
	Channel byte
	Raw     []byte
}

// Payload returns the frame without its header.
func (f Frame) Payload() []byte { return f.Raw[4:] }

// AppendFrame appends a frame in wire format. The payload must not exceed 65535 bytes.
func AppendFrame(b []byte, channel byte, payload []byte) []byte {
	b = append(b, '$', channel, byte(len(payload)>>8), byte(len(payload)))
	return append(b, payload...)
}

// Next reads a message or, if the returned message is nil, a frame. The error is io.EOF at the end of input between
// messages, io.ErrUnexpectedEOF within one, a *MalformedError, or an error of the connection. After an error nothing
// more can be read.
func (c *Conn) Next() (*Message, Frame, error) {
	for {
		first, err := c.in.peek(1)
		if err != nil {
			return nil, Frame{}, err
		}
		if first[0] == '$' {
			f, err := c.readFrame()
			return nil, f, err
		}
		line, err := c.readLine()
		if err == errLineTooLong {
			return nil, Frame{}, malformed(URITooLong, "start line longer than %d bytes", c.limits.LineBytes)
		}
		if err != nil {
			return nil, Frame{}, err
		}
		if line == "" { // section 4 requires receivers to skip empty lines between messages
			continue
		}
		m, err := c.readMessage(line)
		return m, Frame{}, err
	}
}

func (c *Conn) readFrame() (Frame, error) {
	unexpectedEOF := func(err error) error {
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	head, err := c.in.peek(4)
	if err != nil {
		return Frame{}, unexpectedEOF(err)
	}
	n := int(binary.BigEndian.Uint16(head[2:]))
	if n > c.limits.FrameBytes {
		return Frame{}, malformed(0, "frame of %d bytes exceeds the limit", n)
	}
	raw, err := c.in.peek(n + 4)
	if err != nil {
		return Frame{}, unexpectedEOF(err)
	}
	c.in.discard(n + 4)
	return Frame{Channel: raw[1], Raw: raw}, nil
}

// FrameBuffered reports whether a complete frame is buffered, which Next returns without reading from the connection.
func (c *Conn) FrameBuffered() bool {
	b := c.in.b[c.in.start:c.in.end]
	return len(b) >= 4 && b[0] == '$' && len(b) >= 4+int(binary.BigEndian.Uint16(b[2:]))
}

// Buffered returns the number of bytes received but not yet consumed.
func (c *Conn) Buffered() int { return c.in.buffered() }

// RoundTrip sends a request and waits for its response. Frames and messages received meanwhile are passed to other,
// which may be nil. It is meant for callers that have one request in flight at a time: tools, simulated peers and tests.
func (c *Conn) RoundTrip(req *Message, timeout time.Duration, other func(*Message, Frame)) (*Message, error) {
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	defer c.SetDeadline(time.Time{})
	if _, err := c.Write(req.Append(nil)); err != nil {
		return nil, fmt.Errorf("sending %s: %w", req.Method, err)
	}
	for {
		m, f, err := c.Next()
		if err != nil {
			return nil, fmt.Errorf("waiting for the response to %s: %w", req.Method, err)
		}
		if m != nil && !m.IsRequest() && m.CSeq() == req.CSeq() {
			return m, nil
		}
		if other != nil {
			other(m, f)
		}
	}
}

// OutOfSync reports whether the bytes buffered after the last message can't start another one. In that case the
// message's Content-Length was wrong and its body is incomplete. A partial start line is judged by the bytes received.
func (c *Conn) OutOfSync() bool {
	b := bytes.TrimLeft(c.in.b[c.in.start:c.in.end], "\r\n")
	if len(b) == 0 || b[0] == '$' {
		return false
	}
	if i := bytes.IndexByte(b, '\n'); i >= 0 {
		return new(Message).parseStartLine(strings.TrimRight(string(b[:i]), "\r")) != nil
	}
	word, _, complete := bytes.Cut(b, []byte(" "))
	if bytes.HasPrefix(word, []byte("RTSP/")) {
		return complete && !new(Message).parseVersion(string(word))
	}
	for _, x := range word { // a method consists of capital letters and underscores
		if (x < 'A' || x > 'Z') && x != '_' {
			return !bytes.HasPrefix([]byte("RTSP/"), word)
		}
	}
	return len(word) > 32
}

// AwaitMessage blocks until the first byte of a message is received. It skips line ends between messages.
func (c *Conn) AwaitMessage() error {
	for {
		first, err := c.in.peek(1)
		if err != nil {
			return err
		}
		if first[0] != '\r' && first[0] != '\n' {
			return nil
		}
		c.in.discard(1)
	}
}
