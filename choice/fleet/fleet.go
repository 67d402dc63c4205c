// Package fleet decides how many fronts on one machine are kept running: which is started, stopped or killed next, how fast
// after a fall, and how a rolling restart goes from one to the next. It does no I/O.
//
// How it is called: New once, then At with the clock and one method an event; Settle works out the difference between what
// is wanted of each instance and what it is, and gives it as Orders. Next tells when Settle is wanted by the clock.
package fleet

import (
	"fmt"
	"math"
	"strings"
)

// Phase is where an instance stands.
type Phase int

// The phases. Up is a process whose health was ready once; it may be unready since.
const (
	Down Phase = iota
	Starting
	Up
	Stopping
)

func (p Phase) String() string { return [...]string{"down", "starting", "up", "stopping"}[p] }

// Actions is what the fleet has done. Exited follows each Start once, whatever ended it.
type Actions interface {
	Start(n int)
	Stop(n int) // told to drain and end
	Kill(n int)
}

// Config are how a fleet is run.
type Config struct {
	Fronts              int
	MaxUnavailableShare float64 // of the fronts that may be away or starting at a time, by a rolling restart or a start of all
	DrainSeconds        float64 // seconds that a front's sessions may play on
}

const (
	// A front that was just started serves within a tenth of a second; with a hundred starting on four cores it takes
	// some seconds. One that is not ready by then is not going to be.
	readyTime = 30.0
	// A process that does not end after its drain, and the time its own life-cycle has for cutting, is killed.
	endTime = 10.0
	// Without a live word for so long a process stands still: health answers within half a second, and is asked each
	// second; ten of those missed are no hiccup of a loaded machine.
	silentTime = 10.0
	// The first start after a fall comes at once, as viewers wait; the next ones twice as late each, against a front that
	// falls of its own settings. A minute is what an operator needs to see it.
	firstPause, longestPause = 0.5, 60.0
	// A front that stood for so long has not fallen of its start.
	steadyTime = 60.0
)

// usage is the exit code of a command line that can't be right: starting it again brings nothing.
const usage = 2

type instance struct {
	phase   Phase
	wanted  bool
	age     int // generation of the running process
	ready   bool
	since   float64 // of the phase
	heard   float64 // last live word
	killed  bool    // was ordered
	fails   int     // falls in a row
	startAt float64 // not before
	last    string  // what its last end was
}

// Fleet is one machine's.
type Fleet struct {
	terms Config
	out   Actions
	now   float64
	list  []instance
	age   int    // generation wanted; a rolling restart raises it
	held  string // why the rolling restart stands still; empty where it goes on or is over
	over  bool   // all are to end
}

// New makes a fleet of which nothing runs yet and all is wanted.
func New(now float64, t Config, out Actions) *Fleet {
	f := &Fleet{terms: t, out: out, now: now, list: make([]instance, t.Fronts)}
	for i := range f.list {
		f.list[i].wanted = true
	}
	return f
}

// SetTime sets the clock; it never runs back.
func (f *Fleet) SetTime(now float64) { f.now = max(f.now, now) }

// together is how many may be away at a time: one at least.
func (f *Fleet) together() int {
	return max(int(f.terms.MaxUnavailableShare*float64(f.terms.Fronts)), 1)
}

func (f *Fleet) to(n int, p Phase) { f.list[n].phase, f.list[n].since = p, f.now }

// Exited tells that an instance's process has ended, or could not be started.
func (f *Fleet) Exited(n, code int, why string) {
	i := &f.list[n]
	asked := i.phase == Stopping
	steady := i.phase == Up && f.now-i.since >= steadyTime
	i.last = fmt.Sprintf("exit %d %s", code, why)
	i.ready, i.killed = false, false
	f.to(n, Down)
	switch {
	case asked:
		i.fails, i.startAt = 0, f.now
		return
	case code == usage:
		i.wanted = false
		i.last += "; it is not started again"
		return
	case steady:
		i.fails = 0
	}
	i.fails++
	i.startAt = f.now + min(firstPause*math.Pow(2, float64(i.fails-1)), longestPause)
	if i.fails == 1 {
		i.startAt = f.now
	}
	if i.age == f.age && f.rolling() && f.held == "" {
		f.held = fmt.Sprintf("front %d fell after its restart (%s)", n, i.last)
	}
}

// ReportHealth tells what a process says of itself.
func (f *Fleet) ReportHealth(n int, live, ready bool) {
	i := &f.list[n]
	if i.phase == Down {
		return
	}
	if live {
		i.heard = f.now
	}
	i.ready = ready
	if ready && i.phase == Starting {
		f.to(n, Up)
	}
}

// SetWanted has one instance run, or end and stay away.
func (f *Fleet) SetWanted(n int, run bool) {
	if i := &f.list[n]; !f.over && i.wanted != run {
		i.wanted, i.fails, i.startAt = run, 0, f.now
	}
}

// StartRollingRestart begins a rolling restart of all that run; one that was held begins anew.
func (f *Fleet) StartRollingRestart() {
	f.age++
	f.held = ""
}

// Shutdown has all instances end; nothing is started after it.
func (f *Fleet) Shutdown() {
	f.over = true
	for i := range f.list {
		f.list[i].wanted = false
	}
}

// Finished tells that nothing runs and nothing is wanted.
func (f *Fleet) Finished() bool {
	for _, i := range f.list {
		if i.wanted || i.phase != Down {
			return false
		}
	}
	return true
}

// rolling tells whether some instance still runs what it ran before the restart.
func (f *Fleet) rolling() bool {
	for _, i := range f.list {
		if i.wanted && i.age < f.age {
			return true
		}
	}
	return false
}

// Status is an instance's, for people.
type Status struct {
	Index               int     `json:"N"`
	Phase               string  `json:"Phase"`
	Ready               bool    `json:"Ready"`
	PhaseSeconds        float64 `json:"Age"` // seconds in this phase
	ConsecutiveFailures int     `json:"Fails"`
	LastExit            string  `json:"Last"` // how its last process ended
	RestartPending      bool    `json:"Old"`  // a rolling restart has not come to it yet
}

// Status gives all instances', and why a rolling restart is held.
func (f *Fleet) Status() (list []Status, held string) {
	for n, i := range f.list {
		list = append(list, Status{n, i.phase.String(), i.ready, f.now - i.since, i.fails, i.last, i.phase != Down && i.age < f.age})
	}
	return list, f.held
}

// NextWakeup is the instant at which Settle is wanted by the clock, 0 where none is.
func (f *Fleet) NextWakeup() float64 {
	next := 0.0
	at := func(x float64) {
		if next == 0 || x < next {
			next = x
		}
	}
	for _, i := range f.list {
		switch {
		case i.phase == Down && i.wanted:
			at(max(i.startAt, f.now+0.05)) // others may have to get ready first; their health comes as an event
		case i.killed:
		case i.phase == Stopping:
			at(i.since + f.terms.DrainSeconds + endTime)
		case i.phase == Starting:
			at(i.since + readyTime)
		case i.phase == Up:
			at(i.heard + silentTime)
		}
	}
	return next
}

// Reconcile gives the orders that lead from what runs to what is wanted.
func (f *Fleet) Reconcile() {
	away := 0 // wanted, and not serving for a reason that a restart or a start has part in
	for _, i := range f.list {
		if i.wanted && !(i.phase == Up && i.ready) {
			away++
		}
	}
	starting := 0
	for _, i := range f.list {
		if i.phase == Starting {
			starting++
		}
	}
	for n := range f.list {
		i := &f.list[n]
		switch {
		case i.killed:
		case i.phase == Stopping && f.now >= i.since+f.terms.DrainSeconds+endTime:
			f.kill(n, "it did not end")
		case i.phase == Starting && f.now >= i.since+readyTime:
			f.kill(n, "it was not ready in time")
		case i.phase == Up && f.now >= i.heard+silentTime:
			f.kill(n, "its health was silent")
		case (i.phase == Up || i.phase == Starting) && !i.wanted:
			f.stop(n)
		case i.phase == Down && i.wanted && f.now >= i.startAt && starting < f.together():
			starting++
			i.age, i.ready, i.heard = f.age, false, f.now
			f.to(n, Starting)
			f.out.Start(n)
		}
	}
	// A rolling restart takes the next one where no more than the share is away with it, by whatever cause: fronts that
	// fell by themselves count, so that a restart never adds to an outage. One that is not ready is taken first: it
	// serves nobody.
	for _, unready := range []bool{true, false} {
		for n := range f.list {
			i := &f.list[n]
			if f.held != "" || i.phase != Up || !i.wanted || i.age == f.age || i.ready == unready {
				continue
			}
			if !unready && away >= f.together() {
				return
			}
			if !unready {
				away++
			}
			f.stop(n)
		}
	}
}

func (f *Fleet) stop(n int) {
	f.to(n, Stopping)
	f.out.Stop(n)
}

func (f *Fleet) kill(n int, why string) {
	i := &f.list[n]
	i.killed, i.last = true, why
	f.out.Kill(n)
}

// Claim is what one instance takes of the machine by its settings.
type Claim struct {
	Index     int
	Name      string
	Addresses []string // that it listens on; those that leave the port to the system are nobody's
}

// Conflicts tells which instances would step on each other, in words; at most some.
func Conflicts(list []Claim) (words []string) {
	const most = 10
	taken := map[string]int{}
	claim := func(n int, what, key string) {
		if first, ok := taken[key]; ok {
			if words = append(words, fmt.Sprintf("%s is that of instance %d and of instance %d", what, first, n)); len(words) > most {
				words = words[:most]
			}
			return
		}
		taken[key] = n
	}
	for _, c := range list {
		claim(c.Index, "the name "+c.Name, "name "+c.Name)
		for _, a := range c.Addresses {
			if a != "" && !strings.HasSuffix(a, ":0") {
				claim(c.Index, "the address "+a, "address "+a)
			}
		}
	}
	return words
}
