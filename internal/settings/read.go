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

// CommonForms are the forms shared by a front's settings and the script of a simulated day.
var CommonForms = []Form{
	{Name: "zone", Key: "name", Doc: "a zone; zones are numbered in the order of the calls", Fields: []Field{
		{Name: "name", Kind: Text, Required: true, Doc: "name of the zone"}}},
	{Name: "kind", Key: "name", Required: true, Doc: "a kind of box; kinds are numbered in the order of the calls", Fields: []Field{
		{Name: "name", Kind: Text, Required: true, Doc: "name of the kind"},
		{Name: "places", Kind: Integer, Required: true, Min: 1, Doc: "maximum number of streams of such a box"}}},
	{Name: "ladder", Required: true, AtMostOnce: true, Doc: "the rates of the rungs", Fields: []Field{
		{Name: "rates", Kind: NumberList, Required: true, Min: 1, Doc: "kB per second of each rung, in ascending order"}}},
	{Name: "group", Key: "name", Required: true, Doc: "a service group", Fields: []Field{
		{Name: "name", Kind: Text, Required: true, Doc: "name, as it appears in URLs"},
		{Name: "utility", Kind: Number, Default: 1.0, Doc: "value of one second of a session at the top rung"},
		{Name: "scale", Kind: Number, Default: 1.0, Min: 0.01, Max: 100, Doc: "factor applied to the rates of the ladder"},
		{Name: "start_target", Kind: Number, Required: true, Min: 0.05, Max: 60, Doc: "seconds within which a response should arrive"},
		{Name: "setup_timeout", Kind: Number, Required: true, Min: 0.5, Max: 120, Doc: "seconds after which its viewers give up"},
		{Name: "paid", Kind: Bool, Doc: "a SETUP is paid for and never retried"},
		{Name: "floor", Kind: Integer, Doc: "lowest rung allowed"},
		{Name: "top", Kind: Integer, Default: -1.0, Min: -1, Doc: "highest rung allowed; -1 is that of the ladder"},
		{Name: "seats", Kind: Integer, Doc: "maximum number of sessions of one title at a front; 0 is no limit"},
		{Name: "live", Kind: Bool, Doc: "titles are live: viewers of the same title, box and rung share a stream"},
		{Name: "share", Kind: Number, Default: 1.0, Doc: "weight among the new sessions of a simulated day"}}},
	{Name: "fleet", Required: true, AtMostOnce: true, Doc: "total capacity of all boxes", Fields: []Field{
		{Name: "links", Kind: Number, Required: true, Min: 1, Doc: "kB per second of all links together"},
		{Name: "uplink", Kind: Number, Required: true, Min: 1, Doc: "kB per second of a rack's uplink, on average"},
		{Name: "cells", Kind: Integer, Required: true, Min: 1, Doc: "number of cells"},
		{Name: "racks", Kind: Integer, Required: true, Min: 1, Doc: "number of racks; the rack of a box is its cell modulo this number"},
		{Name: "shared_adds", Kind: Number, Default: 1.0, Min: 0.01, Max: 1, Doc: "share of its rate that a further viewer adds to a shared stream of a live title"},
		{Name: "cross_zone_price", Kind: Number, Doc: "cost of a session that crosses zones, in sessions"}}},
	{Name: "setups", AtMostOnce: true, Doc: "the retry budget for SETUPs", Fields: []Field{
		{Name: "most", Kind: Integer, Default: 3.0, Min: 1, Max: 20, Doc: "maximum number of SETUPs for one request"},
		{Name: "spare", Kind: Number, Default: 5.0, Doc: "base allowance: retries allowed regardless of the number of accepted sessions"},
		{Name: "share", Kind: Number, Default: 0.1, Max: 10, Doc: "retries allowed per accepted session"},
		{Name: "window", Kind: Number, Default: 10.0, Max: 3600, Doc: "length of the accounting window in seconds; 0 is no limit"},
		{Name: "advice", Kind: Number, Default: 1.0, Max: 600, Doc: "maximum Retry-After in seconds"}}},
	{Name: "drains", AtMostOnce: true, Doc: "rules for draining boxes", Fields: []Field{
		{Name: "grace", Kind: Number, Default: 0.5, Min: 0.1, Doc: "seconds after which no new session may reach a draining box"}}},
	{Name: "cold", AtMostOnce: true, Doc: "capacity of a box that has just started", Fields: []Field{
		{Name: "warm_up", Kind: Number, Required: true, Doc: "seconds until it has full capacity"},
		{Name: "share", Kind: Number, Required: true, Max: 1, Doc: "share of its capacity that it starts with"},
		{Name: "fall_factor", Kind: Number, Required: true, Min: 1, Doc: "load, as a multiple of its current capacity, at which it fails"},
		{Name: "fall_time", Kind: Number, Required: true, Min: 0.1, Doc: "seconds of that load until it fails"}}},
	{Name: "reports", AtMostOnce: true, Doc: "load reports of boxes", Fields: []Field{
		{Name: "come", Kind: Text, Default: "answers", Doc: "where reports come from: answers, probes or never"},
		{Name: "lag", Kind: Number, Default: 1.0, Max: 60, Doc: "delay of load notes in seconds"},
		{Name: "notes_every", Kind: Number, Default: 3.0, Max: 600, Doc: "seconds between load notes; 0 is none"},
		{Name: "full_at", Kind: Number, Doc: "load of its link at which a box responds that it is full; 0 is never"},
		{Name: "probes", Kind: Bool, Default: true, Doc: "boxes may be probed"}}},
	{Name: "title", Key: "name", Required: true, Doc: "a title and the cells whose boxes hold it", Fields: []Field{
		{Name: "name", Kind: Text, Required: true, Doc: "name, as it appears in URLs"},
		{Name: "start_cell", Kind: Integer, Doc: "first cell that holds it"},
		{Name: "span", Kind: Integer, Default: 1.0, Min: 1, Doc: "number of consecutive cells that hold it"},
		{Name: "length", Kind: Number, Doc: "length in seconds; 0 is unknown"},
		{Name: "wanted", Kind: Number, Default: 1.0, Doc: "relative demand on a simulated day"}}},
	{Name: "limits", AtMostOnce: true, Doc: "limits of the front", Fields: []Field{
		{Name: "connections", Kind: Integer, Default: float64(limits.Defaults.MaxConnections), Min: 1, Doc: "maximum number of viewer connections"},
		{Name: "sessions", Kind: Integer, Default: float64(limits.Defaults.MaxSessions), Min: 1, Doc: "maximum number of sessions; further ones get a busy reply"},
		{Name: "box_connections", Kind: Integer, Default: float64(limits.Defaults.MaxBoxConnections), Min: 1, Doc: "maximum number of connections to one box"},
		{Name: "queue", Kind: Integer, Default: float64(limits.Defaults.QueueBytes), Min: 1 << 14, Max: 1 << 28, Doc: "maximum bytes of media queued for one viewer"},
		{Name: "viewer_idle", Kind: Number, Default: limits.Defaults.ViewerIdleTimeout, Min: 5, Max: 3600, Doc: "seconds without input after which a viewer is considered gone"},
		{Name: "keep_alive", Kind: Number, Default: limits.Defaults.KeepAliveInterval, Min: 1, Max: 3600, Doc: "seconds between keep-alive requests to a box"},
		{Name: "connect_timeout", Kind: Number, Default: limits.Defaults.ConnectTimeout, Min: 0.01, Max: 30, Doc: "timeout for connecting to a box, in seconds"},
		{Name: "probe_timeout", Kind: Number, Default: limits.Defaults.ProbeTimeout, Min: 0.01, Max: 30, Doc: "timeout for the response to a probe, in seconds"},
		{Name: "write_stall", Kind: Number, Default: limits.Defaults.WriteStall, Min: 0.5, Max: 300, Doc: "maximum seconds for one write to a viewer"}}},
}

// FrontForms are the forms of a front's settings.
var FrontForms = slices.Concat([]Form{
	{Name: "front", Required: true, AtMostOnce: true, Doc: "this front", Fields: []Field{
		{Name: "name", Kind: Text, Required: true, Doc: "name of the instance"},
		{Name: "listen", Kind: Text, Required: true, Doc: "host:port for viewers"},
		{Name: "tls_listen", Kind: Text, Doc: "host:port for viewers over TLS; disabled if empty"},
		{Name: "cert", Kind: Text, Doc: "file with the TLS certificate chain"},
		{Name: "key", Kind: Text, Doc: "file with the key of the certificate"},
		{Name: "redirect", Kind: Text, Doc: "host:port of a front to which viewers are redirected while this one drains; disabled if empty"},
		{Name: "admin", Kind: Text, Doc: "host:port for health and metrics; disabled if empty"},
		{Name: "state", Kind: Text, Doc: "existing directory for state that must outlive the process; if empty, no state is saved"},
		{Name: "log", Kind: Text, Doc: "minimum log level: debug, info, warn or error; if empty, that of the command line"},
		{Name: "me", Kind: Integer, Doc: "number among the fronts, starting at 0"},
		{Name: "fronts", Kind: Integer, Default: 1.0, Min: 1, Doc: "number of fronts"},
		{Name: "zone", Kind: Text, Doc: "zone it is in"},
		{Name: "realm", Kind: Text, Default: "rainhaven", Doc: "realm of viewers' credentials, if there are users"},
		{Name: "seed", Kind: Integer, Doc: "random seed; 0 draws one at each start"}}},
	{Name: "user", Key: "name", Doc: "a user with access; without any, viewers need no credentials", Fields: []Field{
		{Name: "name", Kind: Text, Required: true, Doc: "user name"},
		{Name: "password", Kind: Text, Required: true, Doc: "password; protect the file that holds it"}}},
	{Name: "box_tls", AtMostOnce: true, Doc: "TLS for connections to boxes", Fields: []Field{
		{Name: "roots", Kind: Text, Required: true, Doc: "file with the root certificates that boxes are verified with"},
		{Name: "name", Kind: Text, Doc: "name that their certificates must be valid for; if empty, the host of each address"}}},
	{Name: "box", Key: "id", Required: true, Doc: "a box", Fields: []Field{
		{Name: "id", Kind: Integer, Required: true, Max: 1<<32 - 1, Doc: "number of the box"},
		{Name: "address", Kind: Text, Required: true, Doc: "host:port"},
		{Name: "zone", Kind: Text, Doc: "zone it is in"},
		{Name: "kind", Kind: Text, Doc: "kind of the box; the first one if empty"},
		{Name: "cell", Kind: Integer, Required: true, Doc: "cell of the box"},
		{Name: "state", Kind: Text, Default: "ready", Doc: "one of ready, draining, gone"},
		{Name: "born", Kind: Number, Doc: "time of its last start in seconds since 1970; 0 is long ago"}}},
}, CommonForms)

// ReadConfig reads a front's settings from a file. The error reports a file that can't be read, or is of type Diagnostics.
func ReadConfig(file string) (Config, error) { return ReadInstanceConfig(file, 0) }

// ReadInstanceConfig is like ReadConfig for one of several fronts that share a script. The script reads the front's number
// from the predefined variable instance.
func ReadInstanceConfig(file string, instance int) (Config, error) {
	doc, err := ReadFile(file, FrontForms, instance)
	if err != nil {
		return Config{}, err
	}
	cfg := FrontConfig(doc)
	if len(doc.Diagnostics) > 0 {
		return Config{}, doc.Diagnostics
	}
	return cfg, nil
}

// FrontConfig converts a front's script to its settings. Inconsistencies are added to the document's Diagnostics.
func FrontConfig(doc *Document) Config {
	cfg := CommonConfig(doc)
	e, _ := doc.Single("front")
	cfg.Name, cfg.Listen, cfg.Admin, cfg.StateDir = e.Text("name"), e.Text("listen"), e.Text("admin"), e.Text("state")
	cfg.Choice.FrontIndex, cfg.Choice.Fronts, cfg.Choice.Seed = e.Int("me"), max(e.Int("fronts"), 1), uint64(e.Number("seed"))
	cfg.Choice.Zone = cfg.Zone(doc, e)
	if cfg.Realm = e.Text("realm"); strings.ContainsAny(cfg.Realm, "\"\\\r\n") {
		doc.Errorf(e.Line, "front: realm %q must not contain quotes, backslashes or line breaks", cfg.Realm)
	}
	for _, e := range doc.Entries("user") {
		u := auth.User{Name: e.Text("name"), Password: e.Text("password")}
		if strings.Contains(u.Name, ":") {
			doc.Errorf(e.Line, "user %s: the name must not contain a colon, which ends it in a digest", u.Name)
		}
		cfg.Users = append(cfg.Users, u)
	}
	if cfg.Choice.FrontIndex >= cfg.Choice.Fronts {
		doc.Errorf(e.Line, "front: me is %d of %d fronts; it must be 0 to %d", cfg.Choice.FrontIndex, cfg.Choice.Fronts, cfg.Choice.Fronts-1)
	}
	if strings.ContainsAny(cfg.Name, "/ \t\\") {
		doc.Errorf(e.Line, "front: name %q is used in file names; use letters, digits, dots and dashes", cfg.Name)
	}
	cfg.Redirect = e.Text("redirect")
	if cfg.LogLevel = e.Text("log"); !slices.Contains([]string{"", "debug", "info", "warn", "error"}, cfg.LogLevel) {
		doc.Errorf(e.Line, "front: log is %q; it must be debug, info, warn or error", cfg.LogLevel)
	}
	cfg.TLS = TLSListener{e.Text("tls_listen"), e.Text("cert"), e.Text("key")}
	if cfg.TLS.Listen != "" && (cfg.TLS.CertFile == "" || cfg.TLS.KeyFile == "") {
		doc.Errorf(e.Line, "front: tls_listen needs cert and key, the names of two files")
	}
	if e, ok := doc.Single("box_tls"); ok {
		cfg.BoxTLS = TLSTrust{e.Text("roots"), e.Text("name")}
	}
	for _, field := range []string{"listen", "admin", "tls_listen", "redirect"} {
		if a := e.Text(field); a != "" {
			checkAddress(doc, e, "front", field, a)
		}
	}
	seen := map[string]int{}
	for _, e := range doc.Entries("box") {
		b := Box{Address: e.Text("address"), Listing: choice.Listing{ID: choice.ServerID(e.Number("id")), Zone: cfg.Zone(doc, e),
			Cell: e.Int("cell"), Weight: 1, StartedAt: e.Number("born")}}
		checkAddress(doc, e, "box", "address", b.Address)
		if line, duplicate := seen[b.Address]; duplicate && b.Address != "" {
			doc.Errorf(e.Line, "box: address %s is already used by the box on line %d", b.Address, line)
		}
		seen[b.Address] = e.Line
		b.Kind = cfg.Kind(doc, e)
		switch e.Text("state") {
		case "ready":
			b.State = choice.Ready
		case "draining":
			b.State = choice.Draining
		case "gone":
			b.State = choice.Gone
		default:
			doc.Errorf(e.Line, "box: state is %q; it must be ready, draining or gone", e.Text("state"))
		}
		cfg.checkCell(doc, e, "box", "cell")
		cfg.Boxes = append(cfg.Boxes, b)
	}
	for _, e := range doc.Entries("title") {
		held := slices.ContainsFunc(cfg.Boxes, func(b Box) bool {
			c := max(cfg.Choice.Cells, 1)
			return (b.Cell-e.Int("start_cell")+c)%c < e.Int("span")
		})
		if !held && len(cfg.Boxes) > 0 {
			doc.Errorf(e.Line, "title %s: no box is in its cells %d to %d", e.Text("name"), e.Int("start_cell"), e.Int("start_cell")+e.Int("span")-1)
		}
	}
	return cfg
}

// CommonConfig converts the calls of the common forms to settings.
func CommonConfig(doc *Document) Config {
	cfg := Config{Titles: map[string]Title{}}
	f := &cfg.Choice
	for _, e := range doc.Entries("zone") {
		cfg.Zones = append(cfg.Zones, e.Text("name"))
	}
	for _, e := range doc.Entries("kind") {
		cfg.Kinds = append(cfg.Kinds, e.Text("name"))
		f.MaxStreams = append(f.MaxStreams, e.Number("places"))
	}
	e, _ := doc.Single("ladder")
	f.Ladder = e.NumberList("rates")
	if !slices.IsSorted(f.Ladder) {
		doc.Errorf(e.Line, "ladder: rates are %v; they must be in ascending order", f.Ladder)
	}
	rungs := len(f.Ladder)
	for _, e := range doc.Entries("group") {
		g := choice.ServiceGroup{Utility: e.Number("utility"), Scale: e.Number("scale"), StartTarget: e.Number("start_target"),
			Paid: e.Bool("paid"), Floor: e.Int("floor"), Top: e.Int("top"), Seats: e.Int("seats")}
		if g.Top < 0 {
			g.Top = rungs - 1
		}
		if rungs > 0 && (g.Floor >= rungs || g.Top >= rungs || g.Floor > g.Top) {
			doc.Errorf(e.Line, "group %s: floor is %d and top is %d; floor must not exceed top, and the ladder's rungs are 0 to %d", e.Text("name"), g.Floor, g.Top, rungs-1)
		}
		if e.Number("setup_timeout") <= g.StartTarget {
			doc.Errorf(e.Line, "group %s: setup_timeout of %v s must be longer than start_target of %v s",
				e.Text("name"), e.Number("setup_timeout"), g.StartTarget)
		}
		if strings.ContainsAny(e.Text("name"), "/?#% ") {
			doc.Errorf(e.Line, "group %q is used in URLs; use letters, digits and dashes", e.Text("name"))
		}
		f.Groups = append(f.Groups, g)
		rates := make([]float64, rungs)
		for i, r := range f.Ladder {
			rates[i] = r * g.Scale
		}
		cfg.Groups = append(cfg.Groups, Group{Name: e.Text("name"), SetupTimeout: e.Number("setup_timeout"), Rates: rates})
	}
	e, _ = doc.Single("fleet")
	f.FleetLinkCapacity, f.MeanUplinkCapacity, f.CrossZonePrice = e.Number("links"), e.Number("uplink"), e.Number("cross_zone_price")
	f.Cells, f.Racks = e.Int("cells"), e.Int("racks")
	live := false
	for i, g := range doc.Entries("group") {
		if g.Bool("live") {
			f.Groups[i].AddedRateShare, live = e.Number("shared_adds"), true
		}
	}
	if e.Number("shared_adds") < 1 && e.Has("shared_adds") && !live {
		doc.Errorf(e.Line, "fleet: shared_adds is %v, but no group is live; set live = True in a group", e.Number("shared_adds"))
	}
	if f.Racks > f.Cells {
		doc.Errorf(e.Line, "fleet: %d racks for %d cells; each rack needs at least one cell", f.Racks, f.Cells)
	}
	e = doc.singleOrDefaults("setups")
	f.MaxSetups, f.MaxRetryAfter = e.Int("most"), e.Number("advice")
	f.BaseRetries, f.RetriesPerSession, f.RetryWindow = e.Number("spare"), e.Number("share"), e.Number("window")
	if e, ok := doc.Single("cold"); ok {
		f.WarmUp, f.ColdShare = e.Number("warm_up"), e.Number("share")
		f.OverloadFactor, f.OverloadTime = e.Number("fall_factor"), e.Number("fall_time")
	}
	e = doc.singleOrDefaults("reports")
	f.NoteLag, f.NoteInterval, f.FullThreshold, f.Probes = e.Number("lag"), e.Number("notes_every"), e.Number("full_at"), e.Bool("probes")
	switch e.Text("come") {
	case "answers":
		f.Reporting = choice.ReportsInAnswers
	case "probes":
		f.Reporting = choice.ReportsInProbes
	case "never":
		f.Reporting = choice.ReportsNever
	default:
		doc.Errorf(e.Line, "reports: come is %q; it must be answers, probes or never", e.Text("come"))
	}
	for _, e := range doc.Entries("title") {
		cfg.checkCell(doc, e, "title", "start_cell")
		if e.Int("span") > f.Cells && f.Cells > 0 {
			doc.Errorf(e.Line, "title %s: span %d exceeds the %d cells", e.Text("name"), e.Int("span"), f.Cells)
		}
		cfg.Titles[e.Text("name")] = Title{StartCell: e.Int("start_cell"), CellCount: e.Int("span"), Length: e.Number("length")}
	}
	e = doc.singleOrDefaults("limits")
	cfg.Limits = limits.Bounds{MaxConnections: e.Int("connections"), MaxSessions: e.Int("sessions"), MaxBoxConnections: e.Int("box_connections"),
		QueueBytes: e.Int("queue"), ViewerIdleTimeout: e.Number("viewer_idle"), KeepAliveInterval: e.Number("keep_alive"),
		ConnectTimeout: e.Number("connect_timeout"), ProbeTimeout: e.Number("probe_timeout"), WriteStall: e.Number("write_stall")}
	e = doc.singleOrDefaults("drains")
	cfg.DrainGrace = e.Number("grace")
	return cfg
}

// singleOrDefaults returns the call of a form that is allowed only once, or an entry with its defaults.
func (doc *Document) singleOrDefaults(form string) Entry {
	if e, ok := doc.Single(form); ok {
		return e
	}
	defaults := &Document{entries: map[string][]Entry{}}
	for _, f := range CommonForms {
		if f.Name == form {
			defaults.addEntry(f, 0, nil)
		}
	}
	e, _ := defaults.Single(form)
	return e
}

// checkCell checks that a field is a valid cell number.
func (cfg *Config) checkCell(doc *Document, e Entry, form, field string) {
	if c := e.Int(field); c >= cfg.Choice.Cells && cfg.Choice.Cells > 0 {
		doc.Errorf(e.Line, "%s: %s is %d; it must be 0 to %d", form, field, c, cfg.Choice.Cells-1)
	}
}

// declaredIndex returns the index in declared of the name in an entry's field, or 0 if the field is empty.
func declaredIndex(doc *Document, e Entry, field string, declared []string) int {
	name := e.Text(field)
	if name == "" {
		return 0
	}
	i := slices.Index(declared, name)
	if i < 0 {
		doc.Errorf(e.Line, "%s %s is not declared%s", field, name, suggest(name, declared))
		return 0
	}
	return i
}

// Zone and Kind return the numbers of an entry's zone and kind.
func (cfg *Config) Zone(doc *Document, e Entry) int { return declaredIndex(doc, e, "zone", cfg.Zones) }
func (cfg *Config) Kind(doc *Document, e Entry) int { return declaredIndex(doc, e, "kind", cfg.Kinds) }

// checkAddress checks that a field has the form host:port. The host may be empty except for boxes.
func checkAddress(doc *Document, e Entry, form, field, a string) {
	host, port, err := net.SplitHostPort(a)
	n, bad := strconv.Atoi(port)
	if err != nil || bad != nil || n < 0 || n > 65535 || host == "" && form == "box" {
		doc.Errorf(e.Line, "%s: %s is %q; it must be host:port, as in 127.0.0.1:8554", form, field, a)
	}
}
