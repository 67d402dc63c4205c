package soak

import (
	"cmp"
	"slices"
	"syscall"
	"time"
)

// The checks of this file judge what concerns servers and nodes; those of single requests are in judge.go.

// drained judges what draining and removed servers get.
func (j *judgement) drained() {
	told := map[string]time.Duration{}
	for _, r := range j.report.list {
		switch {
		case r.kind == entryTold && r.detail != "up":
			if _, known := told[r.server]; !known {
				told[r.server] = r.wait
			}
		case r.kind == attemptRead:
			if at, known := told[r.server]; known && r.at > at+grace+slack+busyMachine+r.held+j.stood(r.node, at, r.at) {
				j.broken(Drained, r.request, r.at, "%s gets it %.3f s after it was told", r.server, (r.at - at).Seconds())
			}
		}
	}
}

// slowStart judges what started servers get from all nodes together.
func (j *judgement) slowStart() {
	started := map[string]time.Duration{}
	got := map[string][]time.Duration{}
	for _, r := range j.report.list {
		if r.kind == entryTold && r.detail == "up" && r.at > quietStart {
			started[r.server] = r.at
		}
		if at, cold := started[r.server]; r.kind == attemptRead && cold && r.held == 0 && r.at-at < warmUp {
			list := append(got[r.server], r.at)
			for len(list) > 0 && list[0] < r.at-fallTime {
				list = list[1:]
			}
			got[r.server] = list
			if most := coldBudget(r.at - at); float64(len(list)) > most {
				j.broken(SlowStart, r.request, r.at, "%s gets %d attempts within %v, %.1f allowed %.1f s after its start", r.server, len(list), fallTime, most, (r.at - at).Seconds())
				got[r.server] = nil // one fall, not one an attempt
			}
		}
	}
}

// seats judges how many sessions of one title a node holds.
func (j *judgement) seats() {
	type holding struct {
		node  int
		title string
	}
	type step struct {
		at   time.Duration
		more int
		id   string
	}
	steps := map[holding][]step{}
	for id, h := range j.requests {
		if classes[h.sent.class].seats == 0 {
			continue
		}
		for _, a := range h.attempts {
			end := a.until
			if a.answer {
				if end = h.ended[a.read.server]; end == 0 {
					end = a.until // not known: it counts for the moment only
				}
			}
			end = min(end, j.nextExit(h.sent.node, a.read.at)) // the next process holds nothing of it
			key := holding{h.sent.node, h.sent.title}
			// A node hears of an end later than it is written, so what is counted is never more than it holds.
			steps[key] = append(steps[key], step{a.read.at, 1, id}, step{max(end-slack-busyMachine, a.read.at), -1, id})
		}
	}
	for key, list := range steps {
		slices.SortFunc(list, func(a, b step) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.more, b.more)) })
		held := map[string]int{}
		for _, x := range list {
			if held[x.id] += x.more; held[x.id] == 0 {
				delete(held, x.id)
			}
			if x.more > 0 && len(held) > classes[2].seats {
				j.broken(Terms, x.id, x.at, "node %d holds %d sessions of %s: %v", key.node, len(held), key.title, held)
				break
			}
		}
	}
}

// budget judges the further attempts of each node.
func (j *judgement) budget() {
	type node struct{ read, further []time.Duration }
	nodes := map[int]*node{}
	of := func(k int) *node {
		if nodes[k] == nil {
			nodes[k] = &node{}
		}
		return nodes[k]
	}
	for _, h := range j.requests {
		n := of(h.sent.node)
		n.read = append(n.read, h.sent.at)
		for k, a := range h.attempts {
			if k > 0 {
				n.further = append(n.further, a.read.at)
			}
		}
	}
	for k, n := range nodes {
		slices.Sort(n.read)
		slices.Sort(n.further)
		for i, at := range n.further {
			from := at - budgetWindow
			first, _ := slices.BinarySearch(n.further, from)
			since, _ := slices.BinarySearch(n.read, from-busyMachine)
			until, _ := slices.BinarySearch(n.read, at+busyMachine)
			most := (budgetSpare+budgetShare*float64(until-since))*budgetWider + budgetMore
			if j.killedWithin(k, from, at) {
				most *= 2 // the process before has spent its own
			}
			if float64(i-first+1) > most {
				j.broken(RetryBudget, "", at, "node %d sends %d further attempts within %v, %.1f allowed", k, i-first+1, budgetWindow, most)
				break
			}
		}
	}
}

// processes judges starts and ends.
func (j *judgement) processes() {
	started, ending := map[int]time.Duration{}, map[int]time.Duration{}
	killed, hurried := map[int]bool{}, map[int]bool{}
	slow, all := 0, 0
	neverReady := func(k int, until time.Duration) {
		if at, starting := started[k]; starting && until-at > slowReady {
			slow++
			j.broken(Ready, "", until, "node %d is not ready after %v", k, until-at)
		}
		delete(started, k)
	}
	for _, r := range j.report.list {
		switch r.kind {
		case nodeStarted:
			started[r.node], killed[r.node], hurried[r.node] = r.at, false, false
			delete(ending, r.node)
			all++
		case nodeReady:
			took := r.at - started[r.node]
			delete(started, r.node)
			if took > slowReady {
				slow++
			}
			if took > lastReady {
				j.broken(Ready, "", r.at, "node %d is ready after %v", r.node, took)
			}
		case nodeTerminated:
			ending[r.node] = r.at
		case nodeSignalled:
			// A second signal to end cuts the drain short, which the exit code says.
			if _, asked := ending[r.node]; asked && r.detail == syscall.SIGTERM.String() {
				hurried[r.node] = true
			}
		case nodeKilled:
			// One that stood still meanwhile has heard of SIGTERM so much later.
			if at, asked := ending[r.node]; asked && j.stood(r.node, at, r.at) == 0 {
				j.broken(Ended, "", r.at, "node %d goes on %v after SIGTERM", r.node, r.at-at)
			}
			killed[r.node] = true
			neverReady(r.node, r.at)
		case nodeExited:
			_, asked := ending[r.node]
			wrong := !asked || r.status != 0 && !hurried[r.node]
			if !killed[r.node] && wrong && r.at < j.o.Duration+2*time.Second {
				j.broken(Ended, "", r.at, "node %d ends with %s, SIGTERM %v", r.node, r.detail, asked)
			}
			neverReady(r.node, r.at)
		}
	}
	if slow*10 > all {
		j.broken(Ready, "", 0, "%d of %d processes took over %v to be ready", slow, all, slowReady)
	}
}
