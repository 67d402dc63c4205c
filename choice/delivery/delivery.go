// Package delivery measures which share of the nominal rate each box delivers, as media time received over elapsed
// time, and limits how often a box's load notes are passed on: they come with every session's media, and one per box
// is enough. It does no I/O.
//
// Usage: call Progress for each playing session at a regular interval, then Tick, which returns the shares to report to
// the choice module. Call Forget for sessions that pause, end or change their source.
package delivery

import (
	"math"
	"slices"

	"rainhaven/choice"
)

const (
	// The simulator's boxes report shares at the same interval.
	reportIntervalSeconds = 1.0
	// windowSeconds is the minimum time over which a share is measured. At 10 to 50 frames a second the arrival of the
	// last frame is known to within a tenth of the window.
	windowSeconds = 1.0
	// shortThreshold is the share below which a box counts as short. The choice module's own bound is 0.98, but late
	// wake-ups on a loaded machine turned an even stream into shares of 0.975 to 1.02 over one second.
	shortThreshold = 0.96
	// maxFrameGapSeconds is the longest gap between two frames of a running stream; a longer silence counts as time
	// without media.
	maxFrameGapSeconds = 0.25
	// maxShare caps a share: a stream ahead of the clock is a start burst, not a sign of spare capacity.
	maxShare = 1.0
)

// ShareReport is a box's delivered share, to be reported to the choice module. A share of 0.98 or more ends an earlier
// report of short delivery.
type ShareReport struct {
	Box   choice.ServerID
	Share float64
}

// sample is a session's progress: at time now it had media up to position media, the newest of which arrived at
// arrivedAt.
type sample struct{ now, arrivedAt, media float64 }

// stream is the recent progress of one session.
type stream struct {
	box     choice.ServerID
	samples [8]sample // the first n are valid, oldest first
	n       int
}

type box struct {
	reportedAt      float64
	reportedShort   bool    // the last report said that the box is short
	noteForwardedAt float64 // when a load note was last passed on
}

// Meter holds the measurements of one front. The zero value is not ready; use New.
type Meter struct {
	noteInterval float64
	streams      map[choice.SessID]*stream // entries are removed by Forget
	boxes        map[choice.ServerID]*box  // entries are removed by Tick after a minute without media, report or note
}

// New returns an empty Meter. Boxes send load notes every noteInterval seconds; 0 means that they send none.
func New(noteInterval float64) *Meter {
	return &Meter{noteInterval: noteInterval, streams: map[choice.SessID]*stream{}, boxes: map[choice.ServerID]*box{}}
}

// Progress records that at time now a session had media up to position media (in seconds), the newest of which arrived
// at time at.
func (m *Meter) Progress(id choice.SessID, on choice.ServerID, now, at, media float64) {
	t := m.streams[id]
	// A media time that goes back or leaps ahead means a seek or a changed source, so measuring restarts. That also
	// guards against a box that skips media to seem fast. Drawback: one second is not measured.
	if t == nil || t.box != on || t.n > 0 && (media < t.samples[t.n-1].media || media-t.samples[t.n-1].media > 10) {
		t = &stream{box: on}
		m.streams[id] = t
	}
	if t.n > 0 && now <= t.samples[t.n-1].now {
		return
	}
	if t.n == len(t.samples) {
		copy(t.samples[:], t.samples[1:])
		t.n--
	}
	t.samples[t.n] = sample{now, at, media}
	t.n++
}

// Forget removes a session that ended, paused or changes its source.
func (m *Meter) Forget(id choice.SessID) { delete(m.streams, id) }

// share returns the share that a session received over the last windowSeconds; ok is false until that much is known.
func (t *stream) share() (x float64, ok bool) {
	if t.n < 2 {
		return 0, false
	}
	last := t.samples[t.n-1]
	for i := t.n - 2; i >= 0; i-- {
		p := t.samples[i]
		if last.now-p.now < windowSeconds {
			continue
		}
		from, to := p.arrivedAt, last.arrivedAt
		if last.now-last.arrivedAt > maxFrameGapSeconds {
			to = last.now
		}
		if p.now-p.arrivedAt > maxFrameGapSeconds {
			from = p.now // the silence before this sample belongs to an earlier window
		}
		if to <= from {
			return 0, true
		}
		return min((last.media-p.media)/(to-from), maxShare), true
	}
	return 0, false
}

// Tick returns the reports that are due, sorted by box.
func (m *Meter) Tick(now float64) (due []ShareReport) {
	type sum struct { // in millionths: integer sums don't depend on the order of the map
		x, n int64
	}
	sums := map[choice.ServerID]sum{}
	for _, t := range m.streams {
		if x, ok := t.share(); ok {
			s := sums[t.box]
			sums[t.box] = sum{s.x + int64(x*1e6), s.n + 1}
		}
	}
	for id, s := range sums {
		b := m.box(id)
		x := float64(s.x) / float64(s.n) / 1e6
		if now-b.reportedAt < reportIntervalSeconds {
			continue
		}
		if x < shortThreshold {
			due = append(due, ShareReport{id, math.Round(x*1e4) / 1e4})
			b.reportedAt, b.reportedShort = now, true
		} else if b.reportedShort {
			due = append(due, ShareReport{id, 1})
			b.reportedAt, b.reportedShort = now, false
		}
	}
	for id, b := range m.boxes {
		if now-max(b.reportedAt, b.noteForwardedAt) > 60 && sums[id].n == 0 {
			delete(m.boxes, id)
		}
	}
	slices.SortFunc(due, func(a, b ShareReport) int { return int(a.Box) - int(b.Box) })
	return due
}

func (m *Meter) box(id choice.ServerID) *box {
	b := m.boxes[id]
	if b == nil {
		b = &box{reportedAt: -reportIntervalSeconds, noteForwardedAt: math.Inf(-1)}
		m.boxes[id] = b
	}
	return b
}

// AcceptNote reports whether a load note that came with a session's media is passed on: at most one per box and half a
// note interval, since a box sends a note with each of its sessions, and a front in the simulator receives only one. A box
// that floods notes gains nothing.
func (m *Meter) AcceptNote(on choice.ServerID, now, link, uplink float64) bool {
	if m.noteInterval <= 0 || !plausible(link) || !(plausible(uplink) || uplink < 0) {
		return false
	}
	b := m.box(on)
	if now-b.noteForwardedAt < m.noteInterval/2 {
		return false
	}
	b.noteForwardedAt = now
	return true
}

// plausible reports whether a load can be real. It guards against faulty boxes: a load above a hundred times the link's
// capacity, or NaN, would persist in the choice module's smoothed values.
func plausible(x float64) bool { return x >= 0 && x <= 100 }

// SanitizeReport makes a report of the figures that a box sent; implausible ones count as not reported.
func SanitizeReport(link, uplink float64, capped bool) choice.LoadReport {
	r := choice.LoadReport{Link: -1, Uplink: -1}
	if plausible(link) {
		r.Link, r.Capped = link, capped
	}
	if plausible(uplink) {
		r.Uplink = uplink
	}
	return r
}
