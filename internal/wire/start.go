package wire

import (
	"fmt"
	"strconv"
	"strings"

	"rainhaven/choice"
)

// parseStart parses SPAWN, a front's first message.
func parseStart(rest string) (Event, error) {
	f, err := parseFields(rest)
	if err != nil {
		return Event{}, err
	}
	fr := &fieldReader{fields: f}
	e := Event{Kind: Start, Front: fr.text("i")}
	seed, err := strconv.ParseUint(f["salt"], 10, 64)
	if err != nil {
		fr.setErr(fmt.Errorf("salt=%q is not an integer", f["salt"]))
	}
	fr.setErr(err)
	e.Config, err = ParseConfig(f)
	e.Config.Seed = seed
	fr.setErr(err)
	return e, fr.err
}

// ParseConfig parses a front's configuration, keyed by the field names of the simulator's first message. Lists are
// separated by commas, and objects in a list are numbered. A missing field stays zero, which switches its function off. The
// caller sets Seed.
func ParseConfig(f map[string]string) (s choice.Config, err error) {
	fr := &fieldReader{fields: f}
	s.FrontIndex, s.Fronts, s.Zone = fr.integer("me", false), fr.integer("balancers", false), fr.integer("zone", false)
	family := "family_info."
	s.Cells, s.Racks = fr.integer(family+"cells", false), fr.integer(family+"cabinets", false)
	s.FleetLinkCapacity = fr.optional(family + "fleet_kb")
	s.MeanUplinkCapacity, s.FullThreshold = fr.optional(family+"uplink_kb"), fr.optional(family+"guard")
	s.Ladder = fr.numbers(family + "level_kb")
	s.MaxStreams = fr.numbers(family + "places_by_kind")
	s.NoteLag, s.NoteInterval = fr.seconds(family+"see", false), fr.seconds(family+"told_every", false)
	s.MaxSetups = fr.integer("caps.most_tries", false)
	if f["caps.retry_after"] == "true" || f["caps.retry_after"] == "1" {
		s.MaxRetryAfter = fr.seconds("caps.max_retry_after", false)
	}
	s.Probes = f["caps.probes"] == "true" || f["caps.probes"] == "1"
	s.PeerMessages = f["caps.peers"] == "true" || f["caps.peers"] == "1"
	s.CrossZonePrice = fr.optional("charges.cross_zone")
	s.ProbePrice = fr.optional("charges.probe")
	switch f["reporting.source"] {
	case "piggyback":
		s.Reporting = choice.ReportsInAnswers
	case "pull":
		s.Reporting = choice.ReportsInProbes
	}
	s.WarmUp, s.ColdShare = fr.seconds("rules.cold", false), fr.optional("rules.start_capacity")
	s.OverloadFactor, s.OverloadTime = fr.optional("rules.overload_factor"), fr.seconds("rules.fall", false)
	s.BaseRetries, s.RetriesPerSession = fr.optional("rules.spare_attempts"), fr.optional("rules.repeat_ratio")
	s.RetryWindow = fr.seconds("rules.counted_over", false)
	scale, floor := fr.numbers(family+"class_scale"), fr.numbers(family+"class_floor")
	top, seats := fr.numbers(family+"highest_rung"), fr.numbers(family+"seats")
	live := strings.Split(f[family+"live"], ",")
	for i := range fr.integer("grades.count", false) {
		prefix := fmt.Sprintf("grades.%d.", i)
		s.Groups = append(s.Groups, choice.ServiceGroup{Utility: fr.optional(prefix + "worth"), Scale: valueAt(scale, i, 1),
			StartTarget: fr.seconds(prefix+"goal_time", false),
			Paid:        f[prefix+"effect"] != "pure", Floor: int(valueAt(floor, i, 0)),
			Top: int(valueAt(top, i, float64(len(s.Ladder)-1))), Seats: int(valueAt(seats, i, 0))})
		if i < len(live) && (live[i] == "true" || live[i] == "1") {
			s.Groups[i].AddedRateShare = fr.optional(family + "shared_adds")
		}
	}
	return s, fr.err
}

func valueAt(list []float64, i int, fallback float64) float64 {
	if i < len(list) {
		return list[i]
	}
	return fallback
}

func (fr *fieldReader) optional(name string) float64 {
	if fr.fields[name] == "" {
		return 0
	}
	return fr.number(name)
}

func (fr *fieldReader) numbers(name string) (list []float64) {
	if fr.fields[name] == "" {
		return nil
	}
	for _, v := range strings.Split(fr.fields[name], ",") {
		x, err := strconv.ParseFloat(v, 64)
		if err != nil {
			fr.setErr(fmt.Errorf("%s: %q is not a number", name, v))
		}
		list = append(list, x)
	}
	return list
}
