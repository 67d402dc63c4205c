// Package fleet decides how the fronts of one machine are kept running: which to start, stop or kill next, how long to wait
// before restarting a front that failed, and how a rolling restart proceeds. It does no I/O.
//
// Call New once. For each event, set the clock with SetTime and call the method for that event, then Reconcile, which
// compares the wanted and the actual state of each instance and calls the Actions that are due. NextWakeup returns when
// Reconcile must run even if no event arrives.
package fleet

import (
	"fmt"
	"math"
	"strings"

	"rainhaven/choice/lifecycle"
)

// Phase is the state of an instance.
type Phase int

// The phases. An instance is Up once its health check has reported ready; it may have become unready since.
const (
	Down Phase = iota
	Starting
	Up
	Stopping
)

func (p Phase) String() string { return [...]string{"down", "starting", "up", "stopping"}[p] }

// Actions carries out the decisions of a Fleet. Each Start is followed by one call to Exited, for whatever reason the process
// ended.
type Actions interface {
	Start(n int)
	Stop(n int) // tell the front to drain and exit
	Kill(n int)
}

// Config holds the settings of a fleet.
type Config struct {
	Fronts              int
	MaxUnavailableShare float64 // share of the fronts that a rolling restart or the initial start may have down or starting
	DrainSeconds        float64 // how long the sessions of a front may continue when it is stopped
}

const (
	// A front normally serves within 0.1 s of its start; with a hundred starting on four cores it takes some seconds. One
	// that is not ready by this time is not going to be and is killed.
	readyTimeoutSeconds = 30.0
	// Time after the drain for a front to end its sessions and exit. One that takes longer is killed.
	exitTimeoutSeconds = 10.0
	// A front that has not reported itself live for this long hangs and is killed. Health is polled each second and answers
	// within 0.5 s, so ten missed answers are more than a brief delay on a loaded machine.
	healthTimeoutSeconds = 10.0
	// Backoff between restarts. The restart after the first failure is immediate, because viewers are waiting. The delay then
	// doubles with each failure, so that a front that fails because of its settings doesn't restart in a loop; the maximum
	// leaves an operator time to notice.
	initialBackoffSeconds, maxBackoffSeconds = 0.5, 60.0
	// A front that was up for this long did not fail because of its start: its failures are counted from zero again.
	stableSeconds = 60.0
)

type instance struct {
	phase      Phase
	wanted     bool
	generation int // of the running process
	ready      bool
	phaseSince float64
	lastLiveAt float64 // last health report that said live
	killed     bool    // Kill was called for the running process
	failures   int     // consecutive
	startAt    float64 // earliest next start
	lastExit   string  // how the last process ended
}

// Fleet manages the fronts of one machine.
type Fleet struct {
	config     Config
	actions    Actions
	now        float64
	instances  []instance
	generation int    // wanted; a rolling restart increments it
	heldReason string // why the rolling restart is held; empty if it is not
	shutdown   bool   // all instances are to end
}

// New returns a fleet with no instance running and all instances wanted.
func New(now float64, c Config, actions Actions) *Fleet {
	f := &Fleet{config: c, actions: actions, now: now, instances: make([]instance, c.Fronts)}
	for i := range f.instances {
		f.instances[i].wanted = true
	}
	return f
}

// SetTime sets the clock. Earlier times are ignored.
func (f *Fleet) SetTime(now float64) { f.now = max(f.now, now) }

// maxUnavailable is how many fronts may be unavailable at a time, at least one.
func (f *Fleet) maxUnavailable() int {
	return max(int(f.config.MaxUnavailableShare*float64(f.config.Fronts)), 1)
}

func (f *Fleet) setPhase(n int, p Phase) {
	f.instances[n].phase, f.instances[n].phaseSince = p, f.now
}

// Exited records that the process of an instance has ended or could not be started.
func (f *Fleet) Exited(n, code int, reason string) {
	i := &f.instances[n]
	requested := i.phase == Stopping
	stable := i.phase == Up && f.now-i.phaseSince >= stableSeconds
	i.lastExit = fmt.Sprintf("exit %d %s", code, reason)
	i.ready, i.killed = false, false
	f.setPhase(n, Down)
	switch {
	case requested:
		i.failures, i.startAt = 0, f.now
		return
	case code == int(lifecycle.ExitUsage): // a restart can't mend it
		i.wanted = false
		i.lastExit += "; it is not started again"
		return
	case stable:
		i.failures = 0
	}
	i.failures++
	i.startAt = f.now + min(initialBackoffSeconds*math.Pow(2, float64(i.failures-1)), maxBackoffSeconds)
	if i.failures == 1 {
		i.startAt = f.now
	}
	if i.generation == f.generation && f.restarting() && f.heldReason == "" {
		f.heldReason = fmt.Sprintf("front %d fell after its restart (%s)", n, i.lastExit)
	}
}

// ReportHealth records an instance's answer to a health check.
func (f *Fleet) ReportHealth(n int, live, ready bool) {
	i := &f.instances[n]
	if i.phase == Down {
		return
	}
	if live {
		i.lastLiveAt = f.now
	}
	i.ready = ready
	if ready && i.phase == Starting {
		f.setPhase(n, Up)
	}
}

// SetWanted sets whether an instance is to run. One that is not wanted is stopped and stays down.
func (f *Fleet) SetWanted(n int, run bool) {
	if i := &f.instances[n]; !f.shutdown && i.wanted != run {
		i.wanted, i.failures, i.startAt = run, 0, f.now
	}
}

// StartRollingRestart starts a rolling restart of all running instances. A restart that was held starts again from the
// beginning.
func (f *Fleet) StartRollingRestart() {
	f.generation++
	f.heldReason = ""
}

// Shutdown stops all instances. None is started again.
func (f *Fleet) Shutdown() {
	f.shutdown = true
	for i := range f.instances {
		f.instances[i].wanted = false
	}
}

// IsShutDown reports whether Shutdown was called.
func (f *Fleet) IsShutDown() bool { return f.shutdown }

// Finished reports whether no instance is running or wanted.
func (f *Fleet) Finished() bool {
	for _, i := range f.instances {
		if i.wanted || i.phase != Down {
			return false
		}
	}
	return true
}

// restarting reports whether some instance has yet to be restarted by the rolling restart.
func (f *Fleet) restarting() bool {
	for _, i := range f.instances {
		if i.wanted && i.generation < f.generation {
			return true
		}
	}
	return false
}

// Status is the state of an instance as shown to operators. The JSON names are read by operators' tools.
type Status struct {
	Index               int     `json:"N"`
	Phase               string  `json:"Phase"`
	Ready               bool    `json:"Ready"`
	PhaseSeconds        float64 `json:"Age"` // time in this phase
	ConsecutiveFailures int     `json:"Fails"`
	LastExit            string  `json:"Last"` // how the last process ended
	RestartPending      bool    `json:"Old"`  // not yet restarted by the rolling restart
}

// Status returns the state of all instances and why the rolling restart is held, or "" if it is not.
func (f *Fleet) Status() (list []Status, heldReason string) {
	for n, i := range f.instances {
		list = append(list, Status{n, i.phase.String(), i.ready, f.now - i.phaseSince, i.failures, i.lastExit, i.phase != Down && i.generation < f.generation})
	}
	return list, f.heldReason
}

// NextWakeup returns the time at which Reconcile must run, or 0 if it only has to run after events.
func (f *Fleet) NextWakeup() float64 {
	next := 0.0
	at := func(t float64) {
		if next == 0 || t < next {
			next = t
		}
	}
	for _, i := range f.instances {
		switch {
		case i.phase == Down && i.wanted:
			at(max(i.startAt, f.now+0.05)) // it may have to wait for others to get ready, which arrives as an event
		case i.killed:
		case i.phase == Stopping:
			at(i.phaseSince + f.config.DrainSeconds + exitTimeoutSeconds)
		case i.phase == Starting:
			at(i.phaseSince + readyTimeoutSeconds)
		case i.phase == Up:
			at(i.lastLiveAt + healthTimeoutSeconds)
		}
	}
	return next
}

// Reconcile calls the actions that lead from the actual state of the instances to the wanted one.
func (f *Fleet) Reconcile() {
	unavailable := 0 // wanted, and not serving
	for _, i := range f.instances {
		if i.wanted && !(i.phase == Up && i.ready) {
			unavailable++
		}
	}
	starting := 0
	for _, i := range f.instances {
		if i.phase == Starting {
			starting++
		}
	}
	for n := range f.instances {
		i := &f.instances[n]
		switch {
		case i.killed:
		case i.phase == Stopping && f.now >= i.phaseSince+f.config.DrainSeconds+exitTimeoutSeconds:
			f.kill(n, "it did not end")
		case i.phase == Starting && f.now >= i.phaseSince+readyTimeoutSeconds:
			f.kill(n, "it was not ready in time")
		case i.phase == Up && f.now >= i.lastLiveAt+healthTimeoutSeconds:
			f.kill(n, "its health was silent")
		case (i.phase == Up || i.phase == Starting) && !i.wanted:
			f.stop(n)
		case i.phase == Down && i.wanted && f.now >= i.startAt && starting < f.maxUnavailable():
			starting++
			i.generation, i.ready, i.lastLiveAt = f.generation, false, f.now
			f.setPhase(n, Starting)
			f.actions.Start(n)
		}
	}
	// A rolling restart stops another front only if that keeps the unavailable ones within the limit. Fronts that failed by
	// themselves count too, so that a restart never adds to an outage. A front that is not ready is restarted first and
	// regardless of the limit, as it serves nobody.
	for _, unready := range []bool{true, false} {
		for n := range f.instances {
			i := &f.instances[n]
			if f.heldReason != "" || i.phase != Up || !i.wanted || i.generation == f.generation || i.ready == unready {
				continue
			}
			if !unready && unavailable >= f.maxUnavailable() {
				return
			}
			if !unready {
				unavailable++
			}
			f.stop(n)
		}
	}
}

func (f *Fleet) stop(n int) {
	f.setPhase(n, Stopping)
	f.actions.Stop(n)
}

func (f *Fleet) kill(n int, reason string) {
	i := &f.instances[n]
	i.killed, i.lastExit = true, reason
	f.actions.Kill(n)
}

// Claim lists what the settings of one instance reserve on the machine.
type Claim struct {
	Index     int
	Name      string
	Addresses []string // listen addresses; those with port 0 can't conflict
}

// Conflicts describes names and addresses that two instances have in common, up to a limit.
func Conflicts(list []Claim) (conflicts []string) {
	const maxConflicts = 10
	owner := map[string]int{}
	claim := func(n int, what, key string) {
		if first, ok := owner[key]; ok {
			if conflicts = append(conflicts, fmt.Sprintf("%s is used by instance %d and instance %d", what, first, n)); len(conflicts) > maxConflicts {
				conflicts = conflicts[:maxConflicts]
			}
			return
		}
		owner[key] = n
	}
	for _, c := range list {
		claim(c.Index, "the name "+c.Name, "name "+c.Name)
		for _, a := range c.Addresses {
			if a != "" && !strings.HasSuffix(a, ":0") {
				claim(c.Index, "the address "+a, "address "+a)
			}
		}
	}
	return conflicts
}
