// Package keys decides whether a certificate and key read from files replace those in use. It does no I/O.
package keys

import "fmt"

// CertInfo describes the certificate found in a file.
type CertInfo struct {
	Problem             string  // why the files can't be used (partly written, key and certificate don't match); empty if they can
	NotBefore, NotAfter float64 // validity in seconds of Unix time
	Fingerprint         string  // identifies the certificate
}

// expiryWarning is the number of seconds before expiry at which warnings start: two weeks leave time to renew by hand.
const expiryWarning = 14 * 24 * 3600.0

// ShouldReplace reports whether found replaces the certificate in use, with a warning that is empty if there is none.
// At startup nothing is in use and using is nil.
func ShouldReplace(now float64, using *CertInfo, found CertInfo) (replace bool, warning string) {
	switch {
	case found.Problem != "":
		// Guards against files that are just being written: the next read finds them complete. The certificate in use stays
		// valid until its own expiry.
		return false, found.Problem
	case using != nil && using.Fingerprint == found.Fingerprint:
		if left := found.NotAfter - now; left <= 0 {
			return false, "the certificate in use has expired"
		} else if left < expiryWarning {
			return false, fmt.Sprintf("the certificate in use expires in %.0f hours", left/3600)
		}
		return false, ""
	case now >= found.NotAfter:
		return false, "the certificate has expired"
	case now < found.NotBefore:
		return false, "the certificate is not valid yet"
	case found.NotAfter-now < expiryWarning:
		return true, fmt.Sprintf("the certificate expires in %.0f hours", (found.NotAfter-now)/3600)
	}
	return true, ""
}
