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
	doc := Read("good.star", []byte(validScript), FrontForms)
	cfg := FrontConfig(doc)
	if len(doc.Diagnostics) > 0 {
		t.Fatal(doc.Diagnostics)
	}
	f := cfg.Choice
	if f.FrontIndex != 1 || f.Fronts != 4 || f.Zone != 1 || len(cfg.Boxes) != 6 || f.Groups[0].Top != 3 || f.Groups[1].Utility != 1 ||
		f.MaxSetups != 3 || f.RetryWindow != 10 || f.Reporting != choice.ReportsInAnswers || !f.Probes || f.WarmUp != 10 {
		t.Errorf("%+v", cfg)
	}
	if b := cfg.Boxes[1]; b.ID != 11 || b.Zone != 0 || b.State != choice.Ready || b.Address != "127.0.0.1:9001" {
		t.Errorf("%+v", b)
	}
	if cfg.Limits.MaxSessions == 0 || cfg.Groups[0].Rates[3] != 3500 || cfg.Titles["vents"].CellCount != 3 {
		t.Errorf("%+v", cfg)
	}
}

// Each error must be reported on its line, with what is expected instead.
func TestDiagnostics(t *testing.T) {
	for name, c := range map[string]struct {
		from, to string
		line     string
		want     string
	}{
		"misspelled form":                   {"ladder(", "lader(", ":7:", "did you mean ladder?"},
		"shared_adds without live group":    {"racks = 3", "racks = 3, shared_adds = 0.3", ":10:", "no group is live"},
		"shared_adds too large":             {"racks = 3", "racks = 3, shared_adds = 1.3", ":10:", "the maximum is 1"},
		"live as a number":                  {"seats = 5", "live = 1", ":8:", "want True or False"},
		"misspelled field":                  {"seats = 5", "seat = 5", ":8:", "did you mean seats?"},
		"missing field":                     {"uplink = 25000, ", "", ":10:", "fleet: missing field uplink"},
		"missing form":                      {"title(name", "dict(name", ":1:", "title is missing"},
		"string for a number":               {"places = 20", `places = "20"`, ":6:", "want an integer"},
		"fraction for an integer":           {"places = 20", "places = 2.5", ":6:", "want an integer"},
		"below the minimum":                 {"places = 20", "places = 0", ":6:", "the minimum is 1"},
		"NaN":                               {"links = 100000", `links = float("nan")`, ":10:", "want a number"},
		"descending ladder":                 {"[250, 550", "[550, 250", ":7:", "ascending order"},
		"floor above the ladder":            {"floor = 1", "floor = 4", ":8:", "rungs are 0 to 3"},
		"setup timeout before start target": {"setup_timeout = 3", "setup_timeout = 0.9", ":8:", "must be longer than start_target"},
		"unknown zone":                      {`zone = "building-b")`, `zone = "bilding-b")`, ":3:", "did you mean building-b?"},
		"unknown kind":                      {"cell = i,", `cell = i, kind = "to-core",`, ":13:", "did you mean two-core?"},
		"me out of range":                   {"me = 1", "me = 4", ":3:", "must be 0 to 3"},
		"cell out of range":                 {"cell = i,", "cell = i + 1,", ":13:", "must be 0 to 5"},
		"duplicate id":                      {"id = 10 + i", "id = 10", ":13:", "duplicate box 10"},
		"duplicate address":                 {"9000 + i", "9000", ":13:", "already used by the box"},
		"address without port":              {"127.0.0.1:8554", "127.0.0.1", ":3:", "host:port"},
		"unknown state":                     {"cell = i,", `cell = i, state = "redy",`, ":13:", "ready, draining or gone"},
		"second front":                      {"fronts = 4\n", "fronts = 4; front(name = 'x', listen = ':1')\n", ":3:", "front is allowed only once"},
		"missing bracket":                   {"cells = 6, racks = 3)", "cells = 6, racks = 3", ":11:", "got"},
		"positional arguments":              {`kind(name = "two-core", places = 20)`, `kind("two-core", 20)`, ":6:", "accepts only named fields"},
		"endless script":                    {"fronts = 4\n", "fronts = 4\nx = [a for a in range(9999999) for b in range(9999999)]\n", ":3:", "too many steps"},
		"second fleet":                      {"start_cell = 4, span = 3", "start_cell = 4, span = 1)\nfleet(links = 1, uplink = 1, cells = 9, racks = 1", ":15:", "fleet is allowed only once"},
		"TLS without key":                   {"me = 1", `me = 1, tls_listen = "127.0.0.1:322", cert = "c.pem"`, ":3:", "needs cert and key"},
		"colon in a user name":              {"fronts = 4\n", "fronts = 4\nuser(name = 'a:b', password = 'c')\n", ":3:", "must not contain a colon"},
		"division by zero":                  {"fronts = 4\n", "fronts = 4 // 0\n", ":2:", "division by zero"},
	} {
		t.Run(name, func(t *testing.T) {
			src := strings.Replace(validScript, c.from, c.to, 1)
			if src == validScript {
				t.Fatal("the case changes nothing")
			}
			doc := Read("f.star", []byte(src), FrontForms)
			FrontConfig(doc)
			for _, m := range doc.Diagnostics {
				if e := m.Error(); strings.HasPrefix(e, "f.star"+c.line) && strings.Contains(e, c.want) {
					return
				}
			}
			t.Errorf("want %s ... %s; got:\n%v", c.line, c.want, doc.Diagnostics)
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
		doc := Read("f.star", src, FrontForms)
		FrontConfig(doc)
		for _, m := range doc.Diagnostics {
			if m.Message == "" || m.Line < 0 {
				t.Fatalf("%+v", m)
			}
		}
	})
}
