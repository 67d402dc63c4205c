// Package restore decides which parts of a saved state a starting front takes over, depending on the state's age. It does
// no I/O.
//
// The criterion: saved state must never make the front break a rule that it would keep when starting from nothing. State
// that makes the front more careful is restored for as long as it can matter; state that would permit more is restored
// only where it is a fact of the past.
package restore

import (
	"fmt"
	"math"
	"slices"

	"rainhaven/choice"
)

// Snapshot is the saved state of a front. Its JSON names are part of the format of the state file.
type Snapshot struct {
	SavedAt   float64         `json:"Saved"` // time of the snapshot
	CleanExit bool            `json:"Clean"` // the front shut down in order, so nothing happened after the snapshot
	Choice    choice.Snapshot `json:"Memory"`
}

// Config holds the settings of the starting front.
type Config struct {
	RetryWindow, BaseRetries, RetriesPerSession float64 // of the retry budget
	WarmUp                                      float64
}

const (
	// clockToleranceSeconds is the step back of the clock that is still ignored: clocks drift and are adjusted a little.
	clockToleranceSeconds = 1.0
	// An ejected box answers probes within seconds of its recovery; after half a minute it is tried like any other.
	ejectedMaxAgeSeconds = 30.0
	// The choice module lets other fronts' demand decay by a factor of e in 30 s; after two minutes nothing of it is left.
	demandMaxAgeSeconds = 120.0
	// The lift from reports of short delivery decays by a factor of e in 5 s.
	liftMaxAgeSeconds = 30.0
	// The mean load of all links follows the time of day.
	meanLoadMaxAgeSeconds = 600.0
	// Link capacities and a box's intervals between signs of life change with the hardware; what own sessions showed an
	// hour ago may come from a different traffic pattern.
	learnedMaxAgeSeconds = 3600.0
)

// FromSnapshot returns the state that the front starts with, and messages for the log.
func FromSnapshot(now float64, s Snapshot, c Config) (m choice.Snapshot, messages []string) {
	age := now - s.SavedAt
	if age < -clockToleranceSeconds {
		// The clock was set back between the runs, so saved times can't be told from future ones. Only state that makes
		// the front more careful is restored, with the present time.
		messages = append(messages, fmt.Sprintf("the clock was set back by %.0f s: restoring only the used retry budget and cold boxes", -age))
		return conservative(now, s, c), messages
	}
	age = max(age, 0)
	m = requestWindow(now, s, c)
	if added := len(m.Retries) - len(s.Choice.Retries); added > 0 && !s.CleanExit {
		messages = append(messages, fmt.Sprintf("the last process did not shut down cleanly: no further SETUPs for %.0f s, as it may have used up the retry budget", c.RetryWindow))
	}
	for _, r := range s.Choice.Servers {
		b := choice.ServerSnapshot{ID: r.ID, StartedAt: startTime(now, r.StartedAt), Slot: -1}
		if age < ejectedMaxAgeSeconds {
			b.Ejected, b.FullUntil = r.Ejected, min(r.FullUntil, now+1)
		}
		if age < learnedMaxAgeSeconds && positive(r.MeanGap) && positive(r.GapDeviation) {
			// Silence counts from now on: nothing was received while no front ran.
			b.MeanGap, b.GapDeviation, b.LastHeardAt = r.MeanGap, r.GapDeviation, now
		}
		b.Link = linkReading(now, age, r.Link)
		m.Servers = append(m.Servers, b)
	}
	for _, r := range s.Choice.Uplinks {
		m.Uplinks = append(m.Uplinks, linkReading(now, age, r))
	}
	if age < meanLoadMaxAgeSeconds && nonNegative(s.Choice.MeanLoad[0]) && nonNegative(s.Choice.MeanLoad[1]) && nonNegative(s.Choice.MeanLoadDemand) {
		m.MeanLoad = s.Choice.MeanLoad // MeanLoadDemand is not restored: it depends on own sessions, and a starting front has none
	}
	return m, messages
}

// requestWindow restores the first SETUPs and the retries of the last window. What a killed front did after its last
// snapshot is unknown: it may have spent the rest of the retry budget, so the rest counts as spent now. Starting from nothing
// would grant the base allowance a second time.
func requestWindow(now float64, s Snapshot, c Config) (m choice.Snapshot) {
	if c.RetryWindow <= 0 {
		return m
	}
	within := func(list []float64) (out []float64) {
		for _, x := range list {
			if x <= now && now-x <= 1.02*c.RetryWindow {
				out = append(out, x)
			}
		}
		slices.Sort(out)
		return out
	}
	m.FirstSetups, m.Retries = within(s.Choice.FirstSetups), within(s.Choice.Retries)
	if !s.CleanExit && now-s.SavedAt <= 1.02*c.RetryWindow {
		m.Retries = spendBudget(now, m.Retries, c.BaseRetries+c.RetriesPerSession*float64(len(m.FirstSetups)))
	}
	return m
}

// maxRestoredRetries guards against wrong figures: a retry budget is some tens.
const maxRestoredRetries = 10000

// spendBudget adds retries at time now until the whole budget is spent.
func spendBudget(now float64, retries []float64, budget float64) []float64 {
	for n := min(budget, maxRestoredRetries); float64(len(retries)) < n; {
		retries = append(retries, now)
	}
	return retries
}

// conservative restores a snapshot whose times are meaningless: the base allowance of the retry budget counts as spent, and
// boxes that were cold are cold from now on.
func conservative(now float64, s Snapshot, c Config) (m choice.Snapshot) {
	if c.RetryWindow > 0 {
		m.Retries = spendBudget(now, nil, c.BaseRetries)
	}
	for _, r := range s.Choice.Servers {
		b := choice.ServerSnapshot{ID: r.ID, Slot: -1}
		if r.StartedAt > 0 && s.SavedAt-r.StartedAt < c.WarmUp {
			b.StartedAt = now
		}
		m.Servers = append(m.Servers, b)
	}
	return m
}

// startTime returns a box's last start, 0 if unknown. Where the list of boxes has no start times, only a front that saw the
// box appear knows that it is cold.
func startTime(now, at float64) float64 {
	if !(at > 0) {
		return 0
	}
	return min(at, now)
}

// linkReading restores the parts of a link's reading that are recent enough; nothing if a value is invalid.
func linkReading(now, age float64, r choice.LinkSnapshot) (b choice.LinkSnapshot) {
	for _, x := range []float64{r.NominalCapacity, r.Capacity, r.OtherDemand, r.ReadAt, r.OwnDemand, r.ReportedLoad, r.ReportedAt, r.ShortfallDemand, r.ShortfallAt} {
		if !nonNegative(x) {
			return b
		}
	}
	if age < learnedMaxAgeSeconds && r.NominalCapacity > 0 && r.Capacity >= r.NominalCapacity {
		b.NominalCapacity, b.Capacity = r.NominalCapacity, r.Capacity
	}
	if age < demandMaxAgeSeconds && r.ReadAt <= now {
		// Top is left out: it is the base for the growth of own sessions' demand, and a starting front has no sessions.
		b.OtherDemand, b.ReadAt, b.ReportedLoad, b.ReportedAt = r.OtherDemand, r.ReadAt, r.ReportedLoad, min(r.ReportedAt, now)
	}
	if age < liftMaxAgeSeconds && r.ShortfallAt <= now {
		b.ShortfallDemand, b.ShortfallAt = r.ShortfallDemand, r.ShortfallAt
	}
	return b
}

func nonNegative(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }
func positive(x float64) bool    { return x > 0 && !math.IsInf(x, 0) }
