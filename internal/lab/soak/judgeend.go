package soak

import "time"

// This file checks the reports of sessions' ends to clients, and the resources and logs of processes.

const (
	// A session's client must get the release within releaseTimeout after its server wrote it, or within lateReleaseTimeout if
	// the client's connection or the server is gone.
	releaseTimeout, lateReleaseTimeout = time.Second, 8 * time.Second
	// What a node is told of by a client's naming counts namedGrace later.
	namedGrace = 200 * time.Millisecond
)

// connLog is what was recorded of clients' connections and of servers' deaths.
type connLog struct {
	ends         map[string][]time.Duration // by client address, which later connections may use again; in order
	diedAt       map[string]time.Duration   // by server
	replacements map[int][]record           // connections that took the place of all others, by node
	useless      map[int][]record           // periods with connections on which clients read nothing, by node
	serverEnds   map[serverConnKey][]time.Duration
}

// serverConnKey identifies a connection to a server by the node's address, which later connections may use again.
type serverConnKey struct{ server, peer string }

func newConnLog(records []record) *connLog {
	l := &connLog{ends: map[string][]time.Duration{}, diedAt: map[string]time.Duration{}, replacements: map[int][]record{}, useless: map[int][]record{}, serverEnds: map[serverConnKey][]time.Duration{}}
	for _, r := range records {
		switch r.kind {
		case connectionEnded:
			l.ends[r.detail] = append(l.ends[r.detail], r.at)
		case serverDied:
			l.diedAt[r.server] = r.at
		case replacementOpened:
			l.replacements[r.node] = append(l.replacements[r.node], r)
		case uselessOpened:
			l.useless[r.node] = append(l.useless[r.node], r)
		case serverConnEnded:
			key := serverConnKey{r.server, r.peer}
			l.serverEnds[key] = append(l.serverEnds[key], r.at)
		}
	}
	return l
}

// endOf returns when the connection ended that a client address had at a given time; false if it did not end.
func (l *connLog) endOf(peer string, at time.Duration) (time.Duration, bool) {
	return firstFrom(l.ends[peer], at)
}

// firstFrom returns the first of some ordered times that is not before a given one; false if there is none.
func firstFrom(times []time.Duration, at time.Duration) (time.Duration, bool) {
	for _, t := range times {
		if t >= at {
			return t, true
		}
	}
	return 0, false
}

// releaseReceived returns when a release was written of which its node certainly learned: the first write to a connection that did
// not end soon after. Servers write a release again on each later connection, which gives the node no more time. Without such a write
// it is the last one; 0 if there is none.
func (l *connLog) releaseReceived(writes []record) (at time.Duration) {
	for _, w := range writes {
		at = w.at
		end, ended := firstFrom(l.serverEnds[serverConnKey{w.server, w.peer}], w.at)
		if !ended || end > w.at+releaseLossWindow {
			return at
		}
	}
	return at
}

// replacementOpen reports whether a replacement of a node's connections was open throughout a period in which no useless
// connection was, so that a release must have arrived on it.
func (l *connLog) replacementOpen(node int, from, to time.Duration) bool {
	for _, u := range l.useless[node] {
		if u.at <= to && u.at+u.wait+socketSlack >= from {
			return false
		}
	}
	for _, r := range l.replacements[node] {
		if endedAt, ended := l.endOf(r.peer, r.at); r.at <= from && (!ended || endedAt > to) {
			return true
		}
	}
	return false
}

// checkReleases checks that clients are notified when their sessions end.
func (c *checker) checkReleases() {
	conns := newConnLog(c.report.records)
	for _, id := range c.order {
		h := c.requests[id]
		server, served := h.servedBy()
		if !served {
			continue
		}
		if h.endedByClient.at > 0 {
			c.checkCut(id, h, server, conns)
			continue
		}
		end, limit, due := c.releaseLimit(h, server, conns)
		if !due || limit > c.o.Duration {
			continue
		}
		if len(h.releasesReadAt) == 0 {
			c.violate(Released, id, limit, "its end at %s was not reported to its client", server)
		} else if at := h.releasesReadAt[0]; at > limit {
			c.violate(Released, id, at, "its end at %s was reported %.3f s later", server, (at - end).Seconds())
		}
	}
}

// releaseLimit returns when a session ended at its server and until when its client must be notified; due is false if that is not
// required.
func (c *checker) releaseLimit(h *history, server string, conns *connLog) (end, limit time.Duration, due bool) {
	end, timeout := conns.releaseReceived(h.releaseWrites), releaseTimeout
	if h.endedAt[server] == 0 {
		if end = conns.diedAt[server]; end == 0 {
			return 0, 0, false // it is still established, or its server did not end it
		}
		timeout = lateReleaseTimeout
	} else if h.releaseCause != causeFinished && h.releaseCause != causeLost {
		return 0, 0, false // the client knows of an end that it caused
	} else if end == 0 { // its server had no connection for the release
		end, timeout = h.endedAt[server], lateReleaseTimeout
	}
	held := h.sent.at // when the node's process learned of the session
	if at := h.named.at; at > 0 && c.nextExit(h.sent.node, h.sent.at) < at {
		if endedAt, ended := conns.endOf(h.named.peer, at); ended && endedAt < at+releaseTimeout {
			return 0, 0, false // the process may never have read the name
		}
		held = at
		if end < at+namedGrace {
			end, timeout = at+namedGrace, lateReleaseTimeout
		}
	}
	if at, known := conns.endOf(h.sent.peer, h.sent.at); known && at < end+timeout {
		reachedNode := timeout == releaseTimeout
		timeout = lateReleaseTimeout
		if reachedNode && at < end && conns.replacementOpen(h.sent.node, end, end+releaseTimeout+socketSlack+loadSlack) {
			timeout = releaseTimeout
		}
	}
	if at := conns.diedAt[server]; at > end && at < end+timeout { // the last release that it wrote may be lost with it
		end, timeout = at, lateReleaseTimeout
	}
	limit = end + timeout + socketSlack + loadSlack
	limit += c.suspendedFor(h.sent.node, end, limit)
	return end, limit, c.nextExit(h.sent.node, held) >= limit
}

// checkCut checks that a session which its client ended is torn down at its server.
func (c *checker) checkCut(id string, h *history, server string, conns *connLog) {
	at := h.endedByClient.at
	limit := at + lateReleaseTimeout + socketSlack + loadSlack
	limit += c.suspendedFor(h.sent.node, at, limit)
	if endedAt, ended := conns.endOf(h.endedByClient.peer, at); ended && endedAt < at+releaseTimeout {
		return // the node may not have read the client's message
	}
	if len(h.releasesReadAt) > 0 || limit > c.o.Duration || c.nextExit(h.sent.node, h.sent.at) < limit {
		return
	}
	if endedAt, ended := h.endedAt[server]; ended && endedAt <= limit {
		return
	}
	if diedAt, died := conns.diedAt[server]; died && diedAt <= limit {
		return
	}
	c.violate(Cut, id, limit, "its client ended it at %.3f s, and it still stands at %s", at.Seconds(), server)
}

// servedBy returns the server whose answer the client got; false if none was served.
func (h *history) servedBy() (server string, served bool) {
	if len(h.answers) == 0 || h.answers[0].status != 200 {
		return "", false
	}
	for _, a := range h.attempts {
		if h.answers[0].detail == description(h.sent.request, a.read.server) {
			return a.read.server, true
		}
	}
	return "", false
}

// checkLimits checks the descriptors and memory of processes, and faults in their logs.
func (c *checker) checkLimits() {
	reported := map[int]bool{}
	for _, r := range c.report.records {
		switch r.kind {
		case nodeMeasured:
			c.report.MaxDescriptors = max(c.report.MaxDescriptors, r.descriptors)
			c.report.MaxMemoryMB = max(c.report.MaxMemoryMB, r.megabytes)
			if !reported[r.node] && (r.descriptors > maxDescriptors || r.megabytes > maxMemoryMB) {
				reported[r.node] = true
				c.violate(Limits, "", r.at, "node %d uses %d of %d descriptors and %.0f of %d MB", r.node, r.descriptors, maxDescriptors, r.megabytes, maxMemoryMB)
			}
		case nodeLoggedFault:
			c.violate(Guarded, "", r.at, "node %d logged %s", r.node, r.detail)
		}
	}
}
