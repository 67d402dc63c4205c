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

// Conn reads messages and frames from a connection. It is read by one goroutine; writing is its owner's affair,
// who appends Messages and frames to what it writes.
type Conn struct {
	net.Conn
	in     buffer
	limits Limits
}

// NewConn reads from c within bounds.
func NewConn(c net.Conn, bounds Limits) *Conn {
	bounds = bounds.withDefaults()
	return &Conn{Conn: c, in: buffer{r: c, maxSize: bounds.BufferBytes}, limits: bounds}
}

// Frame is an interleaved frame (RFC 2326, section 10.12). Whole holds its four bytes of header and its payload,
// and is valid until the next call of Next only.
type Frame struct {
	Channel byte
	Raw     []byte
}

// Payload is the frame without its header.
func (f Frame) Payload() []byte { return f.Raw[4:] }

// AppendFrame appends a frame as it goes on the wire. The payload is at most 65535 bytes long.
func AppendFrame(b []byte, channel byte, payload []byte) []byte {
	b = append(b, '$', channel, byte(len(payload)>>8), byte(len(payload)))
	return append(b, payload...)
}

// Next reads a message, or, where that is nil, a frame. Its errors are io.EOF between messages,
// io.ErrUnexpectedEOF within one, *MalformedError, or the connection's. After an error nothing more can be read.
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
			return nil, Frame{}, malformed(URITooLong, "a start line of over %d bytes", c.limits.LineBytes)
		}
		if err != nil {
			return nil, Frame{}, err
		}
		if line == "" { // empty lines between messages are skipped, as section 4 asks
			continue
		}
		m, err := c.readMessage(line)
		return m, Frame{}, err
	}
}

func (c *Conn) readFrame() (Frame, error) {
	midMessage := func(err error) error {
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	head, err := c.in.peek(4)
	if err != nil {
		return Frame{}, midMessage(err)
	}
	n := int(binary.BigEndian.Uint16(head[2:]))
	if n > c.limits.FrameBytes {
		return Frame{}, malformed(0, "a frame of %d bytes", n)
	}
	whole, err := c.in.peek(n + 4)
	if err != nil {
		return Frame{}, midMessage(err)
	}
	c.in.discard(n + 4)
	return Frame{Channel: whole[1], Raw: whole}, nil
}

// FrameBuffered tells whether another whole frame was received already, which Next gives without reading.
func (c *Conn) FrameBuffered() bool {
	b := c.in.b[c.in.start:c.in.end]
	return len(b) >= 4 && b[0] == '$' && len(b) >= 4+int(binary.BigEndian.Uint16(b[2:]))
}

// Buffered is how many bytes were received and not yet read.
func (c *Conn) Buffered() int { return c.in.buffered() }

// RoundTrip sends a request and waits for its response; frames and requests meanwhile go to other, which may be
// nil. It is for callers that do one thing at a time: tools, stand-ins and tests.
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
			return nil, fmt.Errorf("waiting for the answer to %s: %w", req.Method, err)
		}
		if m != nil && !m.IsRequest() && m.CSeq() == req.CSeq() {
			return m, nil
		}
		if other != nil {
			other(m, f)
		}
	}
}

// OutOfSync tells whether what was received beyond the last message can't begin another one: then that message's length
// was wrong, and what was taken for its body is not whole. Of a start that is not whole yet it tells what it can.
func (c *Conn) OutOfSync() bool {
	b := bytes.TrimLeft(c.in.b[c.in.start:c.in.end], "\r\n")
	if len(b) == 0 || b[0] == '$' {
		return false
	}
	if i := bytes.IndexByte(b, '\n'); i >= 0 {
		return new(Message).parseStartLine(strings.TrimRight(string(b[:i]), "\r")) != nil
	}
	word, _, whole := bytes.Cut(b, []byte(" "))
	if bytes.HasPrefix(word, []byte("RTSP/")) {
		return whole && !new(Message).parseVersion(string(word))
	}
	for _, x := range word { // methods are words in capitals
		if (x < 'A' || x > 'Z') && x != '_' {
			return !bytes.HasPrefix([]byte("RTSP/"), word)
		}
	}
	return len(word) > 32
}

// AwaitMessage waits until a byte of a message was received; line ends between messages are skipped.
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
