package keys

import (
	"strings"
	"testing"
)

func TestShouldReplace(t *testing.T) {
	const year = 365 * 24 * 3600.0
	good := CertInfo{NotBefore: 0, NotAfter: year, Fingerprint: "a"}
	other := CertInfo{NotBefore: 0, NotAfter: year, Fingerprint: "b"}
	for name, c := range map[string]struct {
		now     float64
		using   *CertInfo
		found   CertInfo
		replace bool
		warning string
	}{
		"startup":             {10, nil, good, true, ""},
		"unusable at startup": {10, nil, CertInfo{Problem: "half"}, false, "half"},
		"unchanged":           {10, &good, good, false, ""},
		"replaced":            {10, &good, other, true, ""},
		"half written":        {10, &good, CertInfo{Problem: "half"}, false, "half"},
		"expired":             {10, &good, CertInfo{NotAfter: 5, Fingerprint: "b"}, false, "has expired"},
		"not valid yet":       {10, &good, CertInfo{NotBefore: 20, NotAfter: year, Fingerprint: "b"}, false, "not valid yet"},
		"expires soon":        {10, &good, CertInfo{NotAfter: 3610, Fingerprint: "b"}, true, "in 1 hours"},
		"in use expires soon": {year - 7200, &good, good, false, "in use expires in 2 hours"},
		"in use expired":      {year + 1, &good, good, false, "in use has expired"},
		"expired, replaced":   {year + 1, &good, CertInfo{NotAfter: 2 * year, Fingerprint: "b"}, true, ""},
	} {
		replace, warning := ShouldReplace(c.now, c.using, c.found)
		if replace != c.replace || !strings.Contains(warning, c.warning) || c.warning == "" && warning != "" {
			t.Errorf("%s: replace %v, warning %q", name, replace, warning)
		}
	}
}
