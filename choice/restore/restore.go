// Package restore decides what a front that starts believes of what an earlier one had stored, after how long a gap. It
// does no I/O.
//
// The measure is that a stored word must never break a rule that forgetting would keep. What makes the front more careful
// is believed as long as it can matter; what would let it do more is believed only where it is a fact of the past.
package restore

import (
	"fmt"
	"math"
	"slices"

	"rainhaven/choice"
)

// Snapshot is what was kept.
type Snapshot struct {
	SavedAt   float64         `json:"Saved"` // instant of the keeping
	CleanExit bool            `json:"Clean"` // the front had ended in order: nothing came after it
	Memory    choice.Snapshot `json:"Memory"`
}

// Config are the figures of the front that starts.
type Config struct {
	WindowSeconds, BaseAllowance, RetryShare float64 // the ration's
	WarmUpSeconds                            float64
}

const (
	// Clocks that run a little apart, or are set by a little, are no reason to forget.
	setBack = 1.0
	// A box set aside answers probes within seconds once it is well; past half a minute it is asked like any other.
	asideTime = 30.0
	// Other fronts' demand fades by e in 30 s in the module itself; past two minutes nothing of it is left.
	readingTime = 120.0
	// Short notes fade by e in 5 s.
	liftTime = 30.0
	// The mean load of all links follows the time of day.
	usualTime = 600.0
	// Sizes of links and a box's gaps between signs of life change with hardware; what own sessions showed an hour ago
	// may be of another day's other traffic.
	learnedTime = 3600.0
)

// FromSnapshot gives what the front starts with, and what there is to say of it.
func FromSnapshot(now float64, s Snapshot, t Config) (m choice.Snapshot, say []string) {
	age := now - s.SavedAt
	if age < -setBack {
		// The clock was set back between the runs: instants of before can't be told from ones to come. What makes
		// careful is taken as of this moment; all else is forgotten.
		say = append(say, fmt.Sprintf("the clock was set back by %.0f s: only what makes careful is believed", -age))
		return careful(now, s, t), say
	}
	age = max(age, 0)
	m = ration(now, s, t)
	if added := len(m.Retries) - len(s.Memory.Retries); added > 0 && !s.CleanExit {
		say = append(say, fmt.Sprintf("the last front did not end in order: no further SETUPs for %.0f s, it may have used the ration up", t.WindowSeconds))
	}
	for _, r := range s.Memory.Servers {
		b := choice.ServerSnapshot{ID: r.ID, StartedAt: born(now, r.StartedAt), Slot: -1}
		if age < asideTime {
			b.Ejected, b.FullUntil = r.Ejected, min(r.FullUntil, now+1)
		}
		if age < learnedTime && positive(r.MeanGap) && positive(r.GapDeviation) {
			// Silence is judged from now on: nobody listened meanwhile.
			b.MeanGap, b.GapDeviation, b.LastHeardAt = r.MeanGap, r.GapDeviation, now
		}
		b.Link = reading(now, age, r.Link)
		m.Servers = append(m.Servers, b)
	}
	for _, r := range s.Memory.Uplinks {
		m.Uplinks = append(m.Uplinks, reading(now, age, r))
	}
	if age < usualTime && sound(s.Memory.MeanLoad[0]) && sound(s.Memory.MeanLoad[1]) && sound(s.Memory.MeanLoadDemand) {
		m.MeanLoad = s.Memory.MeanLoad // UsualAt goes with this front's own sessions, of which there are none
	}
	return m, say
}

// ration keeps requests and further SETUPs of the last window. Where the last front was killed, what it did after it had
// kept them is not known: it may have used what was left, so that much counts as used now. Forgetting would allow the
// spare ones anew.
func ration(now float64, s Snapshot, t Config) (m choice.Snapshot) {
	if t.WindowSeconds <= 0 {
		return m
	}
	within := func(list []float64) (out []float64) {
		for _, x := range list {
			if x <= now && now-x <= 1.02*t.WindowSeconds {
				out = append(out, x)
			}
		}
		slices.Sort(out)
		return out
	}
	m.FirstSetups, m.Retries = within(s.Memory.FirstSetups), within(s.Memory.Retries)
	if !s.CleanExit && now-s.SavedAt <= 1.02*t.WindowSeconds {
		m.Retries = fill(now, m.Retries, t.BaseAllowance+t.RetryShare*float64(len(m.FirstSetups)))
	}
	return m
}

// fill counts the ration as used up at an instant. A ration is some tens; the bound is against figures that are wrong.
func fill(now float64, further []float64, budget float64) []float64 {
	for n := min(budget, 10000); float64(len(further)) < n; {
		further = append(further, now)
	}
	return further
}

// careful keeps of a memory whose instants mean nothing what makes careful: the ration counts as used, boxes that were
// cold are cold from now.
func careful(now float64, s Snapshot, t Config) (m choice.Snapshot) {
	if t.WindowSeconds > 0 {
		m.Retries = fill(now, nil, t.BaseAllowance)
	}
	for _, r := range s.Memory.Servers {
		b := choice.ServerSnapshot{ID: r.ID, Slot: -1}
		if r.StartedAt > 0 && s.SavedAt-r.StartedAt < t.WarmUpSeconds {
			b.StartedAt = now
		}
		m.Servers = append(m.Servers, b)
	}
	return m
}

// born is a box's last start. The list may not tell starts; then only a front that saw the box come knows that it is cold.
func born(now, at float64) float64 {
	if !(at > 0) {
		return 0
	}
	return min(at, now)
}

func reading(now, age float64, r choice.LinkSnapshot) (b choice.LinkSnapshot) {
	for _, x := range []float64{r.NominalCapacity, r.Capacity, r.OtherDemand, r.ReadAt, r.OwnDemand, r.ReportedLoad, r.ReportedAt, r.ShortfallDemand, r.ShortfallAt} {
		if !sound(x) {
			return b
		}
	}
	if age < learnedTime && r.NominalCapacity > 0 && r.Capacity >= r.NominalCapacity {
		b.NominalCapacity, b.Capacity = r.NominalCapacity, r.Capacity
	}
	if age < readingTime && r.ReadAt <= now {
		// Top stays out: own sessions' growth since is told from none, and this front has none.
		b.OtherDemand, b.ReadAt, b.ReportedLoad, b.ReportedAt = r.OtherDemand, r.ReadAt, r.ReportedLoad, min(r.ReportedAt, now)
	}
	if age < liftTime && r.ShortfallAt <= now {
		b.ShortfallDemand, b.ShortfallAt = r.ShortfallDemand, r.ShortfallAt
	}
	return b
}

func sound(x float64) bool    { return x >= 0 && !math.IsInf(x, 0) }
func positive(x float64) bool { return x > 0 && !math.IsInf(x, 0) }
