package health

import (
	"encoding/json"
	"strings"
	"testing"
)

func TestEvaluate(t *testing.T) {
	healthy := Facts{State: "serving", Serving: true, LoopResponsive: true, Boxes: 10, Usable: 9, Sessions: 5, MaxSessions: 100, StateAge: 1}
	for name, c := range map[string]struct {
		change      func(*Facts)
		live, ready bool
		message     string // expected in Reason or Degraded
	}{
		"healthy":              {func(*Facts) {}, true, true, ""},
		"the loop hangs":       {func(f *Facts) { f.LoopResponsive = false }, false, false, "loop"},
		"draining":             {func(f *Facts) { f.State, f.Serving = "draining", false }, true, false, "draining"},
		"no box":               {func(f *Facts) { f.Usable = 0 }, true, false, "none of 10 boxes"},
		"full":                 {func(f *Facts) { f.Sessions = 100 }, true, false, "all of 100"},
		"nearly full":          {func(f *Facts) { f.Sessions = 95 }, true, true, "95 of 100"},
		"few boxes":            {func(f *Facts) { f.Usable = 4 }, true, true, "4 of 10"},
		"a reload was refused": {func(f *Facts) { f.ReloadError = "a port" }, true, true, "a port"},
		"the disk is full":     {func(f *Facts) { f.StateError = "no space" }, true, true, "no space"},
		"writes hang":          {func(f *Facts) { f.StateAge = 11 }, true, true, "11 s ago"},
		"no state is kept":     {func(f *Facts) { f.StateAge = -1 }, true, true, ""},
	} {
		f := healthy
		c.change(&f)
		s := Evaluate(f)
		messages := s.Reason + strings.Join(s.Degraded, "; ")
		if s.Live != c.live || s.Ready != c.ready || (c.message == "") != (messages == "") || !strings.Contains(messages, c.message) || s.Ready != (s.Reason == "") {
			t.Errorf("%s: %+v", name, s)
		}
	}
}

// The supervisor and monitoring tools read these names.
func TestStatusFieldNames(t *testing.T) {
	for want, s := range map[string]Status{
		`{"Live":true,"Ready":true,"Degraded":["few boxes"],"Why":"draining"}`: {Live: true, Ready: true, Degraded: []string{"few boxes"}, Reason: "draining"},
		`{"Live":false,"Ready":false,"Degraded":null,"Why":""}`:                {},
	} {
		if got, err := json.Marshal(s); err != nil || string(got) != want {
			t.Errorf("written as %s, want %s (%v)", got, want, err)
		}
	}
}
