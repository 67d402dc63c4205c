package keys

import (
	"strings"
	"testing"
)

func TestTake(t *testing.T) {
	const year = 365 * 24 * 3600.0
	good := CertInfo{NotBefore: 0, NotAfter: year, Fingerprint: "a"}
	other := CertInfo{NotBefore: 0, NotAfter: year, Fingerprint: "b"}
	for name, c := range map[string]struct {
		now   float64
		using *CertInfo
		found CertInfo
		take  bool
		says  string
	}{
		"at the start":        {10, nil, good, true, ""},
		"broken at the start": {10, nil, CertInfo{Problem: "half"}, false, "half"},
		"the same":            {10, &good, good, false, ""},
		"another":             {10, &good, other, true, ""},
		"half written":        {10, &good, CertInfo{Problem: "half"}, false, "half"},
		"expired":             {10, &good, CertInfo{NotAfter: 5, Fingerprint: "b"}, false, "has expired"},
		"not yet":             {10, &good, CertInfo{NotBefore: 20, NotAfter: year, Fingerprint: "b"}, false, "not good yet"},
		"ends soon":           {10, &good, CertInfo{NotAfter: 3610, Fingerprint: "b"}, true, "in 1 hours"},
		"in use, ends soon":   {year - 7200, &good, good, false, "in use expires in 2 hours"},
		"in use, is over":     {year + 1, &good, good, false, "in use has expired"},
		"in use over, new":    {year + 1, &good, CertInfo{NotAfter: 2 * year, Fingerprint: "b"}, true, ""},
	} {
		take, say := ShouldReplace(c.now, c.using, c.found)
		if take != c.take || !strings.Contains(say, c.says) || c.says == "" && say != "" {
			t.Errorf("%s: %v %q", name, take, say)
		}
	}
}
