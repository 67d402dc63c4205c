package start

import (
	"strings"
	"testing"
)

const text = `{"name":"n3","listen":"127.0.0.1:1","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":48,"sockets":256},"coordinator":"127.0.0.1:2",
"known":{"index":3,"updates":[{"index":3,"endpoints":{"reset":true,"instances":[{"instanceId":"s-1","lifecycle":"up"}]}}]},
"settings":{"balancers":3,"me":2,"zone":1,"zones":["a","b"],"models":["x"],"caps":{"keepalive":30000000,"connect_timeout":250000,"streams_per_conn":7,"most_tries":4,"probes":true},
"family_info":{"level_kb":[247.0,443.5],"cells":12,"class_floor":[0,1],"class_scale":[1.0,1.4]},
"grades":[{"name":"free","effect":"pure","worth":1.0,"hard_limit":1790000},{"name":"paid","effect":"side_effect","worth":3.0,"goal_time":360000,"hard_limit":1430000}],
"later":null,"rules":{"cold":12000000}}}`

func TestParse(t *testing.T) {
	s, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if s.Name != "n3" || s.MaxDescriptors != 256 || s.MemoryMB != 48 || s.LastIndex != 3 || len(s.InitialEvents) != 1 || s.ConnectTimeout != 0.25 || s.IdleTimeout != 30 || s.MaxSetupsPerConn != 7 || s.SetupTimeout != 1.79 {
		t.Errorf("%+v", s)
	}
	f := s.Choice
	if f.Seed != 0x8c1f30d27a5be964 || f.FrontIndex != 2 || f.Fronts != 3 || f.Zone != 1 || len(f.Ladder) != 2 || f.Ladder[1] != 443.5 || !f.Probes || f.WarmUp != 12 || f.MaxSetups != 4 {
		t.Errorf("%+v", f)
	}
	if g := f.Groups[1]; !g.Paid || g.Floor != 1 || g.Scale != 1.4 || g.StartTarget != 0.36 || s.Groups[1] != "paid" {
		t.Errorf("%+v %v", g, s.Groups)
	}
	if len(s.Names.Zones) != 2 || len(s.Names.Kinds) != 1 {
		t.Errorf("%+v", s.Names)
	}
}

func TestParseRejectsInvalidFiles(t *testing.T) {
	for _, c := range [][2]string{{`"seed":"8c1f30d27a5be964"`, `"seed":"x"`}, {"247.0", `"x"`}, {`"grades"`, `"class"`}, {`[0,1]`, `[0,9]`}, {text, "{"},
		{`"127.0.0.1:1"`, `""`}, {`"listen"`, `"liste"`}, {`"127.0.0.1:2"`, `"x"`}, {`"sockets":256`, `"sockets":-1`}, {`"memory_mb":48`, `"memory_mb":-1`}, {`"index":3`, `"index":-3`}} {
		if _, err := Parse([]byte(strings.Replace(text, c[0], c[1], 1))); err == nil {
			t.Errorf("%.20s in place of %.20s is accepted", c[1], c[0])
		}
	}
}
