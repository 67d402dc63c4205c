package witness

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
)

func terms() Rules {
	return Rules{Groups: map[string]Group{"clips": {SetupTimeout: 3, Floor: 1, Seats: 2}, "exam": {SetupTimeout: 3, Paid: true}},
		DrainGrace: 0.5, AnswerTolerance: 0.04, MaxStreams: 20, WarmUp: 10, ColdShare: 0.4, OverloadFactor: 4, OverloadTime: 1.5, BaseRetries: 2, RetriesPerSession: 0.1, RetryWindow: 10}
}

// traffic writes a day down shortly.
type traffic struct {
	*Witness
	serial int
}

func newTraffic() *traffic {
	t := &traffic{Witness: New(terms())}
	t.FrontStarted("f", 0)
	return t
}

// served is a session that is asked for, set up at a box and answered.
func (t *traffic) served(group, title string, box int, at float64) (token, session string) {
	t.serial++
	token, session = fmt.Sprint("v", t.serial), fmt.Sprint("s", t.serial)
	t.Requested(token, "f", group, at)
	t.SetupReceived(box, uint64(t.serial), 1, at+0.01, token, "f", group, title, 1)
	t.SetupAnswered(box, uint64(t.serial), 1, at+0.02, 200, session)
	t.Answered(token, at+0.03, 200, false)
	return token, session
}

func (t *traffic) over(box int, session, token string, at float64) {
	t.SessionEnded(box, session, at)
	t.ViewerLeft(token, at)
}

// Traffic that keeps all rules, and the same with one broken once: each is seen, and nothing else.
func TestEachRuleBrokenOnce(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(t *traffic)
		want string // the count that must be 1; empty is none
	}{
		"all kept": {func(t *traffic) {
			tok, s := t.served("clips", "a", 1, 1)
			t.over(1, s, tok, 20)
			tok, s = t.served("clips", "a", 2, 2)
			t.over(2, s, tok, 21)
			tok, s = t.served("clips", "a", 2, 21.1)
			t.over(2, s, tok, 30)
		}, ""},
		"no answer": {func(t *traffic) { t.Requested("x", "f", "clips", 1); t.ViewerLeft("x", 4.2) }, "lost"},
		"given up":  {func(t *traffic) { t.Requested("x", "f", "clips", 1); t.ViewerLeft("x", 2) }, ""},
		"held by a killed": {func(t *traffic) {
			t.Requested("x", "f", "clips", 1)
			t.FrontKilled("f", 2)
			t.ConnectionLost("x", 2)
			t.ViewerLeft("x", 2)
		}, ""},
		"cut off, not killed":   {func(t *traffic) { t.Requested("x", "f", "clips", 1); t.ConnectionLost("x", 2); t.ViewerLeft("x", 9) }, "lost"},
		"two answers":           {func(t *traffic) { tok, _ := t.served("clips", "a", 1, 1); t.Answered(tok, 1.5, 200, false) }, "doubled"},
		"answer too late":       {func(t *traffic) { t.Requested("x", "f", "clips", 1); t.Answered("x", 4.1, 503, true) }, "late"},
		"answer at the end":     {func(t *traffic) { t.Requested("x", "f", "clips", 1); t.Answered("x", 4.03, 503, true) }, ""},
		"refused, then another": {func(t *traffic) { t.setups("clips", 453, 0.1, true) }, ""},
		"error, then another":   {func(t *traffic) { t.setups("clips", 500, 0.1, true) }, ""},
		"paid, refused":         {func(t *traffic) { t.setups("exam", 453, 0.1, true) }, ""},
		"paid, error, another":  {func(t *traffic) { t.setups("exam", 500, 0.1, true) }, "doubled"},
		"paid, withdrawn":       {func(t *traffic) { t.setups("exam", 0, 0.5, true) }, "doubled"},
		"withdrawn, another":    {func(t *traffic) { t.setups("clips", 0, 0.5, true) }, ""},
		"two out":               {func(t *traffic) { t.setups("clips", 0, 0.5, false) }, "doubled"},
		"paid, busy-replied": {func(t *traffic) {
			t.Requested("x", "f", "exam", 1)
			t.SetupReceived(1, 1, 1, 1.1, "x", "f", "exam", "a", 1)
			t.SetupAnswered(1, 1, 1, 1.2, 500, "")
			t.Answered("x", 1.3, 503, true)
		}, "doubled"},
		"within the grace": {func(t *traffic) { t.FrontNotified("f", 1, false, 0.9); t.served("clips", "a", 1, 1) }, ""},
		"past the grace":   {func(t *traffic) { t.FrontNotified("f", 1, false, 0.2); t.served("clips", "a", 1, 1) }, "drained-late"},
		"ready again": {func(t *traffic) {
			t.FrontNotified("f", 1, false, 0.1)
			t.FrontNotified("f", 1, true, 0.2)
			t.served("clips", "a", 1, 1)
		}, ""},
		"told another front": {func(t *traffic) { t.FrontNotified("g", 1, false, 0.1); t.served("clips", "a", 1, 1) }, ""},
		"cold, at its limit": {func(t *traffic) { t.cold(5) }, ""},
		"cold, one more":     {func(t *traffic) { t.cold(6) }, "cold-over"},
		"under the floor":    {func(t *traffic) { t.SetupReceived(1, 1, 1, 1, "x", "f", "clips", "a", 0) }, "floor"},
		"stepped under it":   {func(t *traffic) { _, s := t.served("clips", "a", 1, 1); t.RungRequested(1, s, 0, 2) }, "floor"},
		"stepped to it":      {func(t *traffic) { _, s := t.served("clips", "a", 1, 1); t.RungRequested(1, s, 1, 2) }, ""},
		"a seat too many": {func(t *traffic) {
			for i := range 3 {
				t.served("clips", "a", i+1, 1+float64(i)/2)
			}
		}, "seats"},
		"another title": {func(t *traffic) {
			for i := range 3 {
				t.served("clips", fmt.Sprint(i/2), i+1, 1)
			}
		}, ""},
		"within the ration": {func(t *traffic) { t.further(2) }, ""},
		"past the ration":   {func(t *traffic) { t.further(3) }, "ration"},
		"ration after a restart": {func(t *traffic) {
			t.further(2)
			t.FrontStarted("f", 1.5)
			t.Requested("y", "f", "clips", 1.6)
			for i := range 2 {
				t.SetupReceived(5, 50, i, 1.7, "y", "f", "clips", "b", 1)
				t.SetupAnswered(5, 50, i, 1.7, 453, "")
			}
			t.Answered("y", 1.8, 503, true)
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			tr := newTraffic()
			c.do(tr)
			v := tr.Evaluate(100)
			words := strings.Fields(v.String())
			for i := 4; i < len(words); i += 2 {
				want := "0"
				if words[i] == c.want {
					want = "1"
				}
				if words[i+1] != want {
					t.Errorf("%s %s, want %s: %v", words[i], words[i+1], want, v.Notes)
				}
			}
			if again := tr.Evaluate(100); fmt.Sprint(again) != fmt.Sprint(v) {
				t.Errorf("judged again: %v, before %v", again, v)
			}
		})
	}
}

// setups is a first SETUP that ends by a status, or out for so long where that is 0, and a second one that is served.
func (t *traffic) setups(group string, status int, after float64, withdrawn bool) {
	t.Requested("x", "f", group, 1)
	t.SetupReceived(1, 1, 1, 1.1, "x", "f", group, "a", 1)
	if status != 0 {
		t.SetupAnswered(1, 1, 1, 1.1+after, status, "")
	} else if withdrawn {
		t.SetupsCancelled(1, 1, 1.1+after)
	}
	t.SetupReceived(2, 1, 1, 1.1+after, "x", "f", group, "a", 1)
	t.SetupAnswered(2, 1, 1, 1.2+after, 200, "s")
	t.Answered("x", 1.3+after, 200, false)
}

// cold sends a box that has just started so many SETUPs at once; 4 x 20/10 x 0.43 x 1.5 = 5.2 are its limit.
func (t *traffic) cold(n int) {
	t.BoxStarted(1, 10)
	for i := range n {
		tok, s := t.served("exam", "a", 1, 10.5+float64(i)*0.01)
		t.over(1, s, tok, 11)
	}
}

// further sends a session so many SETUPs beyond its first.
func (t *traffic) further(n int) {
	t.Requested("x", "f", "clips", 1)
	for i := range n + 1 {
		t.SetupReceived(i, 1, 1, 1.1+float64(i)*0.01, "x", "f", "clips", "a", 1)
		t.SetupAnswered(i, 1, 1, 1.1+float64(i)*0.01, 453, "")
	}
	t.Answered("x", 1.3, 503, true)
}

func TestLimitGrowsWithWarmth(t *testing.T) {
	if a, b := ColdSetupLimit(20, 10, 0.4, 4, 1.5, 0), ColdSetupLimit(20, 10, 0.4, 4, 1.5, 10); math.Abs(a-4.8) > 1e-9 || math.Abs(b-12) > 1e-9 {
		t.Errorf("%v %v", a, b)
	}
}

// Reports and their readers know the verdict's counts by these JSON names, in this order.
func TestVerdictJSON(t *testing.T) {
	v := Verdict{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, []string{"n"}}
	got, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	const want = `{"Taken":1,"Answered":2,"Lost":3,"Doubled":4,"Late":5,"DrainedLate":6,"ColdOver":7,"Floor":8,"Seats":9,"Ration":10,` +
		`"Busy":11,"TornDown":12,"GivenUp":13,"Killed":14,"Further":15,"Orphans":16,"Notes":["n"]}`
	if string(got) != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}
