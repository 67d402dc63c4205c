package soak

import "time"

// The checks of this file judge what is owed after a session's end, and what processes hold and log.

const (
	// releaseTime is within how long after its server's release a session's client is told, and lateRelease where its
	// connection is gone, or its server is.
	releaseTime, lateRelease = time.Second, 8 * time.Second
	// causeEnded and causeBroken are the ends of which a client is told; it knows of its own.
	causeEnded, causeBroken = 16, 41
)

// released judges that the clients of sessions that ended were told.
func (j *judgement) released() {
	gone := map[string]time.Duration{} // by a client's end of a connection
	died := map[string]time.Duration{}
	for _, r := range j.report.list {
		switch r.kind {
		case connectionEnded:
			gone[r.detail] = r.at
		case serverDied:
			died[r.server] = r.at
		}
	}
	for _, id := range j.order {
		h := j.requests[id]
		server, stood := h.servedBy()
		if !stood {
			continue
		}
		end, within := h.releaseWritten, releaseTime
		if h.ended[server] == 0 {
			if end = died[server]; end == 0 {
				continue // it stands still, or its end was not its server's
			}
			within = lateRelease
		} else if h.cause != causeEnded && h.cause != causeBroken {
			continue
		} else if end == 0 { // its server found no connection to write it to
			end, within = h.ended[server], lateRelease
		}
		if at, known := gone[h.sent.peer]; known && at < end+within {
			within = lateRelease
		}
		if at := died[server]; at > end && at < end+within { // what it wrote last may have ended with it
			end, within = at, lateRelease
		}
		limit := end + within + slack + busyMachine
		limit += j.stood(h.sent.node, end, limit)
		if limit > j.o.Duration || j.nextExit(h.sent.node, h.sent.at) < limit {
			continue
		}
		if len(h.released) == 0 {
			j.broken(Released, id, limit, "its end at %s is not told to its client", server)
		} else if at := h.released[0]; at > limit {
			j.broken(Released, id, at, "its end at %s is told %.3f s later", server, (at - end).Seconds())
		}
	}
}

// servedBy is the server whose answer the client has; false where it has none.
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

// limits judges what processes hold, and what their logs complain of.
func (j *judgement) limits() {
	over := map[int]bool{}
	for _, r := range j.report.list {
		switch r.kind {
		case nodeMeasured:
			j.report.MaxDescriptors = max(j.report.MaxDescriptors, r.descriptors)
			j.report.MaxMemoryMB = max(j.report.MaxMemoryMB, r.megabytes)
			if !over[r.node] && (r.descriptors > sockets || r.megabytes > memoryMB) {
				over[r.node] = true
				j.broken(Limits, "", r.at, "node %d holds %d descriptors of %d and %.0f MB of %d", r.node, r.descriptors, sockets, r.megabytes, memoryMB)
			}
		case nodeComplained:
			j.broken(Guarded, "", r.at, "node %d logs %s", r.node, r.detail)
		}
	}
}
