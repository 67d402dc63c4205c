package settings

import (
	"strings"
	"testing"

	"rainhaven/choice"
)

const validScript = `
fronts = 4
front(name = "north-1", listen = "127.0.0.1:8554", me = 1, fronts = fronts, zone = "building-b")
zone(name = "building-a")
zone(name = "building-b")
kind(name = "two-core", places = 20)
ladder(rates = [250, 550, 1200, 2500])
group(name = "fault-clips", utility = 2, scale = 1.4, start_target = 1, setup_timeout = 3, floor = 1, seats = 5)
group(name = "grower-guides", start_target = 1, setup_timeout = 5)
fleet(links = 100000, uplink = 25000, cells = 6, racks = 3)
cold(warm_up = 10, share = 0.4, fall_factor = 4, fall_time = 1.5)
for i in range(6):
    box(id = 10 + i, address = "127.0.0.1:%d" % (9000 + i), cell = i, zone = "building-a" if i % 2 else "building-b")
title(name = "vents", start_cell = 4, span = 3)
`

func TestValidSettings(t *testing.T) {
	s := Read("good.star", []byte(validScript), FrontForms)
	terms := FrontConfig(s)
	if len(s.Diagnostics) > 0 {
		t.Fatal(s.Diagnostics)
	}
	f := terms.Choice
	if f.FrontIndex != 1 || f.Fronts != 4 || f.Zone != 1 || len(terms.Boxes) != 6 || f.Groups[0].Top != 3 || f.Groups[1].Utility != 1 ||
		f.MaxSetups != 3 || f.RetryWindow != 10 || f.Reporting != choice.ReportsInAnswers || !f.Probes || f.WarmUp != 10 {
		t.Errorf("%+v", terms)
	}
	if b := terms.Boxes[1]; b.ID != 11 || b.Zone != 0 || b.State != choice.Ready || b.Address != "127.0.0.1:9001" {
		t.Errorf("%+v", b)
	}
	if terms.Limits.Sessions == 0 || terms.Groups[0].Rates[3] != 3500 || terms.Titles["vents"].Span != 3 {
		t.Errorf("%+v", terms)
	}
}

// Each mistake is named on its line, with what would be right.
func TestDiagnostics(t *testing.T) {
	for name, c := range map[string]struct {
		from, to string
		line     string
		says     string
	}{
		"a name mistyped":    {"ladder(", "lader(", ":7:", "ladder may be meant"},
		"shared, none live":  {"racks = 3", "racks = 3, shared_adds = 0.3", ":10:", "no group is live"},
		"shared more":        {"racks = 3", "racks = 3, shared_adds = 1.3", ":10:", "1 is the most"},
		"live as a number":   {"seats = 5", "live = 1", ":8:", "True or False belongs there"},
		"a field mistyped":   {"seats = 5", "seat = 5", ":8:", "seats may be meant"},
		"a field missing":    {"uplink = 25000, ", "", ":10:", "fleet needs uplink"},
		"a form missing":     {"title(name", "dict(name", ":1:", "title is missing"},
		"a text for number":  {"places = 20", `places = "20"`, ":6:", "a whole number belongs there"},
		"a half":             {"places = 20", "places = 2.5", ":6:", "a whole number belongs there"},
		"below the least":    {"places = 20", "places = 0", ":6:", "1 is the least"},
		"no number":          {"links = 100000", `links = float("nan")`, ":10:", "a number belongs there"},
		"ladder upside down": {"[250, 550", "[550, 250", ":7:", "lowest first"},
		"floor off ladder":   {"floor = 1", "floor = 4", ":8:", "rungs are 0 to 3"},
		"gives up first":     {"setup_timeout = 3", "setup_timeout = 0.9", ":8:", "longer setup_timeout"},
		"unknown zone":       {`zone = "building-b")`, `zone = "bilding-b")`, ":3:", "building-b may be meant"},
		"unknown kind":       {"cell = i,", `cell = i, kind = "to-core",`, ":13:", "two-core may be meant"},
		"me of fronts":       {"me = 1", "me = 4", ":3:", "0 to 3 would be right"},
		"cell too high":      {"cell = i,", "cell = i + 1,", ":13:", "0 to 5 would be right"},
		"same id":            {"id = 10 + i", "id = 10", ":13:", "second time"},
		"same address":       {"9000 + i", "9000", ":13:", "that of the box"},
		"no port":            {"127.0.0.1:8554", "127.0.0.1", ":3:", "host:port"},
		"state":              {"cell = i,", `cell = i, state = "redy",`, ":13:", "ready, draining or gone"},
		"a second front":     {"fronts = 4\n", "fronts = 4; front(name = 'x', listen = ':1')\n", ":3:", "second time"},
		"no brackets":        {"cells = 6, racks = 3)", "cells = 6, racks = 3", ":11:", "got"},
		"positions":          {`kind(name = "two-core", places = 20)`, `kind("two-core", 20)`, ":6:", "named fields only"},
		"never ends":         {"fronts = 4\n", "fronts = 4\nx = [a for a in range(9999999) for b in range(9999999)]\n", ":3:", "too many steps"},
		"nobody holds it":    {"start_cell = 4, span = 3", "start_cell = 4, span = 1)\nfleet(links = 1, uplink = 1, cells = 9, racks = 1", ":15:", "second time"},
		"TLS without key":    {"me = 1", `me = 1, tls_listen = "127.0.0.1:322", cert = "c.pem"`, ":3:", "needs cert and key"},
		"colon in a name":    {"fronts = 4\n", "fronts = 4\nuser(name = 'a:b', password = 'c')\n", ":3:", "without one"},
		"divides by zero":    {"fronts = 4\n", "fronts = 4 // 0\n", ":2:", "division by zero"},
	} {
		t.Run(name, func(t *testing.T) {
			src := strings.Replace(validScript, c.from, c.to, 1)
			if src == validScript {
				t.Fatal("the case changes nothing")
			}
			s := Read("f.star", []byte(src), FrontForms)
			FrontConfig(s)
			for _, m := range s.Diagnostics {
				if e := m.Error(); strings.HasPrefix(e, "f.star"+c.line) && strings.Contains(e, c.says) {
					return
				}
			}
			t.Errorf("want %s ... %s; got:\n%v", c.line, c.says, s.Diagnostics)
		})
	}
}

func TestMissingFile(t *testing.T) {
	if _, err := ReadConfig("does-not-exist.star"); err == nil || !strings.Contains(err.Error(), "does-not-exist.star") {
		t.Error(err)
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(validScript))
	f.Add([]byte("box(id = 1 << 40, cell = -1)\nladder(rates = [])"))
	f.Add([]byte("group(**{'name': 'a'})\nfront(*[1])"))
	f.Fuzz(func(t *testing.T, src []byte) {
		if len(src) > 4000 {
			return
		}
		s := Read("f.star", src, FrontForms)
		FrontConfig(s)
		for _, m := range s.Diagnostics {
			if m.Message == "" || m.Line < 0 {
				t.Fatalf("%+v", m)
			}
		}
	})
}
