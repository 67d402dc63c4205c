package wire

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"rainhaven/choice"
)

const batch = `ROUND now=8412250
SPAWN i=front_3 salt=51 me=1 balancers=3 family_info.level_kb=259.0,549.0 family_info.class_floor=1,0 family_info.live=false,true family_info.shared_adds=0.3 caps.peers=true grades.count=2 grades.0.effect=side_effect grades.0.worth=2.0 grades.1.effect=pure grades.1.goal_time=800000 later.key=x
CATALOG set_id=0 rows=2
ITEM server=51530247 cell=4 lifecycle=1 heft=1 extra=9
ITEM server=747639282 lifecycle=2 born=6100000
TOPOLOGY i=front_3 mode=1 version=41 set_id=0
CATALOG set_id=0 rows=1
ITEM server=51530247 lifecycle=0
TOPOLOGY i=front_3 mode=3 version=42 set_id=0
ASK i=front_3 xid=5d3a best_rung=2 expires=8652250 programme=pre-c tier_class=1 span=3
RESOLVED i=front_3 xid=5d3a send_no=0 server=51530247 outcome=3 elapsed=18500 telemetry=cpu:0.5,x1:1.25,zz:4
MESSAGE i=front_3 who=2 raw=aGkgNw==
OVER_TO_YOU
`

func TestBatch(t *testing.T) {
	r := NewReader(strings.NewReader(batch))
	now, ev, err := r.ReadBatch()
	if err != nil || now != 8.41225 || len(ev) != 6 {
		t.Fatal(now, len(ev), err)
	}
	s := ev[0].Config
	if s.Fronts != 3 || len(s.Ladder) != 2 || !s.Groups[0].Paid || s.Groups[1].Paid || s.Groups[0].Floor != 1 ||
		s.Groups[1].StartTarget != 0.8 || s.Groups[0].AddedRateShare != 0 || s.Groups[1].AddedRateShare != 0.3 || !s.PeerMessages {
		t.Errorf("figures %+v", s)
	}
	if l := ev[1].Servers; !ev[1].FullList || len(l) != 2 || l[0].Cell != 4 || l[1].State != choice.Draining || l[1].StartedAt != 6.1 {
		t.Errorf("first list %+v", l)
	}
	if l := ev[2].Servers; ev[2].FullList || len(l) != 1 || l[0].State != choice.Gone {
		t.Errorf("list of the reused set_id: %+v", l)
	}
	if q := ev[3].Request; q.SetupDeadline != 8.65225 || q.Group != 1 || q.BestRung != 2 {
		t.Errorf("request %+v", q)
	}
	if e := ev[4]; e.Outcome != choice.Full || e.Final || e.Report != (choice.LoadReport{Link: 0.5, Capped: true, Uplink: 1.25}) {
		t.Errorf("outcome %+v", e)
	}
	if e := ev[5]; e.Kind != Message || string(e.Payload) != "hi 7" {
		t.Errorf("message %+v", e)
	}
	if _, _, err := r.ReadBatch(); err != io.EOF {
		t.Errorf("at the end of input: %v, want io.EOF", err)
	}
}

func TestMalformedInput(t *testing.T) {
	for in, want := range map[string]string{
		"HELLO\n":                        "line 1",
		"ROUND now=x\n":                  "now=",
		"ROUND now=1\nNOVEL i=front_1\n": "line 2: NOVEL: unknown message",
		"ROUND now=1\nASK i=front_1 xid=a expires=soon\n":       "expires=",
		"ROUND now=1\nMESSAGE i=front_1 who=2 raw=a\n":          "line 2: MESSAGE",
		"ROUND now=1\nTOPOLOGY i=front_1 mode=0 set_id=3\n":     "unknown set_id=3",
		"ROUND now=1\nCATALOG set_id=0 rows=2\nASK i=front_1\n": "want ITEM",
		"ROUND now=1\n": "within a batch",
		"ROUND now=1\nRESOLVED i=front_1 xid=a outcome=99 server=1\n": "outcome=99",
	} {
		if _, _, err := NewReader(strings.NewReader(in)).ReadBatch(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want %q", in, err, want)
		}
	}
}

func TestReply(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	a := ActionWriter{Front: "front_3", Out: w}
	a.SetRung("x", 2)
	a.Setup("x", 7, 0.08)
	a.BusyReply("y", 1)
	a.SendMessage(2, []byte("hi 7"))
	if err := w.EndReply(); err != nil {
		t.Fatal(err)
	}
	want := "RATE i=front_3 xid=x tier_no=2\nTRY i=front_3 xid=x server=7 max_wait=80000\n" +
		"BUSY i=front_3 xid=y stay_away=1000000\nMEMO_TO i=front_3 addressee=2 raw=aGkgNw==\nYIELD\n"
	if out.String() != want {
		t.Errorf("wrote %q", out.String())
	}
}
