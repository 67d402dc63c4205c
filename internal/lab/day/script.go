// Package day plays a scripted day on loopback sockets: stand-in boxes in racks and zones, fronts that share nothing
// but the process, viewers that come and come again, and troubles by the clock. The rules are judged from the traffic
// by the witness.
package day

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"rainhaven/choice"
	"rainhaven/internal/lab/player"
	"rainhaven/internal/settings"
)

// Forms are the forms of a day's script.
var Forms = slices.Concat([]settings.Form{
	{Name: "day", Required: true, AtMostOnce: true, Doc: "the day", Fields: []settings.Field{
		{Name: "length", Kind: settings.Number, Required: true, Min: 1, Max: 3600, Doc: "seconds in which viewers come"},
		{Name: "seed", Kind: settings.Integer, Default: 1.0, Doc: "of all chance of the day's"},
		{Name: "fronts", Kind: settings.Integer, Default: 1.0, Min: 1, Max: 200, Doc: "how many fronts there are"},
		{Name: "list_lag", Kind: settings.NumberList, Doc: "least and most seconds until a front is told of a box"},
		{Name: "fps", Kind: settings.Integer, Default: 25.0, Min: 1, Max: 100, Doc: "frames a second"},
		{Name: "thin", Kind: settings.Number, Default: 0.02, Max: 1, Doc: "bytes sent over those of the rate: what one machine carries"},
		{Name: "setup_time", Kind: settings.Number, Default: 0.02, Doc: "seconds that a box takes for a SETUP"},
		{Name: "report_every", Kind: settings.Number, Default: 0.4, Doc: "seconds between refreshments of load reports"},
		{Name: "mischief", Kind: settings.Number, Max: 1, Doc: "share of requests to boxes that meet a random fault"},
		{Name: "vary", Kind: settings.Number, Default: 0.15, Max: 0.9, Doc: "true rates off the ladder"}}},
	{Name: "viewers", Required: true, AtMostOnce: true, Doc: "who comes", Fields: []settings.Field{
		{Name: "rate", Kind: settings.Number, Required: true, Max: 2000, Doc: "new sessions a second"},
		{Name: "watch", Kind: settings.NumberList, Required: true, Doc: "least and most seconds that they watch"},
		{Name: "again", Kind: settings.Number, Default: 0.8, Max: 1, Doc: "share that comes again after a busy reply or a break"},
		{Name: "pause", Kind: settings.NumberList, Doc: "least and most seconds until then"},
		{Name: "hasty", Kind: settings.Number, Default: 0.03, Max: 1, Doc: "share that disconnects without a word, in set-up or later"},
		{Name: "rude", Kind: settings.Number, Max: 1, Doc: "visits of broken clients for each viewer"},
		{Name: "small", Kind: settings.Number, Default: 0.2, Max: 1, Doc: "share that can't use the upper rungs"},
		{Name: "two_tracks", Kind: settings.Number, Default: 0.3, Max: 1, Doc: "share that sets up sound as well"}}},
	{Name: "box", Key: "id", Required: true, Doc: "a stand-in box", Fields: []settings.Field{
		{Name: "id", Kind: settings.Integer, Required: true, Max: 1<<31 - 1, Doc: "its number"},
		{Name: "zone", Kind: settings.Text, Doc: "the zone it stands in"},
		{Name: "kind", Kind: settings.Text, Doc: "its kind"},
		{Name: "cell", Kind: settings.Integer, Required: true, Doc: "its cell"},
		{Name: "link", Kind: settings.Number, Required: true, Min: 1, Doc: "kB a second of its link"},
		{Name: "starts", Kind: settings.Number, Doc: "seconds into the day at which it starts cold; 0 is there from the start"}}},
	trouble("crowd", "more viewers come", times, lasts),
	trouble("hang", "a box stands still", theBox, lasts),
	trouble("hold", "a box plays on and answers nothing", theBox, lasts),
	trouble("silent", "a box is silent and comes back cold", theBox, lasts),
	trouble("slow", "a box's link gives less", theBox, times, lasts),
	trouble("foreign", "another program takes of a box's link", theBox, share, lasts),
	trouble("short_rack", "a rack's uplink gives less",
		settings.Field{Name: "rack", Kind: settings.Integer, Required: true, Doc: "the rack's number"}, times, lasts),
	trouble("refuse", "a box answers full", theBox, lasts),
	trouble("errors", "a box answers SETUPs with errors", theBox,
		settings.Field{Name: "count", Kind: settings.Integer, Required: true, Min: 1, Doc: "of the next SETUPs"}),
	trouble("ageing", "a box takes ever longer and dies at the end", theBox, times, lasts),
	trouble("drain", "the list says that a box drains, and later that it is gone", theBox, lasts),
	trouble("kill", "a box dies and comes back cold", theBox, lasts),
	trouble("late_reports", "load reports come later", lasts,
		settings.Field{Name: "by", Kind: settings.Number, Required: true, Doc: "seconds"}),
	trouble("cut_zone", "a zone's boxes can't be reached from elsewhere", lasts,
		settings.Field{Name: "zone", Kind: settings.Text, Required: true, Doc: "its name"}),
	trouble("restart_front", "a front is killed and started again",
		theFront, lasts),
	trouble("reload_front", "a front takes new settings in service: another wait until turned-away viewers come back, other limits", theFront),
}, settings.CommonForms)

var (
	theFront = settings.Field{Name: "front", Kind: settings.Integer, Required: true, Doc: "its number"}

	theBox = settings.Field{Name: "box", Kind: settings.Integer, Required: true, Doc: "the box's number"}
	lasts  = settings.Field{Name: "length", Kind: settings.Number, Required: true, Doc: "seconds that it lasts"}
	times  = settings.Field{Name: "times", Kind: settings.Number, Required: true, Min: 0.1, Max: 1000, Doc: "by how much"}
	share  = settings.Field{Name: "share", Kind: settings.Number, Required: true, Max: 5, Doc: "of its link"}
)

func trouble(name, doc string, fields ...settings.Field) settings.Form {
	at := settings.Field{Name: "at", Kind: settings.Number, Required: true, Doc: "seconds into the day"}
	return settings.Form{Name: name, Doc: doc, Fields: append([]settings.Field{at}, fields...)}
}

// troubles are the forms that are troubles.
var troubles = []string{"crowd", "hang", "hold", "silent", "slow", "foreign", "short_rack", "refuse", "errors", "ageing", "drain",
	"kill", "late_reports", "cut_zone", "restart_front", "reload_front"}

// Day is a script that was read.
type Day struct {
	Config   settings.Config // of a front; Name, Me, Listen and Boxes are each front's
	Fronts   int
	Length   float64
	Seed     uint64
	lag      [2]float64
	fps      int
	thin     float64
	setup    float64
	report   float64
	vary     float64
	mischief float64
	viewers  viewers
	boxes    []stand
	titles   []wanted
	shares   []float64 // by group
	troubles []happening
}

type viewers struct {
	rate, again, hasty, small, two, rude float64
	watch, pause                         [2]float64
}

type stand struct {
	id, zone, kind, cell int
	link, starts         float64
}

type wanted struct {
	name   string
	weight float64
}

type happening struct {
	at, length float64
	what       string
	e          settings.Entry
}

// Read reads a day's script. The error is the file's, or settings.Diagnostics.
func Read(file string) (*Day, error) {
	s, err := settings.ReadFile(file, Forms, 0)
	if err != nil {
		return nil, err
	}
	return fromSheet(s)
}

// Parse reads a day's script from memory.
func Parse(name string, src []byte) (*Day, error) { return fromSheet(settings.Read(name, src, Forms)) }

func fromSheet(s *settings.Document) (*Day, error) {
	d := &Day{Config: settings.CommonConfig(s)}
	e, _ := s.Single("day")
	d.Length, d.Seed, d.Fronts = e.Number("length"), uint64(e.Number("seed")), max(e.Int("fronts"), 1)
	d.fps, d.thin, d.setup, d.report, d.vary, d.mischief = e.Int("fps"), e.Number("thin"), e.Number("setup_time"), e.Number("report_every"), e.Number("vary"), e.Number("mischief")
	d.lag = pair(s, e, "day", "list_lag", [2]float64{0.3, 2})
	e, _ = s.Single("viewers")
	d.viewers = viewers{rate: e.Number("rate"), again: e.Number("again"), hasty: e.Number("hasty"), small: e.Number("small"),
		two: e.Number("two_tracks"), rude: e.Number("rude"), watch: pair(s, e, "viewers", "watch", [2]float64{5, 10}),
		pause: pair(s, e, "viewers", "pause", [2]float64{0.6, 1.9})}
	known := map[int]bool{}
	for _, e := range s.Entries("box") {
		b := stand{id: e.Int("id"), zone: d.Config.Zone(s, e), kind: d.Config.Kind(s, e), cell: e.Int("cell"), link: e.Number("link"),
			starts: e.Number("starts")}
		if b.cell >= d.Config.Choice.Cells {
			s.Errorf(e.Line, "box %d: cell is %d; 0 to %d would be right", b.id, b.cell, d.Config.Choice.Cells-1)
		}
		known[b.id] = true
		d.boxes = append(d.boxes, b)
	}
	for _, e := range s.Entries("title") {
		d.titles = append(d.titles, wanted{e.Text("name"), e.Number("wanted")})
	}
	for _, e := range s.Entries("group") {
		d.shares = append(d.shares, e.Number("share"))
	}
	for _, what := range troubles {
		for _, e := range s.Entries(what) {
			h := happening{at: e.Number("at"), length: e.Number("length"), what: what, e: e}
			switch {
			case e.Has("box") && !known[e.Int("box")]:
				s.Errorf(e.Line, "%s: there is no box %d", what, e.Int("box"))
			case e.Has("front") && e.Int("front") >= d.Fronts:
				s.Errorf(e.Line, "%s: there is no front %d; 0 to %d would be right", what, e.Int("front"), d.Fronts-1)
			case what == "short_rack" && e.Int("rack") >= d.Config.Choice.Racks:
				s.Errorf(e.Line, "%s: there is no rack %d; 0 to %d would be right", what, e.Int("rack"), d.Config.Choice.Racks-1)
			case what == "cut_zone" && !slices.Contains(d.Config.Zones, e.Text("zone")):
				s.Errorf(e.Line, "%s: there is no zone %s", what, e.Text("zone"))
			}
			d.troubles = append(d.troubles, h)
		}
	}
	slices.SortStableFunc(d.troubles, func(a, b happening) int {
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

func pair(s *settings.Document, e settings.Entry, form, field string, otherwise [2]float64) [2]float64 {
	l := e.NumberList(field)
	if len(l) == 0 {
		return otherwise
	}
	if len(l) != 2 || l[0] > l[1] {
		s.Errorf(e.Line, "%s: %s is %v; the least and the most would be right, as in [0.5, 2]", form, field, l)
		return otherwise
	}
	return [2]float64{l[0], l[1]}
}

// Shorten makes the day pass in a share of its length, its troubles with it.
func (d *Day) Shorten(share float64) {
	d.Length *= share
	for i := range d.troubles {
		d.troubles[i].at *= share
		d.troubles[i].length *= share
	}
	for i := range d.boxes {
		d.boxes[i].starts *= share
	}
}

// arrival is one viewer as the day's chance drew it.
type arrival struct {
	at        float64
	front     int
	group     int
	title     string
	watch     float64
	hasty     float64 // it leaves so many seconds after its SETUP; 0 is not
	bandwidth float64
	tracks    int
	dice      [8]float64 // for its returns
	rude      int        // the kind of a broken client that comes as well; 0 is none
}

// arrivals draws the day's viewers: the same ones for a seed, whatever happens to them.
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
		for _, t := range d.troubles {
			if t.what == "crowd" && at >= t.at && at < t.at+t.length {
				rate *= t.e.Number("times")
			}
		}
		at += r.ExpFloat64() / rate
		if at >= d.Length {
			return list
		}
		a := arrival{at: at, front: r.IntN(d.Fronts), group: pick(d.shares), title: d.titles[pick(weights)].name,
			watch: between(d.viewers.watch), tracks: 1}
		if r.Float64() < d.viewers.hasty {
			a.hasty = r.Float64() * 2
		}
		if r.Float64() < d.viewers.small {
			g := d.Config.Groups[a.group]
			a.bandwidth = g.Rates[len(g.Rates)/2] * 8000
		}
		if r.Float64() < d.viewers.two {
			a.tracks = 2
		}
		if d.viewers.rude > 0 && r.Float64() < d.viewers.rude {
			a.rude = 1 + r.IntN(player.RudeKinds)
		}
		for i := range a.dice {
			a.dice[i] = r.Float64()
		}
		list = append(list, a)
	}
}

// listing is what the box list says of a stand-in.
func (b stand) listing(born float64, state choice.Lifecycle) choice.Listing {
	return choice.Listing{ID: choice.ServerID(b.id), Zone: b.zone, Kind: b.kind, Cell: b.cell, State: state, Weight: 1, StartedAt: born}
}

func frontName(i int) string { return fmt.Sprintf("front-%d", i) }
