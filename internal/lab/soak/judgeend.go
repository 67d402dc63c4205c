package soak

import "time"

// The checks of this file judge what is owed after a session's end, and what processes hold and log.

const (
	// releaseTimeout is within how long after its server's release a session's client is told, and lateReleaseTimeout where its
	// connection is gone, or its server is.
	releaseTimeout, lateReleaseTimeout = time.Second, 8 * time.Second
	// causeEnded and causeBroken are the ends of which a client is told; it knows of its own.
	causeEnded, causeBroken = 16, 41
)

// checkReleases judges that the clients of sessions that ended were told.
func (c *checker) checkReleases() {
	disconnectedAt := map[string]time.Duration{} // by a client's end of a connection
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
				continue // it stands still, or its end was not its server's
			}
			timeout = lateReleaseTimeout
		} else if h.releaseCause != causeEnded && h.releaseCause != causeBroken {
			continue
		} else if end == 0 { // its server found no connection to write it to
			end, timeout = h.endedAt[server], lateReleaseTimeout
		}
		if at, known := disconnectedAt[h.request.peer]; known && at < end+timeout {
			timeout = lateReleaseTimeout
		}
		if at := diedAt[server]; at > end && at < end+timeout { // what it wrote last may have ended with it
			end, timeout = at, lateReleaseTimeout
		}
		limit := end + timeout + socketSlack + loadSlack
		limit += c.suspendedFor(h.request.node, end, limit)
		if limit > c.o.Duration || c.nextExit(h.request.node, h.request.at) < limit {
			continue
		}
		if len(h.releasesReadAt) == 0 {
			c.violate(Released, id, limit, "its end at %s is not told to its client", server)
		} else if at := h.releasesReadAt[0]; at > limit {
			c.violate(Released, id, at, "its end at %s is told %.3f s later", server, (at - end).Seconds())
		}
	}
}

// servedBy is the server whose answer the client has; false where it has none.
func (h *history) servedBy() (server string, served bool) {
	if len(h.answers) == 0 || h.answers[0].status != 200 {
		return "", false
	}
	for _, a := range h.attempts {
		if h.answers[0].detail == description(h.request.request, a.read.server) {
			return a.read.server, true
		}
	}
	return "", false
}

// checkLimits judges what processes hold, and what their logs complain of.
func (c *checker) checkLimits() {
	reported := map[int]bool{}
	for _, r := range c.report.records {
		switch r.kind {
		case nodeMeasured:
			c.report.MaxDescriptors = max(c.report.MaxDescriptors, r.descriptors)
			c.report.MaxMemoryMB = max(c.report.MaxMemoryMB, r.megabytes)
			if !reported[r.node] && (r.descriptors > maxDescriptors || r.megabytes > maxMemoryMB) {
				reported[r.node] = true
				c.violate(Limits, "", r.at, "node %d holds %d descriptors of %d and %.0f MB of %d", r.node, r.descriptors, maxDescriptors, r.megabytes, maxMemoryMB)
			}
		case nodeLoggedFault:
			c.violate(Guarded, "", r.at, "node %d logs %s", r.node, r.detail)
		}
	}
}
