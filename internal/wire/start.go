package wire

import (
	"fmt"
	"strconv"
	"strings"

	"rainhaven/choice"
)

// start reads a front's first message.
func start(rest string) (Event, error) {
	f, err := fields(rest)
	if err != nil {
		return Event{}, err
	}
	g := &getter{f: f}
	e := Event{Kind: Start, Front: g.text("i")}
	seed, err := strconv.ParseUint(f["salt"], 10, 64)
	if err != nil {
		g.fail(fmt.Errorf("salt=%q is not a whole number", f["salt"]))
	}
	g.fail(err)
	e.Figures, err = ParseStartFigures(f)
	e.Figures.Seed = seed
	g.fail(err)
	return e, g.err
}

// ParseStartFigures reads what a front is told at its start, by the names of the simulator's first message; lists are separated
// by commas, and entries of a list of objects are numbered. What a site leaves out stays at its zero, which switches
// it off. The seed is the caller's.
func ParseStartFigures(f map[string]string) (s choice.Config, err error) {
	g := &getter{f: f}
	s.FrontIndex, s.Fronts, s.Zone = g.whole("me", false), g.whole("balancers", false), g.whole("zone", false)
	fam := "family_info."
	s.Cells, s.Racks = g.whole(fam+"cells", false), g.whole(fam+"cabinets", false)
	s.FleetLinkCapacity = g.optional(fam + "fleet_kb")
	s.MeanUplinkCapacity, s.FullThreshold = g.optional(fam+"uplink_kb"), g.optional(fam+"guard")
	s.Ladder = g.numbers(fam + "level_kb")
	s.MaxStreams = g.numbers(fam + "places_by_kind")
	s.NoteLag, s.NoteInterval = g.seconds(fam+"see", false), g.seconds(fam+"told_every", false)
	s.MaxSetups = g.whole("caps.most_tries", false)
	if f["caps.retry_after"] == "true" || f["caps.retry_after"] == "1" {
		s.MaxRetryAfter = g.seconds("caps.max_retry_after", false)
	}
	s.Probes = f["caps.probes"] == "true" || f["caps.probes"] == "1"
	s.PeerMessages = f["caps.peers"] == "true" || f["caps.peers"] == "1"
	s.CrossZonePrice = g.optional("charges.cross_zone")
	s.ProbePrice = g.optional("charges.probe")
	switch f["reporting.source"] {
	case "piggyback":
		s.Reporting = choice.ReportsInAnswers
	case "pull":
		s.Reporting = choice.ReportsInProbes
	}
	s.WarmUp, s.ColdShare = g.seconds("rules.cold", false), g.optional("rules.start_capacity")
	s.OverloadFactor, s.OverloadTime = g.optional("rules.overload_factor"), g.seconds("rules.fall", false)
	s.BaseRetries, s.RetriesPerSession = g.optional("rules.spare_attempts"), g.optional("rules.repeat_ratio")
	s.RetryWindow = g.seconds("rules.counted_over", false)
	scale, floor := g.numbers(fam+"class_scale"), g.numbers(fam+"class_floor")
	top, seats := g.numbers(fam+"highest_rung"), g.numbers(fam+"seats")
	live := strings.Split(f[fam+"live"], ",")
	for i := range g.whole("grades.count", false) {
		at := fmt.Sprintf("grades.%d.", i)
		s.Groups = append(s.Groups, choice.ServiceGroup{Utility: g.optional(at + "worth"), Scale: nth(scale, i, 1),
			StartTarget: g.seconds(at+"goal_time", false),
			Paid:        f[at+"effect"] != "pure", Floor: int(nth(floor, i, 0)),
			Top: int(nth(top, i, float64(len(s.Ladder)-1))), Seats: int(nth(seats, i, 0))})
		if i < len(live) && (live[i] == "true" || live[i] == "1") {
			s.Groups[i].AddedRateShare = g.optional(fam + "shared_adds")
		}
	}
	return s, g.err
}

func nth(list []float64, i int, otherwise float64) float64 {
	if i < len(list) {
		return list[i]
	}
	return otherwise
}

func (g *getter) optional(name string) float64 {
	if g.f[name] == "" {
		return 0
	}
	return g.number(name)
}

func (g *getter) numbers(name string) (list []float64) {
	if g.f[name] == "" {
		return nil
	}
	for _, v := range strings.Split(g.f[name], ",") {
		x, err := strconv.ParseFloat(v, 64)
		if err != nil {
			g.fail(fmt.Errorf("%s: %q is not a number", name, v))
		}
		list = append(list, x)
	}
	return list
}
