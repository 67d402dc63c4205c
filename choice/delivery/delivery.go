// Package delivery decides what a front makes of what it hears from boxes while sessions play: the share of the rate
// that a box delivers, measured by media time come in over time gone by, and load notes, which come with every
// session's media and are told once a box. It does no I/O.
//
// How it is called: Progress for each playing session at an even pace, then Tick, which gives what to tell the
// module. Sessions that pause, end or change their source are forgotten with Forget.
package delivery

import (
	"math"
	"slices"

	"rainhaven/choice"
)

const (
	// Shares are told once a second, as the bench's boxes tell them.
	every = 1.0
	// A share is measured over so long at least. Frames come some 10 to 50 a second, so the last one's moment is
	// known to within a tenth of it even at the slowest pace.
	span = 1.0
	// Below this a box is short. The module's own bound is 0.98; a loaded machine's late wake-ups made shares of
	// 0.975 to 1.02 out of an even stream over a second, so a little more must be missing.
	short = 0.96
	// A silence of so many seconds counts as time without media; less may lie between two frames.
	stillness = 0.25
	// A player that is ahead of the clock is catching up a start burst, not proof of room.
	most = 1.0
)

// ShareReport is what the module is to be told: a box's share, at least 0.98 once it is over.
type ShareReport struct {
	Box   choice.ServerID
	Share float64
}

type sample struct{ now, at, media float64 }

type track struct {
	box  choice.ServerID
	past [8]sample // oldest first, n of them
	n    int
}

type box struct {
	told  float64 // when
	short bool    // the last word told was that it is short
	noted float64 // when a load note was passed on
}

// Meter holds what one front heard. The zero value is not ready; use New.
type Meter struct {
	noteEvery float64
	tracks    map[choice.SessID]*track // emptied by Forget
	boxes     map[choice.ServerID]*box // emptied by Tick once nothing was heard for a minute
}

// New makes an ear. Boxes send load notes every noteEvery seconds; 0 means that they send none.
func New(noteEvery float64) *Meter {
	return &Meter{noteEvery: noteEvery, tracks: map[choice.SessID]*track{}, boxes: map[choice.ServerID]*box{}}
}

// Progress tells that at instant now a session had media up to the media second media, the newest of which came in
// at instant at.
func (e *Meter) Progress(id choice.SessID, on choice.ServerID, now, at, media float64) {
	t := e.tracks[id]
	// Against a source that was changed or sought: time that runs back starts anew, and so does a leap ahead. A
	// box that skips media to seem quick is caught by that too. Harm: one second unmeasured.
	if t == nil || t.box != on || t.n > 0 && (media < t.past[t.n-1].media || media-t.past[t.n-1].media > 10) {
		t = &track{box: on}
		e.tracks[id] = t
	}
	if t.n > 0 && now <= t.past[t.n-1].now {
		return
	}
	if t.n == len(t.past) {
		copy(t.past[:], t.past[1:])
		t.n--
	}
	t.past[t.n] = sample{now, at, media}
	t.n++
}

// Forget drops a session that ended, paused or changes its source.
func (e *Meter) Forget(id choice.SessID) { delete(e.tracks, id) }

// share is what a session got over the last span seconds; ok is false before so much is known.
func (t *track) share() (x float64, ok bool) {
	if t.n < 2 {
		return 0, false
	}
	last := t.past[t.n-1]
	for i := t.n - 2; i >= 0; i-- {
		p := t.past[i]
		if last.now-p.now < span {
			continue
		}
		from, to := p.at, last.at
		if last.now-last.at > stillness {
			to = last.now
		}
		if p.now-p.at > stillness {
			from = p.now // what was still before is counted already
		}
		if to <= from {
			return 0, true
		}
		return min((last.media-p.media)/(to-from), most), true
	}
	return 0, false
}

// Tick gives what is due to be told at an instant, by boxes' ids.
func (e *Meter) Tick(now float64) (told []ShareReport) {
	type sum struct { // in millionths: whole numbers add up alike in any order
		x, n int64
	}
	sums := map[choice.ServerID]sum{}
	for _, t := range e.tracks {
		if x, ok := t.share(); ok {
			s := sums[t.box]
			sums[t.box] = sum{s.x + int64(x*1e6), s.n + 1}
		}
	}
	for id, s := range sums {
		b := e.box(id)
		x := float64(s.x) / float64(s.n) / 1e6
		if now-b.told < every {
			continue
		}
		if x < short {
			told = append(told, ShareReport{id, math.Round(x*1e4) / 1e4})
			b.told, b.short = now, true
		} else if b.short {
			told = append(told, ShareReport{id, 1})
			b.told, b.short = now, false
		}
	}
	for id, b := range e.boxes {
		if now-max(b.told, b.noted) > 60 && sums[id].n == 0 {
			delete(e.boxes, id)
		}
	}
	slices.SortFunc(told, func(a, b ShareReport) int { return int(a.Box) - int(b.Box) })
	return told
}

func (e *Meter) box(id choice.ServerID) *box {
	b := e.boxes[id]
	if b == nil {
		b = &box{told: -every, noted: math.Inf(-1)}
		e.boxes[id] = b
	}
	return b
}

// AcceptNote tells whether a load note that came with a session's media is passed on: once a box and half a period, as
// boxes send one with each session, and the bench's front hears one. A box that floods notes gains nothing.
func (e *Meter) AcceptNote(on choice.ServerID, now, link, uplink float64) bool {
	if e.noteEvery <= 0 || !sane(link) || !(sane(uplink) || uplink < 0) {
		return false
	}
	b := e.box(on)
	if now-b.noted < e.noteEvery/2 {
		return false
	}
	b.noted = now
	return true
}

// sane tells whether a load can be true. Against a broken box: past a hundred times what a link gives, or no number
// at all, is a fault of the figure, and would stay in the module's smoothed ones.
func sane(x float64) bool { return x >= 0 && x <= 100 }

// SanitizeReport makes a report of figures that a box sent; what can't be true counts as not told.
func SanitizeReport(link, uplink float64, capped bool) choice.LoadReport {
	r := choice.LoadReport{Link: -1, Uplink: -1}
	if sane(link) {
		r.Link, r.Capped = link, capped
	}
	if sane(uplink) {
		r.Uplink = uplink
	}
	return r
}
