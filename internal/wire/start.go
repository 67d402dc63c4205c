package wire

import (
	"fmt"
	"strconv"
	"strings"

	"rainhaven/choice"
)

// parseStart reads a front's first message.
func parseStart(rest string) (Event, error) {
	f, err := parseFields(rest)
	if err != nil {
		return Event{}, err
	}
	g := &fieldReader{f: f}
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
func ParseStartFigures(f map[string]string) (s choice.StartFigures, err error) {
	g := &fieldReader{f: f}
	s.Me, s.Fronts, s.Zone = g.whole("me", false), g.whole("balancers", false), g.whole("zone", false)
	fam := "family_info."
	s.Cells, s.Racks = g.whole(fam+"cells", false), g.whole(fam+"cabinets", false)
	s.FleetLinks = g.optional(fam + "fleet_kb")
	s.UplinkMean, s.FullAt = g.optional(fam+"uplink_kb"), g.optional(fam+"guard")
	s.Ladder = g.numbers(fam + "level_kb")
	s.Places = g.numbers(fam + "places_by_kind")
	s.NoteLag, s.NoteEvery = g.seconds(fam+"see", false), g.seconds(fam+"told_every", false)
	s.MostSetups = g.whole("caps.most_tries", false)
	if f["caps.retry_after"] == "true" || f["caps.retry_after"] == "1" {
		s.Advice = g.seconds("caps.max_retry_after", false)
	}
	s.Probes = f["caps.probes"] == "true" || f["caps.probes"] == "1"
	s.Peers = f["caps.peers"] == "true" || f["caps.peers"] == "1"
	s.CrossZonePrice = g.optional("charges.cross_zone")
	s.ProbePrice = g.optional("charges.probe")
	switch f["reporting.source"] {
	case "piggyback":
		s.Reporting = choice.ReportsInAnswers
	case "pull":
		s.Reporting = choice.ReportsInProbes
	}
	s.WarmUp, s.ColdShare = g.seconds("rules.cold", false), g.optional("rules.start_capacity")
	s.FallFactor, s.FallTime = g.optional("rules.overload_factor"), g.seconds("rules.fall", false)
	s.SpareSetups, s.SetupShare = g.optional("rules.spare_attempts"), g.optional("rules.repeat_ratio")
	s.SetupWindow = g.seconds("rules.counted_over", false)
	scale, floor := g.numbers(fam+"class_scale"), g.numbers(fam+"class_floor")
	top, seats := g.numbers(fam+"highest_rung"), g.numbers(fam+"seats")
	live := strings.Split(f[fam+"live"], ",")
	for i := range g.whole("grades.count", false) {
		at := fmt.Sprintf("grades.%d.", i)
		s.Groups = append(s.Groups, choice.ServiceGroup{Utility: g.optional(at + "worth"), Scale: valueAt(scale, i, 1),
			StartTarget: g.seconds(at+"goal_time", false),
			Paid:        f[at+"effect"] != "pure", Floor: int(valueAt(floor, i, 0)),
			Top: int(valueAt(top, i, float64(len(s.Ladder)-1))), Seats: int(valueAt(seats, i, 0))})
		if i < len(live) && (live[i] == "true" || live[i] == "1") {
			s.Groups[i].Adds = g.optional(fam + "shared_adds")
		}
	}
	return s, g.err
}

func valueAt(list []float64, i int, otherwise float64) float64 {
	if i < len(list) {
		return list[i]
	}
	return otherwise
}

func (g *fieldReader) optional(name string) float64 {
	if g.f[name] == "" {
		return 0
	}
	return g.number(name)
}

func (g *fieldReader) numbers(name string) (list []float64) {
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
