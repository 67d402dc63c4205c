package soak

import "time"

// This file checks the reports of sessions' ends to clients, and the resources and logs of processes.

const (
	// A session's client must get the release within releaseTimeout after its server wrote it, or within lateReleaseTimeout if
	// the client's connection or the server is gone.
	releaseTimeout, lateReleaseTimeout = time.Second, 8 * time.Second
)

// checkReleases checks that clients are notified when their sessions end.
func (c *checker) checkReleases() {
	disconnectedAt := map[string]time.Duration{} // by a connection's client address
	diedAt := map[string]time.Duration{}
	for _, r := range c.report.records {
		switch r.kind {
		case connectionEnded:
			disconnectedAt[r.detail] = r.at
		case serverDied:
			diedAt[r.server] = r.at
		}
	}
	for _, id := range c.order {
		h := c.requests[id]
		server, served := h.servedBy()
		if !served {
			continue
		}
		end, timeout := h.releaseWrittenAt, releaseTimeout
		if h.endedAt[server] == 0 {
			if end = diedAt[server]; end == 0 {
				continue // it is still established, or its server did not end it
			}
			timeout = lateReleaseTimeout
		} else if h.releaseCause != causeFinished && h.releaseCause != causeLost {
			continue // the client knows of an end that it caused
		} else if end == 0 { // its server had no connection for the release
			end, timeout = h.endedAt[server], lateReleaseTimeout
		}
		if at, known := disconnectedAt[h.sent.peer]; known && at < end+timeout {
			timeout = lateReleaseTimeout
		}
		if at := diedAt[server]; at > end && at < end+timeout { // the last release that it wrote may be lost with it
			end, timeout = at, lateReleaseTimeout
		}
		limit := end + timeout + socketSlack + loadSlack
		limit += c.suspendedFor(h.sent.node, end, limit)
		if limit > c.o.Duration || c.nextExit(h.sent.node, h.sent.at) < limit {
			continue
		}
		if len(h.releasesReadAt) == 0 {
			c.violate(Released, id, limit, "its end at %s was not reported to its client", server)
		} else if at := h.releasesReadAt[0]; at > limit {
			c.violate(Released, id, at, "its end at %s was reported %.3f s later", server, (at - end).Seconds())
		}
	}
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
