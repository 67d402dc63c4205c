package soak

import (
	"cmp"
	"slices"
	"syscall"
	"time"
)

// The checks of this file judge what concerns servers and nodes; those of single requests are in judge.go.

// checkDrains judges what draining and removed servers get.
func (j *checker) checkDrains() {
	notifiedAt := map[string]time.Duration{}
	for _, r := range j.report.records {
		switch {
		case r.kind == entryPublished && r.detail != "up":
			if _, known := notifiedAt[r.server]; !known {
				notifiedAt[r.server] = r.wait
			}
		case r.kind == attemptRead:
			if at, known := notifiedAt[r.server]; known && r.at > at+drainGrace+slack+loadSlack+r.transitDelay+j.suspendedFor(r.node, at, r.at) {
				j.violate(Drained, r.request, r.at, "%s gets it %.3f s after it was told", r.server, (r.at - at).Seconds())
			}
		}
	}
}

// checkSlowStart judges what started servers get from all nodes together.
func (j *checker) checkSlowStart() {
	startedAt := map[string]time.Duration{}
	received := map[string][]time.Duration{}
	for _, r := range j.report.records {
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
				j.violate(SlowStart, r.request, r.at, "%s gets %d attempts within %v, %.1f allowed %.1f s after its start", r.server, len(recent), overloadTime, allowed, (r.at - at).Seconds())
				received[r.server] = nil // one fall, not one an attempt
			}
		}
	}
}

// checkSeats judges how many sessions of one title a node holds.
func (j *checker) checkSeats() {
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
	for id, h := range j.requests {
		if classes[h.sent.class].seats == 0 {
			continue
		}
		for _, a := range h.attempts {
			end := a.endedAt
			if a.answer {
				if end = h.endedAt[a.read.server]; end == 0 {
					end = a.endedAt // not known: it counts for the moment only
				}
			}
			end = min(end, j.nextExit(h.sent.node, a.read.at)) // the next process holds nothing of it
			key := titleAtNode{h.sent.node, h.sent.title}
			// A node hears of an end later than it is written, so what is counted is never more than it holds.
			steps[key] = append(steps[key], step{a.read.at, 1, id}, step{max(end-slack-loadSlack, a.read.at), -1, id})
		}
	}
	for key, list := range steps {
		slices.SortFunc(list, func(a, b step) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.delta, b.delta)) })
		held := map[string]int{}
		for _, x := range list {
			if held[x.id] += x.delta; held[x.id] == 0 {
				delete(held, x.id)
			}
			if x.delta > 0 && len(held) > classes[2].seats {
				j.violate(Terms, x.id, x.at, "node %d holds %d sessions of %s: %v", key.node, len(held), key.title, held)
				break
			}
		}
	}
}

// checkRetryBudget judges the further attempts of each node.
func (j *checker) checkRetryBudget() {
	type node struct{ requests, retries []time.Duration }
	nodes := map[int]*node{}
	of := func(k int) *node {
		if nodes[k] == nil {
			nodes[k] = &node{}
		}
		return nodes[k]
	}
	for _, h := range j.requests {
		n := of(h.sent.node)
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
			if j.killedWithin(k, windowStart, at) {
				allowed *= 2 // the process before has spent its own
			}
			if float64(i-firstRetry+1) > allowed {
				j.violate(RetryBudget, "", at, "node %d sends %d further attempts within %v, %.1f allowed", k, i-firstRetry+1, retryBudgetWindow, allowed)
				break
			}
		}
	}
}

// checkProcesses judges starts and ends.
func (j *checker) checkProcesses() {
	startedAt, terminatedAt := map[int]time.Duration{}, map[int]time.Duration{}
	killed, termTwice := map[int]bool{}, map[int]bool{}
	slowStarts, starts := 0, 0
	neverReady := func(k int, until time.Duration) {
		if at, starting := startedAt[k]; starting && until-at > readyTarget {
			slowStarts++
			j.violate(Ready, "", until, "node %d is not ready after %v", k, until-at)
		}
		delete(startedAt, k)
	}
	for _, r := range j.report.records {
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
				j.violate(Ready, "", r.at, "node %d is ready after %v", r.node, took)
			}
		case nodeTerminated:
			terminatedAt[r.node] = r.at
		case nodeSignalled:
			// A second signal to end cuts the drain short, which the exit code says.
			if _, asked := terminatedAt[r.node]; asked && r.detail == syscall.SIGTERM.String() {
				termTwice[r.node] = true
			}
		case nodeKilled:
			// One that stood still meanwhile has heard of SIGTERM so much later.
			if at, asked := terminatedAt[r.node]; asked && j.suspendedFor(r.node, at, r.at) == 0 {
				j.violate(Ended, "", r.at, "node %d goes on %v after SIGTERM", r.node, r.at-at)
			}
			killed[r.node] = true
			neverReady(r.node, r.at)
		case nodeExited:
			_, asked := terminatedAt[r.node]
			wrong := !asked || r.status != 0 && !termTwice[r.node]
			if !killed[r.node] && wrong && r.at < j.o.Duration+2*time.Second {
				j.violate(Ended, "", r.at, "node %d ends with %s, SIGTERM %v", r.node, r.detail, asked)
			}
			neverReady(r.node, r.at)
		}
	}
	if slowStarts*10 > starts {
		j.violate(Ready, "", 0, "%d of %d processes took over %v to be ready", slowStarts, starts, readyTarget)
	}
}
