package day

import (
	"fmt"
	"slices"
	"strings"

	"rainhaven/choice"
	"rainhaven/choice/session"
	"rainhaven/internal/settings"
)

// Sabotage names the rule that a day's fronts are made to break, to show that the witness detects it.
type Sabotage string

// The sabotages, one for each rule: answers are omitted, SETUPs are not cancelled before the next, SETUPs go to a draining
// box, all SETUPs go to a cold one, floors and seats are ignored, the retry budget is ignored.
const (
	NoSabotage          Sabotage = ""
	OmitAnswers         Sabotage = "answers"
	OverlapSetups       Sabotage = "doubles"
	UseDrained          Sabotage = "drains"
	OverloadCold        Sabotage = "cold"
	IgnoreFloorAndSeats Sabotage = "terms"
	IgnoreRetryBudget   Sabotage = "ration"
)

// Sabotages lists all sabotages.
var Sabotages = []Sabotage{OmitAnswers, OverlapSetups, UseDrained, OverloadCold, IgnoreFloorAndSeats, IgnoreRetryBudget}

// ParseSabotage returns the sabotage of a name; an empty name is NoSabotage.
func ParseSabotage(s string) (Sabotage, error) {
	if slices.Contains(Sabotages, Sabotage(s)) || s == "" {
		return Sabotage(s), nil
	}
	var names []string
	for _, x := range Sabotages {
		names = append(names, string(x))
	}
	return NoSabotage, fmt.Errorf("unknown sabotage %q; known are %s", s, strings.Join(names, ", "))
}

// Detected reports whether the verdict shows the violations that the sabotage causes; for NoSabotage, whether it shows none.
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

// alterConfig removes from a front's configuration the limits that the sabotage ignores.
func (s Sabotage) alterConfig(config *settings.Config) {
	f := &config.Choice
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

// wrapActions returns a wrapper that alters a front's actions, or nil for NoSabotage.
func (s Sabotage) wrapActions(r *run) func(session.Actions) session.Actions {
	if s == NoSabotage {
		return nil
	}
	return func(actions session.Actions) session.Actions {
		return &sabotagedActions{Actions: actions, sabotage: s, run: r}
	}
}

// sabotagedActions breaks a rule in the actions of a front. Only the front's event loop uses it.
type sabotagedActions struct {
	session.Actions
	sabotage Sabotage
	run      *run
	answers  int
}

// Answer omits every twentieth answer under OmitAnswers.
func (s *sabotagedActions) Answer(id choice.SessID, v session.FinalAnswer, retryAfter float64) {
	if s.answers++; s.sabotage == OmitAnswers && s.answers%20 == 0 {
		return
	}
	s.Actions.Answer(id, v, retryAfter)
}

// CancelSetup leaves the SETUP in flight under OverlapSetups.
func (s *sabotagedActions) CancelSetup(id choice.SessID, try int) {
	if s.sabotage != OverlapSetups {
		s.Actions.CancelSetup(id, try)
	}
}

// Setup sends the SETUP to a box that must not get it, or for a rung below the floor.
func (s *sabotagedActions) Setup(id choice.SessID, try int, box choice.ServerID, rung int) {
	var chosen func(settings.Box) bool
	now, warm := s.run.now(), s.run.day.Config.Choice.WarmUp
	switch s.sabotage {
	case UseDrained:
		chosen = func(b settings.Box) bool { return b.State == choice.Draining }
	case OverloadCold:
		chosen = func(b settings.Box) bool { return b.StartedAt > 0 && now-b.StartedAt < warm }
	case IgnoreRetryBudget: // boxes that refuse SETUPs, so that each needs retries
		chosen = func(b settings.Box) bool { return s.run.refusing[int(b.ID)] }
	case IgnoreFloorAndSeats:
		rung = 0
	}
	if chosen != nil {
		box = s.run.findBox(chosen, box)
	}
	s.Actions.Setup(id, try, box, rung)
}

// findBox returns the first listed box that matches, or fallback.
func (r *run) findBox(matches func(settings.Box) bool, fallback choice.ServerID) choice.ServerID {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.boxList {
		if matches(b) {
			return b.ID
		}
	}
	return fallback
}
