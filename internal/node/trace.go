package node

import (
	"bytes"
	"strconv"

	"go.uber.org/zap"

	"rainhaven/internal/rtsp"
)

// traceReceived logs one message as the loop takes it, where debug is on.
func (n *Node) traceReceived(c *conn, m *rtsp.Message) {
	if !n.log.Core().Enabled(zap.DebugLevel) {
		return
	}
	what := m.Method
	if !m.IsRequest() {
		what = strconv.Itoa(m.Status)
	}
	n.log.Debug("received", str("from", c.peer()), str("message", what), str("session", m.Session()), str("reason", m.Header.Get(headerReason)))
}

// traceSent logs one message as it was handed to the connection, where debug is on. Its bytes are those from begins to
// ends of all that the connection sends, below 0 where it takes no more; written tells that they left at once.
func (c *conn) traceSent(b []byte, begins, ends int64, written bool) {
	if !c.log.Core().Enabled(zap.DebugLevel) {
		return
	}
	line, header, _ := bytes.Cut(b, []byte("\r\n"))
	c.log.Debug("sent", str("to", c.peer()), zap.ByteString("message", line), str("session", sessionIDIn(header)),
		zap.Int64("begins", begins), zap.Int64("ends", ends), zap.Bool("written", written))
}

// peer names the other end in logs.
func (c *conn) peer() string { return c.nc.RemoteAddr().String() }

// sessionIDIn finds the session id among a message's header lines.
func sessionIDIn(header []byte) string {
	for line := range bytes.Lines(header) {
		if value, ok := bytes.CutPrefix(line, []byte("Session: ")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
