package keys

import (
	"strings"
	"testing"
)

func TestTake(t *testing.T) {
	const year = 365 * 24 * 3600.0
	good := Pair{From: 0, Until: year, Print: "a"}
	other := Pair{From: 0, Until: year, Print: "b"}
	for name, c := range map[string]struct {
		now   float64
		using *Pair
		found Pair
		take  bool
		says  string
	}{
		"at the start":        {10, nil, good, true, ""},
		"broken at the start": {10, nil, Pair{Problem: "half"}, false, "half"},
		"the same":            {10, &good, good, false, ""},
		"another":             {10, &good, other, true, ""},
		"half written":        {10, &good, Pair{Problem: "half"}, false, "half"},
		"expired":             {10, &good, Pair{Until: 5, Print: "b"}, false, "has expired"},
		"not yet":             {10, &good, Pair{From: 20, Until: year, Print: "b"}, false, "not good yet"},
		"ends soon":           {10, &good, Pair{Until: 3610, Print: "b"}, true, "in 1 hours"},
		"in use, ends soon":   {year - 7200, &good, good, false, "in use expires in 2 hours"},
		"in use, is over":     {year + 1, &good, good, false, "in use has expired"},
		"in use over, new":    {year + 1, &good, Pair{Until: 2 * year, Print: "b"}, true, ""},
	} {
		take, say := Take(c.now, c.using, c.found)
		if take != c.take || !strings.Contains(say, c.says) || c.says == "" && say != "" {
			t.Errorf("%s: %v %q", name, take, say)
		}
	}
}
