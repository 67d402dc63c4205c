package witness

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
)

func testRules() Rules {
	return Rules{Groups: map[string]Group{"clips": {SetupTimeout: 3, Floor: 1, Seats: 2}, "exam": {SetupTimeout: 3, Paid: true}},
		DrainGrace: 0.5, AnswerTolerance: 0.04, MaxStreams: 20, WarmUp: 10, ColdShare: 0.4, OverloadFactor: 4, OverloadTime: 1.5,
		BaseRetries: 2, RetriesPerSession: 0.1, RetryWindow: 10}
}

// traffic records the events of test cases in short form.
type traffic struct {
	*Witness
	lastID int
}

func newTraffic() *traffic {
	t := &traffic{Witness: New(testRules())}
	t.FrontStarted("f", 0)
	return t
}

// serveSession records a session that is requested, set up at a box and answered.
func (t *traffic) serveSession(group, title string, box int, at float64) (token, session string) {
	t.lastID++
	token, session = fmt.Sprint("v", t.lastID), fmt.Sprint("s", t.lastID)
	t.Requested(token, "f", group, at)
	t.SetupReceived(box, uint64(t.lastID), 1, at+0.01, token, "f", group, title, 1)
	t.SetupAnswered(box, uint64(t.lastID), 1, at+0.02, 200, session)
	t.Answered(token, at+0.03, 200, false)
	return token, session
}

func (t *traffic) endSession(box int, session, token string, at float64) {
	t.SessionEnded(box, session, at)
	t.ViewerLeft(token, at)
}

// Each case breaks one rule once, or none: exactly that violation must be counted, as a check that misses violations or
// reports false ones would invalidate every run that relies on it.
func TestEachViolationIsCounted(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(t *traffic)
		want string // the count that must be 1; empty is none
	}{
		"no violation": {func(t *traffic) {
			tok, s := t.serveSession("clips", "a", 1, 1)
			t.endSession(1, s, tok, 20)
			tok, s = t.serveSession("clips", "a", 2, 2)
			t.endSession(2, s, tok, 21)
			tok, s = t.serveSession("clips", "a", 2, 21.1)
			t.endSession(2, s, tok, 30)
		}, ""},
		"no answer": {func(t *traffic) { t.Requested("x", "f", "clips", 1); t.ViewerLeft("x", 4.2) }, "lost"},
		"abandoned": {func(t *traffic) { t.Requested("x", "f", "clips", 1); t.ViewerLeft("x", 2) }, ""},
		"held by a killed front": {func(t *traffic) {
			t.Requested("x", "f", "clips", 1)
			t.FrontKilled("f", 2)
			t.ConnectionLost("x", 2)
			t.ViewerLeft("x", 2)
		}, ""},
		"connection lost, front alive":  {func(t *traffic) { t.Requested("x", "f", "clips", 1); t.ConnectionLost("x", 2); t.ViewerLeft("x", 9) }, "lost"},
		"two answers":                   {func(t *traffic) { tok, _ := t.serveSession("clips", "a", 1, 1); t.Answered(tok, 1.5, 200, false) }, "doubled"},
		"answer too late":               {func(t *traffic) { t.Requested("x", "f", "clips", 1); t.Answered("x", 4.1, 503, true) }, "late"},
		"answer within the tolerance":   {func(t *traffic) { t.Requested("x", "f", "clips", 1); t.Answered("x", 4.03, 503, true) }, ""},
		"refused, then retried":         {func(t *traffic) { t.twoSetups("clips", 453, 0.1, true) }, ""},
		"error, then retried":           {func(t *traffic) { t.twoSetups("clips", 500, 0.1, true) }, ""},
		"paid, refused, then retried":   {func(t *traffic) { t.twoSetups("exam", 453, 0.1, true) }, ""},
		"paid, error, then retried":     {func(t *traffic) { t.twoSetups("exam", 500, 0.1, true) }, "doubled"},
		"paid, cancelled, then retried": {func(t *traffic) { t.twoSetups("exam", 0, 0.5, true) }, "doubled"},
		"cancelled, then retried":       {func(t *traffic) { t.twoSetups("clips", 0, 0.5, true) }, ""},
		"two in flight":                 {func(t *traffic) { t.twoSetups("clips", 0, 0.5, false) }, "doubled"},
		"paid, error, then busy reply": {func(t *traffic) {
			t.Requested("x", "f", "exam", 1)
			t.SetupReceived(1, 1, 1, 1.1, "x", "f", "exam", "a", 1)
			t.SetupAnswered(1, 1, 1, 1.2, 500, "")
			t.Answered("x", 1.3, 503, true)
		}, "doubled"},
		"within the drain grace": {func(t *traffic) { t.FrontNotified("f", 1, false, 0.9); t.serveSession("clips", "a", 1, 1) }, ""},
		"past the drain grace":   {func(t *traffic) { t.FrontNotified("f", 1, false, 0.2); t.serveSession("clips", "a", 1, 1) }, "drained-late"},
		"ready again": {func(t *traffic) {
			t.FrontNotified("f", 1, false, 0.1)
			t.FrontNotified("f", 1, true, 0.2)
			t.serveSession("clips", "a", 1, 1)
		}, ""},
		"another front notified":   {func(t *traffic) { t.FrontNotified("g", 1, false, 0.1); t.serveSession("clips", "a", 1, 1) }, ""},
		"cold box at its limit":    {func(t *traffic) { t.coldSetups(5) }, ""},
		"cold box over its limit":  {func(t *traffic) { t.coldSetups(6) }, "cold-over"},
		"SETUP below the floor":    {func(t *traffic) { t.SetupReceived(1, 1, 1, 1, "x", "f", "clips", "a", 0) }, "floor"},
		"switched below the floor": {func(t *traffic) { _, s := t.serveSession("clips", "a", 1, 1); t.RungRequested(1, s, 0, 2) }, "floor"},
		"switched to the floor":    {func(t *traffic) { _, s := t.serveSession("clips", "a", 1, 1); t.RungRequested(1, s, 1, 2) }, ""},
		"one session over the seats": {func(t *traffic) {
			for i := range 3 {
				t.serveSession("clips", "a", i+1, 1+float64(i)/2)
			}
		}, "seats"},
		"another title": {func(t *traffic) {
			for i := range 3 {
				t.serveSession("clips", fmt.Sprint(i/2), i+1, 1)
			}
		}, ""},
		"within the retry budget": {func(t *traffic) { t.retries(2) }, ""},
		"over the retry budget":   {func(t *traffic) { t.retries(3) }, "ration"},
		"retry budget after a restart": {func(t *traffic) {
			t.retries(2)
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
				t.Errorf("evaluated again: %v, before: %v", again, v)
			}
		})
	}
}

// twoSetups records a first SETUP that is answered with a status after a time, or not at all if it is 0, and a second one
// that is served. An unanswered first SETUP is cancelled before the second or stays in flight.
func (t *traffic) twoSetups(group string, status int, after float64, cancelled bool) {
	t.Requested("x", "f", group, 1)
	t.SetupReceived(1, 1, 1, 1.1, "x", "f", group, "a", 1)
	if status != 0 {
		t.SetupAnswered(1, 1, 1, 1.1+after, status, "")
	} else if cancelled {
		t.SetupsCancelled(1, 1, 1.1+after)
	}
	t.SetupReceived(2, 1, 1, 1.1+after, "x", "f", group, "a", 1)
	t.SetupAnswered(2, 1, 1, 1.2+after, 200, "s")
	t.Answered("x", 1.3+after, 200, false)
}

// coldSetups sends n SETUPs at once to a box that has just started; its limit is 4 x 20/10 x 0.43 x 1.5 = 5.2.
func (t *traffic) coldSetups(n int) {
	t.BoxStarted(1, 10)
	for i := range n {
		tok, s := t.serveSession("exam", "a", 1, 10.5+float64(i)*0.01)
		t.endSession(1, s, tok, 11)
	}
}

// retries records a request with n SETUPs beyond its first.
func (t *traffic) retries(n int) {
	t.Requested("x", "f", "clips", 1)
	for i := range n + 1 {
		t.SetupReceived(i, 1, 1, 1.1+float64(i)*0.01, "x", "f", "clips", "a", 1)
		t.SetupAnswered(i, 1, 1, 1.1+float64(i)*0.01, 453, "")
	}
	t.Answered("x", 1.3, 503, true)
}

func TestColdSetupLimit(t *testing.T) {
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
