package soak

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	frontnode "rainhaven/internal/node"
)

// buildProgram builds the program with the build tag trials and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "rainhaven")
	build := exec.Command("go", "build", "-tags", "trials", "-buildvcs=false", "-o", path, "rainhaven/cmd/rainhaven")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// shortOptions returns the options of a soak of 12 nodes and 12 s.
func shortOptions(t *testing.T, program string, seed uint64) Options {
	o := DefaultOptions()
	o.Program, o.Folder, o.Seed, o.Nodes, o.Duration = program, t.TempDir(), seed, 12, 12*time.Second
	return o
}

// Real node processes under overlapping faults violate no invariant.
func TestSoak(t *testing.T) {
	p := buildProgram(t)
	for _, seed := range []uint64{1, 2} {
		r, err := Run(context.Background(), shortOptions(t, p, seed))
		if err != nil {
			t.Fatal(err)
		}
		if !r.OK() || r.Requests < 300 || r.Served < r.Requests/2 {
			var b bytes.Buffer
			r.Write(&b)
			t.Errorf("seed %d:\n%s", seed, b.String())
		}
	}
}

// A few node processes under many simultaneous faults violate no invariant.
func TestDenseSoak(t *testing.T) {
	p := buildProgram(t)
	for _, seed := range []uint64{1, 3} { // without and with a load surge
		o := DenseOptions()
		o.Program, o.Folder, o.Seed = p, t.TempDir(), seed
		r, err := Run(context.Background(), o)
		if err != nil {
			t.Fatal(err)
		}
		if !r.OK() || r.Requests < 2000 || r.Served < 300 {
			var b bytes.Buffer
			r.Write(&b)
			t.Errorf("seed %d:\n%s", seed, b.String())
		}
	}
}

// Every scenario has a unique name, and a seed always gives the same schedule.
func TestScenarios(t *testing.T) {
	seen := map[string]bool{}
	for _, s := range scenarios {
		if s.name == "" || s.run == nil || seen[s.name] {
			t.Errorf("scenario %q", s.name)
		}
		seen[s.name] = true
	}
	if a, b := scheduleScenarios(7, DenseOptions().Duration), scheduleScenarios(7, DenseOptions().Duration); !slices.Equal(a, b) || len(a) < 10 {
		t.Errorf("seed 7 schedules %v, then %v", a, b)
	}
}

// Overlapping effects on a server are combined, and each expires on its own.
func TestEffectsOverlap(t *testing.T) {
	s := &server{log: &log{startedAt: time.Now()}}
	s.addEffect(time.Hour, makeHang)
	s.addEffect(20*time.Millisecond, func(b *behavior, _ time.Duration) { b.full = 1 })
	if b := s.currentBehavior(); b.full != 1 || b.hungUntil == 0 {
		t.Errorf("both in force: %+v", b)
	}
	time.Sleep(30 * time.Millisecond)
	if b := s.currentBehavior(); b.full != 0 || b.hungUntil == 0 {
		t.Errorf("one expired: %+v", b)
	}
}

// A change counts as notified at once, or during an outage within the platform's time limits.
func TestNotifiedBy(t *testing.T) {
	s := time.Second
	for _, c := range []struct {
		name                          string
		outageStart, silentUntil, now time.Duration
		want                          time.Duration
	}{
		{"no outage", 0, 0, 10 * s, 10 * s},
		{"in a short outage", 8 * s, 11 * s, 10 * s, 12 * s},
		{"in a long outage", 8 * s, 16 * s, 10 * s, 17 * s},
		{"just after a short one", 8 * s, 9 * s, 10 * s, 12 * s},
		{"well after one", 2 * s, 3 * s, 10 * s, 10 * s},
	} {
		coord := &coordinator{}
		for i := range coord.replicas {
			coord.replicas[i] = &replica{coord: coord}
		}
		coord.replicas[1].outageStart, coord.replicas[1].silentUntil = c.outageStart, c.silentUntil
		if got := coord.notifiedBy(c.now); got != c.want {
			t.Errorf("%s: notified by %v, want %v", c.name, got, c.want)
		}
	}
}

// expectedViolation maps each sabotage to the invariant that it must violate.
var expectedViolation = map[frontnode.Sabotage]Invariant{
	frontnode.SabotageAnswer: Answered, frontnode.SabotageTwice: Answered, frontnode.SabotageRefusal: NotRepeated,
	frontnode.SabotageRepeat: NotRepeated, frontnode.SabotageOverlap: OneAttempt, frontnode.SabotageDrain: Drained,
	frontnode.SabotageSlowStart: SlowStart, frontnode.SabotageFloor: Terms, frontnode.SabotageSeats: Terms,
	frontnode.SabotageBudget: RetryBudget, frontnode.SabotageCancel: NotAfterEnd, frontnode.SabotageDeadline: Deadline,
	frontnode.SabotageReady: Ready, frontnode.SabotageExit: Ended,
	frontnode.SabotageRelease: Released, frontnode.SabotageCarrier: Released, frontnode.SabotageCut: Cut, frontnode.SabotageList: Drained, frontnode.SabotageDescriptors: Limits,
	frontnode.SabotageGuard: Guarded, frontnode.SabotageClose: Answered,
}

// Each sabotage violates an invariant, and each invariant is violated by a sabotage.
func TestEachInvariantHasASabotage(t *testing.T) {
	seen := map[Invariant]bool{}
	for _, s := range frontnode.Sabotages {
		if expectedViolation[s] == "" {
			t.Errorf("no invariant for sabotage %s", s)
		}
		seen[expectedViolation[s]] = true
	}
	for _, i := range Invariants {
		if !seen[i] {
			t.Errorf("no sabotage violates %q", i)
		}
	}
}

// A soak of sabotaged nodes reports the expected violation. Only three sabotages run by default, all with SOAK_SABOTAGES set.
// Sabotages that need particular faults or many processes are run with `rainhaven soak --sabotage`.
func TestSabotagesAreCaught(t *testing.T) {
	p := buildProgram(t)
	list := []frontnode.Sabotage{frontnode.SabotageAnswer, frontnode.SabotageOverlap, frontnode.SabotageDeadline}
	if os.Getenv("SOAK_SABOTAGES") != "" {
		list = frontnode.Sabotages
	}
	for _, s := range list {
		t.Run(string(s), func(t *testing.T) {
			o := shortOptions(t, p, 1)
			o.Sabotage = s
			r, err := Run(context.Background(), o)
			if err != nil {
				t.Fatal(err)
			}
			var b bytes.Buffer
			r.Write(&b)
			if !strings.Contains(b.String(), "violated: ") {
				t.Fatalf("no violation reported:\n%s", b.String())
			}
			for _, v := range r.Violations {
				if v.Invariant == expectedViolation[s] {
					return
				}
			}
			t.Errorf("%q was not violated:\n%s", expectedViolation[s], b.String())
		})
	}
}

// seatedID is the id of the k-th session of seated.
func seatedID(k int) string { return requestID(3, uint64(100+k)) }

// seated returns the records of sessions of one title in the class with seats, which start 0.5 s after each other and end together.
func seated(count int) (list []record) {
	const ms = time.Millisecond
	for k := range count {
		at, id, server := time.Duration(1000+500*k)*ms, seatedID(k), fmt.Sprintf("s-%d", k)
		list = append(list, record{at: at, kind: requestSent, request: id, node: 3, class: 2, wait: 1200 * ms, title: "t"},
			record{at: at + 10*ms, kind: attemptRead, request: id, server: server, node: 3, wait: 300 * ms},
			record{at: at + 20*ms, kind: attemptAnswered, request: id, server: server, node: 3, status: 200},
			record{at: at + 30*ms, kind: answerRead, request: id, node: 3, status: 200, detail: description(id, server)},
			record{at: 5 * time.Second, kind: sessionEnded, request: id, server: server, status: causeMoved})
	}
	return list
}

// The checker alone, on hand-written records: valid requests pass, and each kind of violation is found.
func TestCheck(t *testing.T) {
	const id = "0003000000000007"
	sent := record{at: time.Second, kind: requestSent, request: id, node: 3, class: 1, wait: 1430 * time.Millisecond, title: "t", peer: "a"}
	attempt := func(at time.Duration, server string) record {
		return record{at: at, kind: attemptRead, request: id, server: server, node: 3, rung: 1, wait: 300 * time.Millisecond}
	}
	answered := func(at time.Duration, server string, status int) record {
		return record{at: at, kind: attemptAnswered, request: id, server: server, node: 3, status: status}
	}
	read := func(at time.Duration, status int, body string) record {
		return record{at: at, kind: answerRead, request: id, node: 3, status: status, detail: body}
	}
	ms := time.Millisecond
	clean := []record{sent, attempt(1010*ms, "s-1"), answered(1020*ms, "s-1", 453), attempt(1030*ms, "s-2"), answered(1040*ms, "s-2", 200), read(1050*ms, 200, description(id, "s-2"))}
	replaced := append(append([]record{}, clean...), record{at: 1500 * ms, kind: connectionEnded, node: 3, detail: "a"}, record{at: 1500 * ms, kind: replacementOpened, node: 3, peer: "b"},
		record{at: 2 * time.Second, kind: sessionEnded, request: id, server: "s-2", status: 16}, record{at: 2 * time.Second, kind: releaseWritten, request: id, server: "s-2", node: 3, peer: "c"})
	wrongOrder := func(class int) []record { // s-1 was sent the first attempt, which was given up
		request := sent
		request.class, request.wait = class, classes[class].deadline
		return []record{request, attempt(1010*ms, "s-2"), attempt(1011*ms, "s-1"), {at: 1012 * ms, kind: attemptCancelled, request: id, server: "s-1", node: 3}, answered(1200*ms, "s-2", 500), read(1210*ms, 500, "")}
	}
	for _, c := range []struct {
		name string
		list []record
		want Invariant
	}{
		{"clean", clean, ""},
		{"cancelled", []record{sent, {at: 1100 * ms, kind: requestCancelled, request: id, node: 3}}, ""},
		{"node killed", []record{sent, {at: 1100 * ms, kind: nodeKilled, node: 3}}, ""},
		{"crossed a close", []record{sent, {at: 1020 * ms, kind: requestAborted, request: id, node: 3}}, ""},
		{"no answer", clean[:5], Answered},
		{"two answers", append(append([]record{}, clean...), read(1060*ms, 503, "")), Answered},
		{"answer of another server", append(append([]record{}, clean[:5]...), read(1050*ms, 200, description(id, "s-1"))), Answered},
		{"late answer", append(append([]record{}, clean[:5]...), read(3500*ms, 200, description(id, "s-2"))), Answered},
		{"closed without an answer", []record{sent, {at: 1300 * ms, kind: requestAborted, request: id, node: 3}}, Answered},
		{"retried after it may have run", []record{sent, attempt(1010*ms, "s-1"), answered(1020*ms, "s-1", 500), attempt(1030*ms, "s-2"), read(1050*ms, 500, "")}, NotRepeated},
		{"refused after it may have run", []record{sent, attempt(1010*ms, "s-1"), answered(1020*ms, "s-1", 500), read(1050*ms, 503, "")}, NotRepeated},
		{"two attempts in flight", []record{sent, attempt(1010*ms, "s-1"), attempt(1030*ms, "s-2"), answered(1200*ms, "s-1", 453), answered(1200*ms, "s-2", 200), read(1210*ms, 200, description(id, "s-2"))}, OneAttempt},
		{"attempt after its client cancelled", []record{sent, {at: 1100 * ms, kind: requestCancelled, request: id, node: 3}, attempt(1400*ms, "s-1")}, NotAfterEnd},
		{"deadline too long", []record{sent, {at: 2000 * ms, kind: attemptRead, request: id, server: "s-1", rung: 1, wait: 900 * ms}, read(2100*ms, 500, "")}, Deadline},
		{"below the floor", []record{sent, {at: 1010 * ms, kind: attemptRead, request: id, server: "s-1", rung: 0}, read(1100*ms, 500, "")}, Terms},
		{"release not reported", append(append([]record{}, clean...), record{at: 2 * time.Second, kind: sessionEnded, request: id, server: "s-2", status: 16}, record{at: 2 * time.Second, kind: releaseWritten, request: id, server: "s-2", node: 3}), Released},
		{"release reported late", append(append([]record{}, clean...), record{at: 2 * time.Second, kind: sessionEnded, request: id, server: "s-2", status: 16}, record{at: 2 * time.Second, kind: releaseWritten, request: id, server: "s-2", node: 3}, record{at: 3500 * ms, kind: releaseRead, request: id, node: 3}), Released},
		{"server died, release not reported", append(append([]record{}, clean...), record{at: 2 * time.Second, kind: serverDied, server: "s-2", node: -1}), Released},
		{"replaced, release not reported in time", append(append([]record{}, replaced...), record{at: 4 * time.Second, kind: releaseRead, request: id, node: 3}), Released},
		{"replaced, release written again later, not reported in time", append(append([]record{}, replaced...), record{at: 3900 * ms, kind: releaseWritten, request: id, server: "s-2", node: 3, peer: "d"}, record{at: 4 * time.Second, kind: releaseRead, request: id, node: 3}), Released},
		{"replaced, release lost with its connection and written again", append(append([]record{}, replaced...), record{at: 2100 * ms, kind: serverConnEnded, server: "s-2", node: -1, peer: "c"}, record{at: 3900 * ms, kind: releaseWritten, request: id, server: "s-2", node: 3, peer: "d"}, record{at: 4 * time.Second, kind: releaseRead, request: id, node: 3}), ""},
		{"replaced, release reported in time", append(append([]record{}, replaced...), record{at: 2900 * ms, kind: releaseRead, request: id, node: 3}), ""},
		{"replaced beside a useless connection", append(append([]record{{at: 1900 * ms, kind: uselessOpened, node: 3, wait: time.Second}}, replaced...), record{at: 4 * time.Second, kind: releaseRead, request: id, node: 3}), ""},
		{"named after a restart, release not reported", append(append([]record{}, clean...), record{at: 1500 * ms, kind: nodeExited, node: 3}, record{at: 2 * time.Second, kind: sessionNamed, request: id, server: "s-2", node: 3}, record{at: 3 * time.Second, kind: sessionEnded, request: id, server: "s-2", status: 16}, record{at: 3 * time.Second, kind: releaseWritten, request: id, server: "s-2", node: 3}), Released},
		{"ended by its client, not torn down", append(append([]record{}, clean...), record{at: 2 * time.Second, kind: sessionEndedByClient, request: id, node: 3}), Cut},
		{"ended by its client, torn down", append(append([]record{}, clean...), record{at: 2 * time.Second, kind: sessionEndedByClient, request: id, node: 3}, record{at: 2100 * ms, kind: attemptCancelled, request: id, server: "s-2", node: 3}), ""},
		{"replaced beside a useless connection, its address used again", append(append([]record{{at: 1900 * ms, kind: uselessOpened, node: 3, wait: time.Second}}, replaced...), record{at: 4 * time.Second, kind: releaseRead, request: id, node: 3}, record{at: 9 * time.Second, kind: connectionEnded, node: 3, detail: "a"}), ""},
		{"two attempts recorded in the wrong order", wrongOrder(0), ""},
		{"retried after it may have run, recorded in the wrong order", wrongOrder(1), NotRepeated},
		{"retried after a refusal, its connection ended at once", []record{sent, attempt(1010*ms, "s-1"), answered(1011*ms, "s-1", 453), attempt(1012*ms, "s-2"), {at: 1012*ms + 100*time.Microsecond, kind: attemptCancelled, request: id, server: "s-2", node: -1}, read(1013*ms, 500, "")}, ""},
		{"replaced, the server had no connection", append(append([]record{}, replaced[:len(replaced)-1]...), record{at: 4 * time.Second, kind: releaseRead, request: id, node: 3}), ""},
		{"a session too many", seated(3), Terms},
		{"a session too many, one ended by its client", append(seated(3), record{at: 1200 * ms, kind: sessionEndedByClient, request: seatedID(0), node: 3}), ""},
		{"a session too many, one torn down at an unreachable server", append(seated(3), record{at: 1900 * ms, kind: attemptCancelled, request: seatedID(0), server: "s-0", node: 3, transitDelay: 700 * ms}), ""},
		{"too many descriptors", []record{{at: time.Second, kind: nodeMeasured, node: 3, descriptors: maxDescriptors + 1}}, Limits},
		{"too much memory", []record{{at: time.Second, kind: nodeMeasured, node: 3, megabytes: maxMemoryMB + 1}}, Limits},
		{"fault in the log", []record{{at: time.Second, kind: nodeLoggedFault, node: 3, detail: "panic: x"}}, Guarded},
		{"read and closed at once", []record{sent, {at: 1020 * ms, kind: requestAborted, request: id, node: 3, detail: detailRead}}, Answered},
		{"attempt after a drain", []record{sent, {at: 100 * ms, kind: entryPublished, server: "s-1", detail: "draining", wait: 100 * ms}, attempt(1010*ms, "s-1"), read(1100*ms, 500, "")}, Drained},
	} {
		slices.SortStableFunc(c.list, func(a, b record) int { return cmp.Compare(a.at, b.at) })
		r := check(c.list, DefaultOptions())
		found := c.want == ""
		for _, v := range r.Violations {
			found = found || v.Invariant == c.want
		}
		if !found || c.want == "" && !r.OK() {
			t.Errorf("%s: got %v, want %q", c.name, r.Violations, c.want)
		}
	}
}

// A reload leaves the configuration alone while a process starts: it read half a file and exited with status 1.
func TestReloadLeavesAStartingProcessItsConfiguration(t *testing.T) {
	l := &log{startedAt: time.Now()}
	coord, err := newCoordinator(l)
	if err != nil {
		t.Fatal(err)
	}
	defer coord.close()
	n := &node{folder: t.TempDir(), listen: "127.0.0.1:1", nodes: 1, log: l, coord: coord}
	if err := os.WriteFile(n.config(), []byte("whole"), 0o600); err != nil {
		t.Fatal(err)
	}
	n.reload(true)
	if text, err := os.ReadFile(n.config()); err != nil || string(text) != "whole" {
		t.Errorf("the configuration is %q, %v", text, err)
	}
}

// A reader that waits with an answer for the end of a partition counts the wait as the delay of the messages behind it: they were
// judged by when they were read.
func TestReplyInAPartitionDelaysWhatFollows(t *testing.T) {
	const partition = 50 * time.Millisecond
	a, b := net.Pipe()
	defer a.Close()
	go io.Copy(io.Discard, b)
	s := &server{log: &log{startedAt: time.Now()}, rand: rand.New(rand.NewPCG(1, 1))}
	time.Sleep(2 * backlogWindow) // the soak has run for a while
	s.addEffect(partition, makeUnreachable)
	c := &serverConn{Conn: a, server: s, node: -1}
	if !c.reply([]byte("x")) {
		t.Fatal("not sent")
	}
	if delay := c.awaitReachable(); delay < partition/2 {
		t.Errorf("the next message counts as delayed by %v", delay)
	}
}
