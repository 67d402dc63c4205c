package settings

import (
	"net"
	"slices"
	"strconv"
	"strings"

	"rainhaven/choice"
	"rainhaven/choice/auth"
	"rainhaven/choice/limits"
)

// CommonForms are the forms that a front's settings and a day's script share.
var CommonForms = []Form{
	{Name: "zone", Key: "name", Doc: "a zone, in the order of their numbers", Fields: []Field{
		{Name: "name", Kind: Text, Required: true, Doc: "its name"}}},
	{Name: "kind", Key: "name", Required: true, Doc: "a kind of box, in the order of their numbers", Fields: []Field{
		{Name: "name", Kind: Text, Required: true, Doc: "its name"},
		{Name: "places", Kind: Integer, Required: true, Min: 1, Doc: "streams that such a box runs at most"}}},
	{Name: "ladder", Required: true, AtMostOnce: true, Doc: "the rates of the rungs", Fields: []Field{
		{Name: "rates", Kind: NumberList, Required: true, Min: 1, Doc: "kB a second of each rung, lowest first"}}},
	{Name: "group", Key: "name", Required: true, Doc: "a service group", Fields: []Field{
		{Name: "name", Kind: Text, Required: true, Doc: "its name, as in URLs"},
		{Name: "utility", Kind: Number, Default: 1.0, Doc: "what a second of its sessions earns at the top rung"},
		{Name: "scale", Kind: Number, Default: 1.0, Min: 0.01, Max: 100, Doc: "its rates over those of the ladder"},
		{Name: "start_target", Kind: Number, Required: true, Min: 0.05, Max: 60, Doc: "seconds within which an answer is wanted"},
		{Name: "setup_timeout", Kind: Number, Required: true, Min: 0.5, Max: 120, Doc: "seconds after which its viewers give up"},
		{Name: "paid", Kind: Bool, Doc: "a SETUP is paid for and never sent again"},
		{Name: "floor", Kind: Integer, Doc: "the lowest rung that it may play on"},
		{Name: "top", Kind: Integer, Default: -1.0, Min: -1, Doc: "the highest rung"},
		{Name: "seats", Kind: Integer, Doc: "sessions of one title that a front may hold; 0 is no cap"},
		{Name: "live", Kind: Bool, Doc: "its titles are live: viewers of one at one box and rung share a stream"},
		{Name: "share", Kind: Number, Default: 1.0, Doc: "its part of new sessions on a day"}}},
	{Name: "fleet", Required: true, AtMostOnce: true, Doc: "the size of all boxes together", Fields: []Field{
		{Name: "links", Kind: Number, Required: true, Min: 1, Doc: "kB a second of all links together"},
		{Name: "uplink", Kind: Number, Required: true, Min: 1, Doc: "kB a second of a rack's uplink, on average"},
		{Name: "cells", Kind: Integer, Required: true, Min: 1, Doc: "number of cells"},
		{Name: "racks", Kind: Integer, Required: true, Min: 1, Doc: "number of racks; a box's rack is its cell modulo this"},
		{Name: "shared_adds", Kind: Number, Default: 1.0, Min: 0.01, Max: 1, Doc: "what a further viewer of a live title adds to its stream, of its rate"},
		{Name: "cross_zone_price", Kind: Number, Doc: "of a session that crosses zones, in sessions"}}},
	{Name: "setups", AtMostOnce: true, Doc: "the ration of further SETUPs", Fields: []Field{
		{Name: "most", Kind: Integer, Default: 3.0, Min: 1, Max: 20, Doc: "SETUPs at most for one request"},
		{Name: "spare", Kind: Number, Default: 5.0, Doc: "further SETUPs allowed however few sessions are taken"},
		{Name: "share", Kind: Number, Default: 0.1, Max: 10, Doc: "further SETUPs for each session taken"},
		{Name: "window", Kind: Number, Default: 10.0, Max: 3600, Doc: "seconds that are counted over; 0 is no ration"},
		{Name: "advice", Kind: Number, Default: 1.0, Max: 600, Doc: "seconds, the longest advice on coming back"}}},
	{Name: "drains", AtMostOnce: true, Doc: "the drain rule", Fields: []Field{
		{Name: "grace", Kind: Number, Default: 0.5, Min: 0.1, Doc: "seconds after which nothing new may reach a box that drains"}}},
	{Name: "cold", AtMostOnce: true, Doc: "what a box that has just started takes", Fields: []Field{
		{Name: "warm_up", Kind: Number, Required: true, Doc: "seconds until it is warm"},
		{Name: "share", Kind: Number, Required: true, Max: 1, Doc: "of its capacity, that it starts at"},
		{Name: "fall_factor", Kind: Number, Required: true, Min: 1, Doc: "sent so many times what it can take it falls over"},
		{Name: "fall_time", Kind: Number, Required: true, Min: 0.1, Doc: "seconds of that until it does"}}},
	{Name: "reports", AtMostOnce: true, Doc: "what boxes tell of their load", Fields: []Field{
		{Name: "come", Kind: Text, Default: "answers", Doc: "one of answers, probes, never"},
		{Name: "lag", Kind: Number, Default: 1.0, Max: 60, Doc: "seconds that notes lag"},
		{Name: "notes_every", Kind: Number, Default: 3.0, Max: 600, Doc: "seconds between load notes; 0 is none"},
		{Name: "full_at", Kind: Number, Doc: "load of its link at which a box answers full; 0 is never"},
		{Name: "probes", Kind: Bool, Default: true, Doc: "boxes may be probed"}}},
	{Name: "title", Key: "name", Required: true, Doc: "a title and the boxes that hold it", Fields: []Field{
		{Name: "name", Kind: Text, Required: true, Doc: "its name, as in URLs"},
		{Name: "start_cell", Kind: Integer, Doc: "the first cell that holds it"},
		{Name: "span", Kind: Integer, Default: 1.0, Min: 1, Doc: "how many cells in a row hold it"},
		{Name: "length", Kind: Number, Doc: "its length in seconds; 0 is not known"},
		{Name: "wanted", Kind: Number, Default: 1.0, Doc: "how much it is wanted on a day, over others"}}},
	{Name: "limits", AtMostOnce: true, Doc: "the front's own bounds", Fields: []Field{
		{Name: "connections", Kind: Integer, Default: float64(limits.Defaults.Connections), Min: 1, Doc: "of viewers, in all"},
		{Name: "sessions", Kind: Integer, Default: float64(limits.Defaults.Sessions), Min: 1, Doc: "in all; more are busy-replied"},
		{Name: "box_connections", Kind: Integer, Default: float64(limits.Defaults.BoxConnections), Min: 1, Doc: "to one box"},
		{Name: "queue", Kind: Integer, Default: float64(limits.Defaults.Queue), Min: 1 << 14, Max: 1 << 28, Doc: "bytes of media that wait for one viewer"},
		{Name: "viewer_idle", Kind: Number, Default: limits.Defaults.ViewerIdle, Min: 5, Max: 3600, Doc: "seconds after which an unheard viewer is gone"},
		{Name: "keep_alive", Kind: Number, Default: limits.Defaults.KeepAlive, Min: 1, Max: 3600, Doc: "seconds between signs of life to a box"},
		{Name: "connect_timeout", Kind: Number, Default: limits.Defaults.ConnectTimeout, Min: 0.01, Max: 30, Doc: "seconds for a connection to a box"},
		{Name: "probe_timeout", Kind: Number, Default: limits.Defaults.ProbeTimeout, Min: 0.01, Max: 30, Doc: "seconds for a probe's answer"},
		{Name: "write_stall", Kind: Number, Default: limits.Defaults.WriteStall, Min: 0.5, Max: 300, Doc: "seconds that one write to a viewer may take"}}},
}

// FrontForms are the forms of a front's settings.
var FrontForms = slices.Concat([]Form{
	{Name: "front", Required: true, AtMostOnce: true, Doc: "this front", Fields: []Field{
		{Name: "name", Kind: Text, Required: true, Doc: "of the instance"},
		{Name: "listen", Kind: Text, Required: true, Doc: "host:port for viewers"},
		{Name: "tls_listen", Kind: Text, Doc: "host:port for viewers over TLS; empty is none"},
		{Name: "cert", Kind: Text, Doc: "file of the certificate for TLS, and of those that signed it"},
		{Name: "key", Kind: Text, Doc: "file of its key"},
		{Name: "redirect", Kind: Text, Doc: "host:port of a front that viewers are sent to while this one drains; empty is none"},
		{Name: "admin", Kind: Text, Doc: "host:port for health and metrics; empty is none"},
		{Name: "state", Kind: Text, Doc: "folder that exists, for what must outlive the process; empty keeps nothing"},
		{Name: "log", Kind: Text, Doc: "least level logged: debug, info, warn, error; that of the command line where empty"},
		{Name: "me", Kind: Integer, Doc: "its number among the fronts, from 0"},
		{Name: "fronts", Kind: Integer, Default: 1.0, Min: 1, Doc: "how many fronts there are"},
		{Name: "zone", Kind: Text, Doc: "the zone it stands in"},
		{Name: "realm", Kind: Text, Default: "rainhaven", Doc: "what viewers' credentials are for, where users are named"},
		{Name: "seed", Kind: Integer, Doc: "of its chance; 0 draws one at each start"}}},
	{Name: "user", Key: "name", Doc: "one who may enter; without any, everyone may", Fields: []Field{
		{Name: "name", Kind: Text, Required: true, Doc: "the name"},
		{Name: "password", Kind: Text, Required: true, Doc: "the password; keep the file to yourself"}}},
	{Name: "box_tls", AtMostOnce: true, Doc: "connections to boxes go over TLS", Fields: []Field{
		{Name: "roots", Kind: Text, Required: true, Doc: "file of the certificates that boxes are trusted by"},
		{Name: "name", Kind: Text, Doc: "what their certificates are for; the host of each address where empty"}}},
	{Name: "box", Key: "id", Required: true, Doc: "a box", Fields: []Field{
		{Name: "id", Kind: Integer, Required: true, Max: 1<<32 - 1, Doc: "its number"},
		{Name: "address", Kind: Text, Required: true, Doc: "host:port"},
		{Name: "zone", Kind: Text, Doc: "the zone it stands in"},
		{Name: "kind", Kind: Text, Doc: "its kind; the first one where none is named"},
		{Name: "cell", Kind: Integer, Required: true, Doc: "its cell"},
		{Name: "state", Kind: Text, Default: "ready", Doc: "one of ready, draining, gone"},
		{Name: "born", Kind: Number, Doc: "its last start in seconds since 1970; 0 is long ago"}}},
}, CommonForms)

// ReadConfig reads a front's settings from a file. The error is the file's, or Mistakes.
func ReadConfig(file string) (Config, error) { return ReadInstanceConfig(file, 0) }

// ReadInstanceConfig is ReadTerms for one of many fronts that share a script: it knows its number by the name instance.
func ReadInstanceConfig(file string, instance int) (Config, error) {
	s, err := ReadFile(file, FrontForms, instance)
	if err != nil {
		return Config{}, err
	}
	t := FrontConfig(s)
	if len(s.Diagnostics) > 0 {
		return Config{}, s.Diagnostics
	}
	return t, nil
}

// FrontConfig makes a front's terms of what its script said; what does not fit together is added to its mistakes.
func FrontConfig(s *Document) Config {
	t := CommonConfig(s)
	e, _ := s.Single("front")
	t.Name, t.Listen, t.Admin, t.StateDir = e.Text("name"), e.Text("listen"), e.Text("admin"), e.Text("state")
	t.Choice.FrontIndex, t.Choice.Fronts, t.Choice.Seed = e.Int("me"), max(e.Int("fronts"), 1), uint64(e.Number("seed"))
	t.Choice.Zone = t.Zone(s, e)
	if t.Realm = e.Text("realm"); strings.ContainsAny(t.Realm, "\"\\\r\n") {
		s.Errorf(e.Line, "front: realm %q stands between quotes; none within would be right", t.Realm)
	}
	for _, e := range s.Entries("user") {
		u := auth.User{Name: e.Text("name"), Password: e.Text("password")}
		if strings.Contains(u.Name, ":") {
			s.Errorf(e.Line, "user %s: a colon ends the name in a digest; a name without one would be right", u.Name)
		}
		t.Users = append(t.Users, u)
	}
	if t.Choice.FrontIndex >= t.Choice.Fronts {
		s.Errorf(e.Line, "front: me is %d of %d fronts; 0 to %d would be right", t.Choice.FrontIndex, t.Choice.Fronts, t.Choice.Fronts-1)
	}
	if strings.ContainsAny(t.Name, "/ \t\\") {
		s.Errorf(e.Line, "front: name %q is used for files; letters, digits, dots and dashes are right", t.Name)
	}
	t.Redirect = e.Text("redirect")
	if t.LogLevel = e.Text("log"); !slices.Contains([]string{"", "debug", "info", "warn", "error"}, t.LogLevel) {
		s.Errorf(e.Line, "front: log is %q; debug, info, warn or error would be right", t.LogLevel)
	}
	t.TLS = TLSListener{e.Text("tls_listen"), e.Text("cert"), e.Text("key")}
	if t.TLS.Listen != "" && (t.TLS.CertFile == "" || t.TLS.KeyFile == "") {
		s.Errorf(e.Line, "front: tls_listen needs cert and key, two files")
	}
	if e, ok := s.Single("box_tls"); ok {
		t.BoxTLS = TLSTrust{e.Text("roots"), e.Text("name")}
	}
	for _, field := range []string{"listen", "admin", "tls_listen", "redirect"} {
		if a := e.Text(field); a != "" {
			checkAddress(s, e, "front", field, a)
		}
	}
	seen := map[string]int{}
	for _, e := range s.Entries("box") {
		b := Box{Address: e.Text("address"), Listing: choice.Listing{ID: choice.ServerID(e.Number("id")), Zone: t.Zone(s, e),
			Cell: e.Int("cell"), Weight: 1, StartedAt: e.Number("born")}}
		checkAddress(s, e, "box", "address", b.Address)
		if line, twice := seen[b.Address]; twice && b.Address != "" {
			s.Errorf(e.Line, "box: address %s is that of the box on line %d", b.Address, line)
		}
		seen[b.Address] = e.Line
		b.Kind = t.Kind(s, e)
		switch e.Text("state") {
		case "ready":
			b.State = choice.Ready
		case "draining":
			b.State = choice.Draining
		case "gone":
			b.State = choice.Gone
		default:
			s.Errorf(e.Line, "box: state is %q; ready, draining or gone would be right", e.Text("state"))
		}
		t.checkCell(s, e, "box", "cell")
		t.Boxes = append(t.Boxes, b)
	}
	for _, e := range s.Entries("title") {
		held := slices.ContainsFunc(t.Boxes, func(b Box) bool {
			c := max(t.Choice.Cells, 1)
			return (b.Cell-e.Int("start_cell")+c)%c < e.Int("span")
		})
		if !held && len(t.Boxes) > 0 {
			s.Errorf(e.Line, "title %s: no box stands in its cells %d to %d", e.Text("name"), e.Int("start_cell"), e.Int("start_cell")+e.Int("span")-1)
		}
	}
	return t
}

// CommonConfig makes terms of the common forms.
func CommonConfig(s *Document) Config {
	t := Config{Titles: map[string]Title{}}
	f := &t.Choice
	for _, e := range s.Entries("zone") {
		t.Zones = append(t.Zones, e.Text("name"))
	}
	for _, e := range s.Entries("kind") {
		t.Kinds = append(t.Kinds, e.Text("name"))
		f.MaxStreams = append(f.MaxStreams, e.Number("places"))
	}
	e, _ := s.Single("ladder")
	f.Ladder = e.NumberList("rates")
	if !slices.IsSorted(f.Ladder) {
		s.Errorf(e.Line, "ladder: rates are %v; lowest first would be right", f.Ladder)
	}
	rungs := len(f.Ladder)
	for _, e := range s.Entries("group") {
		g := choice.ServiceGroup{Utility: e.Number("utility"), Scale: e.Number("scale"), StartTarget: e.Number("start_target"),
			Paid: e.Bool("paid"), Floor: e.Int("floor"), Top: e.Int("top"), Seats: e.Int("seats")}
		if g.Top < 0 {
			g.Top = rungs - 1
		}
		if rungs > 0 && (g.Floor >= rungs || g.Top >= rungs || g.Floor > g.Top) {
			s.Errorf(e.Line, "group %s: floor %d and top %d; the ladder's rungs are 0 to %d", e.Text("name"), g.Floor, g.Top, rungs-1)
		}
		if e.Number("setup_timeout") <= g.StartTarget {
			s.Errorf(e.Line, "group %s: its viewers give up after %v s, before its start target of %v s; a longer setup_timeout would be right",
				e.Text("name"), e.Number("setup_timeout"), g.StartTarget)
		}
		if strings.ContainsAny(e.Text("name"), "/?#% ") {
			s.Errorf(e.Line, "group %q stands in URLs; letters, digits and dashes are right", e.Text("name"))
		}
		f.Groups = append(f.Groups, g)
		rates := make([]float64, rungs)
		for i, r := range f.Ladder {
			rates[i] = r * g.Scale
		}
		t.Groups = append(t.Groups, Group{Name: e.Text("name"), SetupTimeout: e.Number("setup_timeout"), Rates: rates})
	}
	e, _ = s.Single("fleet")
	f.FleetLinkCapacity, f.MeanUplinkCapacity, f.CrossZonePrice = e.Number("links"), e.Number("uplink"), e.Number("cross_zone_price")
	f.Cells, f.Racks = e.Int("cells"), e.Int("racks")
	live := false
	for i, g := range s.Entries("group") {
		if g.Bool("live") {
			f.Groups[i].AddedRateShare, live = e.Number("shared_adds"), true
		}
	}
	if e.Number("shared_adds") < 1 && e.Has("shared_adds") && !live {
		s.Errorf(e.Line, "fleet: shared_adds is %v, and no group is live; live = True in one of them would be right", e.Number("shared_adds"))
	}
	if f.Racks > f.Cells {
		s.Errorf(e.Line, "fleet: %d racks in %d cells; a rack has one cell at least", f.Racks, f.Cells)
	}
	e = s.singleOrDefaults("setups")
	f.MaxSetups, f.MaxRetryAfter = e.Int("most"), e.Number("advice")
	f.BaseRetries, f.RetriesPerSession, f.RetryWindow = e.Number("spare"), e.Number("share"), e.Number("window")
	if e, ok := s.Single("cold"); ok {
		f.WarmUp, f.ColdShare = e.Number("warm_up"), e.Number("share")
		f.OverloadFactor, f.OverloadTime = e.Number("fall_factor"), e.Number("fall_time")
	}
	e = s.singleOrDefaults("reports")
	f.NoteLag, f.NoteInterval, f.FullThreshold, f.Probes = e.Number("lag"), e.Number("notes_every"), e.Number("full_at"), e.Bool("probes")
	switch e.Text("come") {
	case "answers":
		f.Reporting = choice.ReportsInAnswers
	case "probes":
		f.Reporting = choice.ReportsInProbes
	case "never":
		f.Reporting = choice.ReportsNever
	default:
		s.Errorf(e.Line, "reports: come is %q; answers, probes or never would be right", e.Text("come"))
	}
	for _, e := range s.Entries("title") {
		t.checkCell(s, e, "title", "start_cell")
		if e.Int("span") > f.Cells && f.Cells > 0 {
			s.Errorf(e.Line, "title %s: span %d is more than the %d cells", e.Text("name"), e.Int("span"), f.Cells)
		}
		t.Titles[e.Text("name")] = Title{StartCell: e.Int("start_cell"), Span: e.Int("span"), Length: e.Number("length")}
	}
	e = s.singleOrDefaults("limits")
	t.Limits = limits.Bounds{Connections: e.Int("connections"), Sessions: e.Int("sessions"), BoxConnections: e.Int("box_connections"),
		Queue: e.Int("queue"), ViewerIdle: e.Number("viewer_idle"), KeepAlive: e.Number("keep_alive"),
		ConnectTimeout: e.Number("connect_timeout"), ProbeTimeout: e.Number("probe_timeout"), WriteStall: e.Number("write_stall")}
	e = s.singleOrDefaults("drains")
	t.DrainGrace = e.Number("grace")
	return t
}

// singleOrDefaults is the only call of a form, or one with nothing but defaults.
func (s *Document) singleOrDefaults(form string) Entry {
	if e, ok := s.Single(form); ok {
		return e
	}
	blank := &Document{entries: map[string][]Entry{}}
	for _, f := range CommonForms {
		if f.Name == form {
			blank.addEntry(f, 0, nil)
		}
	}
	e, _ := blank.Single(form)
	return e
}

func (t *Config) checkCell(s *Document, e Entry, form, field string) {
	if c := e.Int(field); c >= t.Choice.Cells && t.Choice.Cells > 0 {
		s.Errorf(e.Line, "%s: %s is %d; 0 to %d would be right", form, field, c, t.Choice.Cells-1)
	}
}

// declaredIndex is the number of the name in an entry's field among those declared; 0 where the field is empty.
func declaredIndex(s *Document, e Entry, field string, declared []string) int {
	name := e.Text(field)
	if name == "" {
		return 0
	}
	i := slices.Index(declared, name)
	if i < 0 {
		s.Errorf(e.Line, "%s %s is not declared%s", field, name, suggest(name, declared))
		return 0
	}
	return i
}

// Zone and Kind are the numbers of an entry's zone and kind.
func (t *Config) Zone(s *Document, e Entry) int { return declaredIndex(s, e, "zone", t.Zones) }
func (t *Config) Kind(s *Document, e Entry) int { return declaredIndex(s, e, "kind", t.Kinds) }

func checkAddress(s *Document, e Entry, form, field, a string) {
	host, port, err := net.SplitHostPort(a)
	n, bad := strconv.Atoi(port)
	if err != nil || bad != nil || n < 0 || n > 65535 || host == "" && form == "box" {
		s.Errorf(e.Line, "%s: %s is %q; host:port would be right, as in 127.0.0.1:8554", form, field, a)
	}
}
