// Package keys decides whether a certificate and key that stand in new files are taken in place of those in use. It does
// no I/O.
package keys

import "fmt"

// CertInfo is what was found in the files.
type CertInfo struct {
	Problem             string  // why they can't be used at all: half written, not a pair; empty is none
	NotBefore, NotAfter float64 // instants between which the certificate is good
	Fingerprint         string  // of the certificate, to tell one from another
}

// soon is how many seconds before its end a certificate is spoken of: two weeks are time to renew by hand.
const soon = 14 * 24 * 3600.0

// ShouldReplace tells whether found replaces what is in use, and what there is to say of it; empty is nothing. At the start, where
// nothing is in use, using is nil.
func ShouldReplace(now float64, using *CertInfo, found CertInfo) (take bool, say string) {
	switch {
	case found.Problem != "":
		// Against files that are being written: the next look finds them whole. Keeping the old pair harms nobody,
		// as it is good until its own end.
		return false, found.Problem
	case using != nil && using.Fingerprint == found.Fingerprint:
		if left := found.NotAfter - now; left <= 0 {
			return false, "the certificate in use has expired"
		} else if left < soon {
			return false, fmt.Sprintf("the certificate in use expires in %.0f hours", left/3600)
		}
		return false, ""
	case now >= found.NotAfter:
		return false, "the certificate has expired"
	case now < found.NotBefore:
		return false, "the certificate is not good yet"
	case found.NotAfter-now < soon:
		return true, fmt.Sprintf("the certificate expires in %.0f hours", (found.NotAfter-now)/3600)
	}
	return true, ""
}
