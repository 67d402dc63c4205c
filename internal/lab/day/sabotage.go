package day

import (
	"fmt"
	"slices"
	"strings"

	"rainhaven/choice"
	"rainhaven/choice/session"
	"rainhaven/internal/settings"
)

// Sabotage names the rule that a day's fronts are made to break, to see that the witness notices.
type Sabotage string

// The sabotages, one a rule: answers left out, SETUPs not withdrawn, SETUPs to a drained box, all SETUPs to a cold one,
// rungs under the floor and no seats, no ration.
const (
	NoSabotage          Sabotage = ""
	OmitAnswers         Sabotage = "answers"
	OverlapSetups       Sabotage = "doubles"
	UseDrained          Sabotage = "drains"
	OverloadCold        Sabotage = "cold"
	IgnoreFloorAndSeats Sabotage = "terms"
	IgnoreRetryBudget   Sabotage = "ration"
)

// Sabotages are all of them.
var Sabotages = []Sabotage{OmitAnswers, OverlapSetups, UseDrained, OverloadCold, IgnoreFloorAndSeats, IgnoreRetryBudget}

// ParseSabotage reads a sabotage's name.
func ParseSabotage(s string) (Sabotage, error) {
	if slices.Contains(Sabotages, Sabotage(s)) || s == "" {
		return Sabotage(s), nil
	}
	var names []string
	for _, x := range Sabotages {
		names = append(names, string(x))
	}
	return NoSabotage, fmt.Errorf("there is no sabotage %q; %s would be right", s, strings.Join(names, ", "))
}

// Detected tells whether a verdict shows the sabotage.
func (s Sabotage) Detected(r *Report) bool {
	v := r.Verdict
	switch s {
	case OmitAnswers:
		return v.Lost > 0
	case OverlapSetups:
		return v.Doubled > 0
	case UseDrained:
		return v.DrainedLate > 0
	case OverloadCold:
		return v.ColdOverload > 0
	case IgnoreFloorAndSeats:
		return v.BelowFloor > 0 && v.OverSeats > 0
	case IgnoreRetryBudget:
		return v.RetryBudget > 0
	}
	return v.Violations() == 0
}

// terms spoils what a front is told of the rules.
func (s Sabotage) terms(t *settings.Config) {
	f := &t.Choice
	switch s {
	case OverloadCold:
		f.WarmUp, f.OverloadTime = 0, 0
	case IgnoreFloorAndSeats:
		f.Groups = slices.Clone(f.Groups)
		for i := range f.Groups {
			f.Groups[i].Seats = 0
		}
	case IgnoreRetryBudget:
		f.RetryWindow, f.MaxSetups = 0, 6
	}
}

// orders spoils what a front does.
func (s Sabotage) orders(r *run) func(session.Actions) session.Actions {
	if s == NoSabotage {
		return nil
	}
	return func(o session.Actions) session.Actions {
		return &spoiler{Actions: o, s: s, r: r}
	}
}

// spoiler is a front's orders, spoilt. A front's loop owns it.
type spoiler struct {
	session.Actions
	s Sabotage
	r *run
	n int
}

// Answer leaves out one in twenty.
func (s *spoiler) Answer(id choice.SessID, v session.FinalAnswer, comeBack float64) {
	if s.n++; s.s == OmitAnswers && s.n%20 == 0 {
		return
	}
	s.Actions.Answer(id, v, comeBack)
}

// CancelSetup leaves a SETUP out when the next one goes.
func (s *spoiler) CancelSetup(id choice.SessID, try int) {
	if s.s != OverlapSetups {
		s.Actions.CancelSetup(id, try)
	}
}

// Setup sends it where it must not go, or at a rung that it must not have.
func (s *spoiler) Setup(id choice.SessID, try int, box choice.ServerID, rung int) {
	var is func(settings.Box) bool
	now, warm := s.r.now(), s.r.d.Config.Choice.WarmUp
	switch s.s {
	case UseDrained:
		is = func(b settings.Box) bool { return b.State == choice.Draining }
	case OverloadCold:
		is = func(b settings.Box) bool { return b.StartedAt > 0 && now-b.StartedAt < warm }
	case IgnoreRetryBudget: // box after box that turns it away
		is = func(b settings.Box) bool { return s.r.refusing[int(b.ID)] }
	case IgnoreFloorAndSeats:
		rung = 0
	}
	if is != nil {
		box = s.r.find(is, box)
	}
	s.Actions.Setup(id, try, box, rung)
}

// find gives the first listed box that is so, or another.
func (r *run) find(is func(settings.Box) bool, otherwise choice.ServerID) choice.ServerID {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.list {
		if is(b) {
			return b.ID
		}
	}
	return otherwise
}
