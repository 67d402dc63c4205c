// Package day plays a scripted day on loopback sockets: simulated boxes in racks and zones, fronts that share nothing
// but the process, viewers that arrive and retry, and scheduled events such as faults, drains and restarts. Package witness
// checks the rules from the traffic.
package day

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"rainhaven/choice"
	"rainhaven/internal/lab/player"
	"rainhaven/internal/settings"
)

// Forms lists the forms of a day's script.
var Forms = slices.Concat([]settings.Form{
	{Name: "day", Required: true, AtMostOnce: true, Doc: "the day", Fields: []settings.Field{
		{Name: "length", Kind: settings.Number, Required: true, Min: 1, Max: 3600, Doc: "seconds in which viewers arrive"},
		{Name: "seed", Kind: settings.Integer, Default: 1.0, Doc: "of all random draws of the day"},
		{Name: "fronts", Kind: settings.Integer, Default: 1.0, Min: 1, Max: 200, Doc: "number of fronts"},
		{Name: "list_lag", Kind: settings.NumberList, Doc: "minimum and maximum seconds until a front is notified of a box"},
		{Name: "fps", Kind: settings.Integer, Default: 25.0, Min: 1, Max: 100, Doc: "frames a second"},
		{Name: "thin", Kind: settings.Number, Default: 0.02, Max: 1, Doc: "bytes sent as a share of the rate, to fit what one machine carries"},
		{Name: "setup_time", Kind: settings.Number, Default: 0.02, Doc: "seconds that a box takes for a SETUP"},
		{Name: "report_every", Kind: settings.Number, Default: 0.4, Doc: "seconds between updates of load reports"},
		{Name: "mischief", Kind: settings.Number, Max: 1, Doc: "share of requests to boxes that meet a random fault"},
		{Name: "vary", Kind: settings.Number, Default: 0.15, Max: 0.9, Doc: "how far true rates deviate from the ladder, as a share"}}},
	{Name: "viewers", Required: true, AtMostOnce: true, Doc: "the viewers", Fields: []settings.Field{
		{Name: "rate", Kind: settings.Number, Required: true, Max: 2000, Doc: "new sessions a second"},
		{Name: "watch", Kind: settings.NumberList, Required: true, Doc: "minimum and maximum seconds that they watch"},
		{Name: "again", Kind: settings.Number, Default: 0.8, Max: 1, Doc: "share that retries after a busy reply or a broken connection"},
		{Name: "pause", Kind: settings.NumberList, Doc: "minimum and maximum seconds before the retry"},
		{Name: "hasty", Kind: settings.Number, Default: 0.03, Max: 1, Doc: "share that disconnects without TEARDOWN, in set-up or later"},
		{Name: "rude", Kind: settings.Number, Max: 1, Doc: "misbehaving clients for each viewer"},
		{Name: "small", Kind: settings.Number, Default: 0.2, Max: 1, Doc: "share whose bandwidth rules out the upper rungs"},
		{Name: "two_tracks", Kind: settings.Number, Default: 0.3, Max: 1, Doc: "share that sets up an audio track as well"}}},
	{Name: "box", Key: "id", Required: true, Doc: "a simulated box", Fields: []settings.Field{
		{Name: "id", Kind: settings.Integer, Required: true, Max: 1<<31 - 1, Doc: "its number"},
		{Name: "zone", Kind: settings.Text, Doc: "its zone"},
		{Name: "kind", Kind: settings.Text, Doc: "its kind"},
		{Name: "cell", Kind: settings.Integer, Required: true, Doc: "its cell"},
		{Name: "link", Kind: settings.Number, Required: true, Min: 1, Doc: "kB a second of its link"},
		{Name: "starts", Kind: settings.Number, Doc: "seconds into the day at which it starts cold; 0: it runs from the start"}}},
	eventForm("crowd", "more viewers arrive", timesField, lengthField),
	eventForm("hang", "a box hangs: no answers and no media", boxField, lengthField),
	eventForm("hold", "a box answers nothing while media goes on", boxField, lengthField),
	eventForm("silent", "a box hangs, then restarts cold", boxField, lengthField),
	eventForm("slow", "a box's link has less capacity", boxField, timesField, lengthField),
	eventForm("foreign", "another program uses a share of a box's link", boxField, shareField, lengthField),
	eventForm("short_rack", "a rack's uplink has less capacity",
		settings.Field{Name: "rack", Kind: settings.Integer, Required: true, Doc: "the rack's number"}, timesField, lengthField),
	eventForm("refuse", "a box refuses SETUPs as full", boxField, lengthField),
	eventForm("errors", "a box answers SETUPs with errors", boxField,
		settings.Field{Name: "count", Kind: settings.Integer, Required: true, Min: 1, Doc: "how many of the next SETUPs"}),
	eventForm("ageing", "a box takes longer and longer for SETUPs and is killed at the end", boxField, timesField, lengthField),
	eventForm("drain", "the list reports a box as draining, and later as gone", boxField, lengthField),
	eventForm("kill", "a box is killed and restarts cold", boxField, lengthField),
	eventForm("late_reports", "load reports are delayed", lengthField,
		settings.Field{Name: "by", Kind: settings.Number, Required: true, Doc: "seconds"}),
	eventForm("cut_zone", "a zone's boxes are unreachable from other zones", lengthField,
		settings.Field{Name: "zone", Kind: settings.Text, Required: true, Doc: "its name"}),
	eventForm("restart_front", "a front is killed and restarted",
		frontField, lengthField),
	eventForm("reload_front", "a front reloads its settings in service, with another retry time of busy replies and other limits", frontField),
}, settings.CommonForms)

var (
	frontField = settings.Field{Name: "front", Kind: settings.Integer, Required: true, Doc: "its number"}

	boxField    = settings.Field{Name: "box", Kind: settings.Integer, Required: true, Doc: "the box's number"}
	lengthField = settings.Field{Name: "length", Kind: settings.Number, Required: true, Doc: "duration in seconds"}
	timesField  = settings.Field{Name: "times", Kind: settings.Number, Required: true, Min: 0.1, Max: 1000, Doc: "the factor"}
	shareField  = settings.Field{Name: "share", Kind: settings.Number, Required: true, Max: 5, Doc: "share of its link"}
)

// eventForm returns the form of an event: its time, and the given fields.
func eventForm(name, doc string, fields ...settings.Field) settings.Form {
	at := settings.Field{Name: "at", Kind: settings.Number, Required: true, Doc: "seconds into the day"}
	return settings.Form{Name: name, Doc: doc, Fields: append([]settings.Field{at}, fields...)}
}

// eventKinds lists the names of the event forms.
var eventKinds = []string{"crowd", "hang", "hold", "silent", "slow", "foreign", "short_rack", "refuse", "errors", "ageing", "drain",
	"kill", "late_reports", "cut_zone", "restart_front", "reload_front"}

// Day is a parsed script.
type Day struct {
	Config           settings.Config // shared by all fronts; name, index, zone, seed and boxes are set for each
	Fronts           int
	Length           float64 // seconds
	Seed             uint64
	listLag          [2]float64 // minimum and maximum seconds
	fps              int
	payloadScale     float64
	setupTime        float64 // seconds
	reportInterval   float64 // seconds
	rateVariation    float64
	randomFaultShare float64
	viewers          viewerSpec
	boxes            []boxSpec
	titles           []titleWeight
	groupShares      []float64 // by group
	events           []event
}

// viewerSpec holds the rate of viewers a second, the shares of them that behave in certain ways, and ranges in seconds.
type viewerSpec struct {
	rate, returnShare, disconnectShare, lowBandwidthShare, twoTrackShare, misbehavingShare float64
	watch, pause                                                                           [2]float64
}

// boxSpec describes a simulated box.
type boxSpec struct {
	id, zone, kind, cell int
	link                 float64 // kB a second
	starts               float64 // seconds into the day; 0: it runs from the start
}

// titleWeight is a title and how often viewers choose it, relative to others.
type titleWeight struct {
	name   string
	weight float64
}

// event is something that the script schedules, in seconds.
type event struct {
	at, length float64
	kind       string
	entry      settings.Entry
}

// Read reads a day's script from a file. The error is a file error or settings.Diagnostics.
func Read(file string) (*Day, error) {
	s, err := settings.ReadFile(file, Forms, 0)
	if err != nil {
		return nil, err
	}
	return fromDocument(s)
}

// Parse reads a day's script from memory. The name stands for the file in diagnostics.
func Parse(name string, src []byte) (*Day, error) {
	return fromDocument(settings.Read(name, src, Forms))
}

// fromDocument checks a script's entries and converts them to a Day.
func fromDocument(s *settings.Document) (*Day, error) {
	d := &Day{Config: settings.CommonConfig(s)}
	e, _ := s.Single("day")
	d.Length, d.Seed, d.Fronts = e.Number("length"), uint64(e.Number("seed")), max(e.Int("fronts"), 1)
	d.fps, d.payloadScale, d.setupTime, d.reportInterval, d.rateVariation, d.randomFaultShare = e.Int("fps"), e.Number("thin"), e.Number("setup_time"), e.Number("report_every"), e.Number("vary"), e.Number("mischief")
	d.listLag = numberRange(s, e, "day", "list_lag", [2]float64{0.3, 2})
	e, _ = s.Single("viewers")
	d.viewers = viewerSpec{rate: e.Number("rate"), returnShare: e.Number("again"), disconnectShare: e.Number("hasty"), lowBandwidthShare: e.Number("small"),
		twoTrackShare: e.Number("two_tracks"), misbehavingShare: e.Number("rude"), watch: numberRange(s, e, "viewers", "watch", [2]float64{5, 10}),
		pause: numberRange(s, e, "viewers", "pause", [2]float64{0.6, 1.9})}
	known := map[int]bool{}
	for _, e := range s.Entries("box") {
		b := boxSpec{id: e.Int("id"), zone: d.Config.Zone(s, e), kind: d.Config.Kind(s, e), cell: e.Int("cell"), link: e.Number("link"),
			starts: e.Number("starts")}
		if b.cell >= d.Config.Choice.Cells {
			s.Errorf(e.Line, "box %d: cell is %d; 0 to %d would be right", b.id, b.cell, d.Config.Choice.Cells-1)
		}
		known[b.id] = true
		d.boxes = append(d.boxes, b)
	}
	for _, e := range s.Entries("title") {
		d.titles = append(d.titles, titleWeight{e.Text("name"), e.Number("wanted")})
	}
	for _, e := range s.Entries("group") {
		d.groupShares = append(d.groupShares, e.Number("share"))
	}
	for _, kind := range eventKinds {
		for _, e := range s.Entries(kind) {
			v := event{at: e.Number("at"), length: e.Number("length"), kind: kind, entry: e}
			switch {
			case e.Has("box") && !known[e.Int("box")]:
				s.Errorf(e.Line, "%s: there is no box %d", kind, e.Int("box"))
			case e.Has("front") && e.Int("front") >= d.Fronts:
				s.Errorf(e.Line, "%s: there is no front %d; 0 to %d would be right", kind, e.Int("front"), d.Fronts-1)
			case kind == "short_rack" && e.Int("rack") >= d.Config.Choice.Racks:
				s.Errorf(e.Line, "%s: there is no rack %d; 0 to %d would be right", kind, e.Int("rack"), d.Config.Choice.Racks-1)
			case kind == "cut_zone" && !slices.Contains(d.Config.Zones, e.Text("zone")):
				s.Errorf(e.Line, "%s: there is no zone %s", kind, e.Text("zone"))
			}
			d.events = append(d.events, v)
		}
	}
	slices.SortStableFunc(d.events, func(a, b event) int {
		if a.at < b.at {
			return -1
		} else if a.at > b.at {
			return 1
		}
		return 0
	})
	d.Config.Choice.Fronts = d.Fronts
	if len(s.Diagnostics) > 0 {
		return nil, s.Diagnostics
	}
	return d, nil
}

// numberRange returns a field of two numbers in ascending order, or the fallback if the field is absent or wrong.
func numberRange(s *settings.Document, e settings.Entry, form, field string, fallback [2]float64) [2]float64 {
	list := e.NumberList(field)
	if len(list) == 0 {
		return fallback
	}
	if len(list) != 2 || list[0] > list[1] {
		s.Errorf(e.Line, "%s: %s is %v; want the minimum and the maximum, as in [0.5, 2]", form, field, list)
		return fallback
	}
	return [2]float64{list[0], list[1]}
}

// Shorten scales the day and the times of its events to a share of its length.
func (d *Day) Shorten(share float64) {
	d.Length *= share
	for i := range d.events {
		d.events[i].at *= share
		d.events[i].length *= share
	}
	for i := range d.boxes {
		d.boxes[i].starts *= share
	}
}

// arrival is a viewer with all of its random draws.
type arrival struct {
	at              float64
	front           int
	group           int
	title           string
	watch           float64
	disconnectAfter float64 // seconds after its SETUP; 0: it does not
	bandwidth       float64
	tracks          int
	draws           [8]float64 // for its retries
	misbehavior     int        // kind of the misbehaving client that connects as well; 0 is none
}

// arrivals draws the day's viewers. All draws are made ahead, so a seed gives the same viewers whatever happens to them.
func (d *Day) arrivals() (list []arrival) {
	r := rand.New(rand.NewPCG(d.Seed, 1))
	pick := func(weights []float64) int {
		sum := 0.0
		for _, w := range weights {
			sum += w
		}
		x := r.Float64() * sum
		for i, w := range weights {
			if x -= w; x < 0 {
				return i
			}
		}
		return len(weights) - 1
	}
	weights := make([]float64, len(d.titles))
	for i, t := range d.titles {
		weights[i] = t.weight
	}
	between := func(p [2]float64) float64 { return p[0] + (p[1]-p[0])*r.Float64() }
	for at := 0.0; ; {
		rate := d.viewers.rate
		for _, t := range d.events {
			if t.kind == "crowd" && at >= t.at && at < t.at+t.length {
				rate *= t.entry.Number("times")
			}
		}
		at += r.ExpFloat64() / rate
		if at >= d.Length {
			return list
		}
		a := arrival{at: at, front: r.IntN(d.Fronts), group: pick(d.groupShares), title: d.titles[pick(weights)].name,
			watch: between(d.viewers.watch), tracks: 1}
		if r.Float64() < d.viewers.disconnectShare {
			a.disconnectAfter = r.Float64() * 2
		}
		if r.Float64() < d.viewers.lowBandwidthShare {
			g := d.Config.Groups[a.group]
			a.bandwidth = g.Rates[len(g.Rates)/2] * 8000
		}
		if r.Float64() < d.viewers.twoTrackShare {
			a.tracks = 2
		}
		if d.viewers.misbehavingShare > 0 && r.Float64() < d.viewers.misbehavingShare {
			a.misbehavior = 1 + r.IntN(player.MisbehaviorKinds)
		}
		for i := range a.draws {
			a.draws[i] = r.Float64()
		}
		list = append(list, a)
	}
}

// listing returns a box's entry in the box list.
func (b boxSpec) listing(startedAt float64, state choice.Lifecycle) choice.Listing {
	return choice.Listing{ID: choice.ServerID(b.id), Zone: b.zone, Kind: b.kind, Cell: b.cell, State: state, Weight: 1, StartedAt: startedAt}
}

func frontName(i int) string { return fmt.Sprintf("front-%d", i) }
