package node

import (
	"bytes"
	"strconv"

	"go.uber.org/zap"

	"rainhaven/internal/rtsp"
)

// traceReceived logs a received message, at level debug, as the loop handles it.
func (n *Node) traceReceived(c *conn, m *rtsp.Message) {
	if !n.log.Core().Enabled(zap.DebugLevel) {
		return
	}
	kind := m.Method
	if !m.IsRequest() {
		kind = strconv.Itoa(m.Status)
	}
	n.log.Debug("received", str("from", c.peer()), str("message", kind), str("session", m.Session()), str("reason", m.Header.Get(headerReason)))
}

// traceSent logs a message, at level debug, as it is passed to the connection. begins and ends are its byte offsets in all that the
// connection sends, below 0 if the connection takes no more; written is set if it was written at once.
func (c *conn) traceSent(b []byte, begins, ends int64, written bool) {
	if !c.log.Core().Enabled(zap.DebugLevel) {
		return
	}
	line, header, _ := bytes.Cut(b, []byte("\r\n"))
	c.log.Debug("sent", str("to", c.peer()), zap.ByteString("message", line), str("session", sessionIDIn(header)),
		zap.Int64("begins", begins), zap.Int64("ends", ends), zap.Bool("written", written))
}

// peer is the remote address, for logs.
func (c *conn) peer() string { return c.nc.RemoteAddr().String() }

// sessionIDIn extracts the session id from a message's header lines.
func sessionIDIn(header []byte) string {
	for line := range bytes.Lines(header) {
		if value, ok := bytes.CutPrefix(line, []byte("Session: ")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
