package soak

import (
	"cmp"
	"maps"
	"slices"
	"syscall"
	"time"
)

// This file checks rules that concern servers and nodes; judge.go checks single requests.

// checkDrains checks that draining and removed servers get no attempts after the grace.
func (c *checker) checkDrains() {
	notifiedAt := map[string]time.Duration{}
	for _, r := range c.report.records {
		switch {
		case r.kind == entryPublished && r.detail != "up":
			if _, known := notifiedAt[r.server]; !known {
				notifiedAt[r.server] = r.wait
			}
		case r.kind == attemptRead:
			if at, known := notifiedAt[r.server]; known && r.at > at+drainGrace+socketSlack+loadSlack+r.transitDelay+c.suspendedFor(r.node, at, r.at) {
				c.violate(Drained, r.request, r.at, "%s got it %.3f s after its drain or removal was notified", r.server, (r.at - at).Seconds())
			}
		}
	}
}

// checkSlowStart checks the attempts that newly started servers get from all nodes together.
func (c *checker) checkSlowStart() {
	startedAt := map[string]time.Duration{}
	received := map[string][]time.Duration{}
	for _, r := range c.report.records {
		if r.kind == entryPublished && r.detail == "up" && r.at > quietStart {
			startedAt[r.server] = r.at
		}
		if at, cold := startedAt[r.server]; r.kind == attemptRead && cold && r.transitDelay == 0 && r.at-at < warmUp {
			recent := append(received[r.server], r.at)
			for len(recent) > 0 && recent[0] < r.at-overloadTime {
				recent = recent[1:]
			}
			received[r.server] = recent
			if allowed := slowStartBudget(r.at - at); float64(len(recent)) > allowed {
				c.violate(SlowStart, r.request, r.at, "%s got %d attempts within %v, %.1f allowed %.1f s after its start", r.server, len(recent), overloadTime, allowed, (r.at - at).Seconds())
				received[r.server] = nil // one violation for each overload, not for each attempt
			}
		}
	}
}

// checkSeats checks the number of sessions of one title on a node.
func (c *checker) checkSeats() {
	type titleAtNode struct {
		node  int
		title string
	}
	type step struct {
		at    time.Duration
		delta int
		id    string
	}
	steps := map[titleAtNode][]step{}
	for id, h := range c.requests {
		if classes[h.sent.class].seats == 0 {
			continue
		}
		for _, a := range h.attempts {
			end := a.endedAt
			if a.answered {
				if end = h.endedAt[a.read.server]; end == 0 {
					end = a.endedAt // the session's end is unknown, so it counts only until its answer
				}
				end = min(end, a.tornDown)
			}
			if at := h.endedByClient.at; at > 0 { // the node no longer holds it, though its server may be unreachable
				end = min(end, at)
			}
			end = min(end, c.nextExit(h.sent.node, a.read.at)) // the next process does not inherit it
			key := titleAtNode{h.sent.node, h.sent.title}
			// A node learns of an end after it is written, so the count never exceeds what the node holds.
			steps[key] = append(steps[key], step{a.read.at, 1, id}, step{max(end-socketSlack-loadSlack, a.read.at), -1, id})
		}
	}
	for key, changes := range steps {
		slices.SortFunc(changes, func(a, b step) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.delta, b.delta)) })
		held := map[string]int{}
		for _, step := range changes {
			if held[step.id] += step.delta; held[step.id] == 0 {
				delete(held, step.id)
			}
			if step.delta > 0 && len(held) > classes[2].seats {
				c.violate(Terms, step.id, step.at, "node %d has %d sessions of %s", key.node, len(held), key.title)
				delete(held, step.id)
				c.report.Violations[len(c.report.Violations)-1].Related = slices.Sorted(maps.Keys(held))
				break
			}
		}
	}
}

// checkRetryBudget checks the number of retries of each node.
func (c *checker) checkRetryBudget() {
	type node struct{ requests, retries []time.Duration }
	nodes := map[int]*node{}
	nodeFor := func(k int) *node {
		if nodes[k] == nil {
			nodes[k] = &node{}
		}
		return nodes[k]
	}
	for _, h := range c.requests {
		n := nodeFor(h.sent.node)
		n.requests = append(n.requests, h.sent.at)
		for k, a := range h.attempts {
			if k > 0 {
				n.retries = append(n.retries, a.read.at)
			}
		}
	}
	for k, n := range nodes {
		slices.Sort(n.requests)
		slices.Sort(n.retries)
		for i, at := range n.retries {
			windowStart := at - retryBudgetWindow
			firstRetry, _ := slices.BinarySearch(n.retries, windowStart)
			firstRequest, _ := slices.BinarySearch(n.requests, windowStart-loadSlack)
			lastRequest, _ := slices.BinarySearch(n.requests, at+loadSlack)
			allowed := (retryBudgetBase+retryBudgetShare*float64(lastRequest-firstRequest))*budgetFactor + budgetMargin
			if c.killedWithin(k, windowStart, at) {
				allowed *= 2 // the previous process had a budget of its own
			}
			if float64(i-firstRetry+1) > allowed {
				c.violate(RetryBudget, "", at, "node %d sent %d retries within %v, %.1f allowed", k, i-firstRetry+1, retryBudgetWindow, allowed)
				break
			}
		}
	}
}

// checkProcesses checks the starts and exits of node processes.
func (c *checker) checkProcesses() {
	startedAt, terminatedAt := map[int]time.Duration{}, map[int]time.Duration{}
	killed, termTwice := map[int]bool{}, map[int]bool{}
	slowStarts, starts := 0, 0
	checkNotReady := func(k int, until time.Duration) {
		if at, starting := startedAt[k]; starting && until-at > readyTarget {
			slowStarts++
			c.violate(Ready, "", until, "node %d not ready after %v", k, until-at)
		}
		delete(startedAt, k)
	}
	for _, r := range c.report.records {
		switch r.kind {
		case nodeStarted:
			startedAt[r.node], killed[r.node], termTwice[r.node] = r.at, false, false
			delete(terminatedAt, r.node)
			starts++
		case nodeReady:
			took := r.at - startedAt[r.node]
			delete(startedAt, r.node)
			if took > readyTarget {
				slowStarts++
			}
			if took > readyLimit {
				c.violate(Ready, "", r.at, "node %d ready after %v", r.node, took)
			}
		case nodeTerminated:
			terminatedAt[r.node] = r.at
		case nodeSignalled:
			// A second SIGTERM cuts the drain short, which the exit code reports.
			if _, terminating := terminatedAt[r.node]; terminating && r.detail == syscall.SIGTERM.String() {
				termTwice[r.node] = true
			}
		case nodeKilled:
			// A process suspended in between received SIGTERM later.
			if at, terminating := terminatedAt[r.node]; terminating && c.suspendedFor(r.node, at, r.at) == 0 {
				c.violate(Ended, "", r.at, "node %d still running %v after SIGTERM", r.node, r.at-at)
			}
			killed[r.node] = true
			checkNotReady(r.node, r.at)
		case nodeExited:
			_, terminating := terminatedAt[r.node]
			unexpected := !terminating || r.status != 0 && !termTwice[r.node]
			if !killed[r.node] && unexpected && r.at < c.o.Duration+2*time.Second {
				c.violate(Ended, "", r.at, "node %d ended with %s, SIGTERM sent: %v", r.node, r.detail, terminating)
			}
			checkNotReady(r.node, r.at)
		}
	}
	if slowStarts*10 > starts {
		c.violate(Ready, "", 0, "%d of %d processes took more than %v to become ready", slowStarts, starts, readyTarget)
	}
}
