// Package auth authenticates the requests of viewers where users are configured: digest authentication by RFC 7616
// (SHA-256, and MD5 for old clients) and by RFC 2069, which RFC 2326 refers to. It does no I/O and stores no challenges:
// the nonce carries its own state, signed.
package auth

import (
	"crypto/hmac"
	"crypto/md5"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"strings"
)

// User is an account that viewers authenticate with.
type User struct{ Name, Password string }

// Result is the outcome of checking a request.
type Result int

// The results. All but Accepted are answered 401. StaleNonce means that only the nonce was out of date; its challenge
// carries stale=true.
const (
	Accepted Result = iota + 1
	NoCredentials
	StaleNonce
	Rejected
)

const (
	// Seconds. A session's set-up takes a few; a stale nonce costs the client one more round trip.
	nonceLifetime = 300.0
	// Rejected credentials after which a connection is closed. A mistyped password takes one, guessing takes thousands.
	maxFailures = 5
	// Parameters accepted in one header.
	maxParams = 20
)

// algorithms are offered in this order, the strongest first.
var algorithms = []struct {
	name    string
	newHash func() hash.Hash
}{{"SHA-256", sha256.New}, {"MD5", md5.New}}

// Authenticator checks credentials against hashes of the passwords; it does not store the passwords.
type Authenticator struct {
	realm string
	key   []byte
	users map[string][2]string // HA1 by user name, in the order of algorithms
}

// New returns an Authenticator for users; key is the secret that signs nonces. Without users it returns nil, which accepts
// every request.
func New(realm string, users []User, key []byte) *Authenticator {
	if len(users) == 0 {
		return nil
	}
	a := &Authenticator{realm: realm, key: key, users: map[string][2]string{}}
	for _, u := range users {
		var h [2]string
		for i, alg := range algorithms {
			h[i] = hexDigest(alg.newHash, u.Name+":"+realm+":"+u.Password)
		}
		a.users[u.Name] = h
	}
	return a
}

func hexDigest(newHash func() hash.Hash, s string) string {
	h := newHash()
	h.Write([]byte(s))
	return hex.EncodeToString(h.Sum(nil))
}

// nonce returns the time in milliseconds and a signature over it and the connection's number, so that a nonce is valid on
// one connection only.
func (a *Authenticator) nonce(ms uint64, conn uint64) string {
	b := binary.BigEndian.AppendUint64(nil, ms)
	m := hmac.New(sha256.New, a.key)
	m.Write(binary.BigEndian.AppendUint64(b, conn))
	return base64.RawURLEncoding.EncodeToString(append(b[:8:8], m.Sum(nil)[:16]...))
}

// Challenge returns the WWW-Authenticate values of a 401 response, one per algorithm.
func (a *Authenticator) Challenge(now float64, conn uint64, stale bool) (list []string) {
	n := a.nonce(uint64(max(now, 0)*1000), conn)
	for _, alg := range algorithms {
		v := fmt.Sprintf(`Digest realm="%s", nonce="%s", algorithm=%s, qop="auth"`, a.realm, n, alg.name)
		if stale {
			v += ", stale=true"
		}
		list = append(list, v)
	}
	return list
}

// TooManyFailures reports whether a connection is to be closed after this many rejected credentials.
func TooManyFailures(failures int) bool { return failures >= maxFailures }

// Check authenticates a request by its Authorization header, which is empty if the request has none.
func (a *Authenticator) Check(now float64, conn uint64, method, url, header string) Result {
	if a == nil {
		return Accepted
	}
	if header == "" {
		return NoCredentials
	}
	scheme, p, err := ParseHeader(header)
	if err != nil || !strings.EqualFold(scheme, "Digest") || p["realm"] != a.realm {
		return Rejected
	}
	algorithm := -1
	for i, alg := range algorithms {
		if strings.EqualFold(p["algorithm"], alg.name) || p["algorithm"] == "" && alg.name == "MD5" {
			algorithm = i
		}
	}
	if algorithm < 0 || !uriMatches(p["uri"], url) {
		return Rejected
	}
	raw, err := base64.RawURLEncoding.DecodeString(p["nonce"])
	if err != nil || len(raw) != 24 {
		return Rejected
	}
	ms := binary.BigEndian.Uint64(raw)
	signed := subtle.ConstantTimeCompare([]byte(p["nonce"]), []byte(a.nonce(ms, conn))) == 1
	h, known := a.users[p["username"]]
	if !known { // the same work as for a known user, so that timing does not reveal user names
		h = [2]string{strings.Repeat("0", 64), strings.Repeat("0", 32)}
	}
	want := Response(algorithms[algorithm].name, h[algorithm], method, p)
	good := subtle.ConstantTimeCompare([]byte(strings.ToLower(p["response"])), []byte(want)) == 1
	switch age := now - float64(ms)/1000; {
	case !good || !known:
		return Rejected
	case !signed || age > nonceLifetime || age < -1:
		return StaleNonce // correct password, but the nonce has expired, is forged or belongs to another connection
	}
	return Accepted
}

// uriMatches reports whether the uri of a digest is the request's URL or the presentation that the URL is a track of.
// Players sign either one.
func uriMatches(uri, url string) bool {
	uri, _, _ = strings.Cut(uri, "?")
	url, _, _ = strings.Cut(url, "?")
	uri, url = strings.TrimRight(uri, "/"), strings.TrimRight(url, "/")
	return uri != "" && (uri == url || strings.HasPrefix(url, uri+"/") && strings.Count(uri, "/") >= 4)
}

// Response computes the response digest of a request from ha1 and the parameters p of its Authorization header.
func Response(algorithm, ha1, method string, p map[string]string) string {
	h := md5.New
	if strings.EqualFold(algorithm, "SHA-256") {
		h = sha256.New
	}
	ha2 := hexDigest(h, method+":"+p["uri"])
	if p["qop"] == "" { // RFC 2069
		return hexDigest(h, ha1+":"+p["nonce"]+":"+ha2)
	}
	return hexDigest(h, strings.Join([]string{ha1, p["nonce"], p["nc"], p["cnonce"], p["qop"], ha2}, ":"))
}

// HA1 returns H(user:realm:password).
func HA1(algorithm, realm string, u User) string {
	h := md5.New
	if strings.EqualFold(algorithm, "SHA-256") {
		h = sha256.New
	}
	return hexDigest(h, u.Name+":"+realm+":"+u.Password)
}

// ParseHeader parses an Authorization or WWW-Authenticate header into its scheme and its parameters, keyed by lower-case
// name. Duplicate names and more than maxParams parameters are errors; valid headers have fewer.
func ParseHeader(v string) (scheme string, p map[string]string, err error) {
	scheme, rest, _ := strings.Cut(strings.TrimSpace(v), " ")
	p = map[string]string{}
	for rest = strings.TrimSpace(rest); rest != ""; rest = strings.TrimSpace(strings.TrimPrefix(strings.TrimSpace(rest), ",")) {
		name, after, ok := strings.Cut(rest, "=")
		name = strings.ToLower(strings.TrimSpace(name))
		if !ok || name == "" || strings.ContainsAny(name, " ,\"") || len(p) >= maxParams {
			return "", nil, fmt.Errorf("unexpected parameter %.20q", rest)
		}
		if _, duplicate := p[name]; duplicate {
			return "", nil, fmt.Errorf("duplicate parameter %.20q", name)
		}
		after = strings.TrimSpace(after)
		if !strings.HasPrefix(after, `"`) {
			i := strings.IndexByte(after, ',')
			if i < 0 {
				i = len(after)
			}
			p[name], rest = strings.TrimSpace(after[:i]), after[i:]
			continue
		}
		var b strings.Builder
		i := 1
		for ; i < len(after) && after[i] != '"'; i++ {
			if after[i] == '\\' && i+1 < len(after) {
				i++
			}
			b.WriteByte(after[i])
		}
		if i >= len(after) {
			return "", nil, fmt.Errorf("parameter %.20q: missing closing quote", name)
		}
		p[name], rest = b.String(), after[i+1:]
		if r := strings.TrimSpace(rest); r != "" && r[0] != ',' {
			return "", nil, fmt.Errorf("parameter %.20q: unexpected text after the closing quote", name)
		}
	}
	return scheme, p, nil
}
