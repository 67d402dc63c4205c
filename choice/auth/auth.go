// Package auth decides which requests of viewers pass where users are named: digest authentication by RFC 7616
// (SHA-256, and MD5 for old clients) and RFC 2069 as RFC 2326 names it. It does no I/O and keeps no table: what it must
// know of a challenge stands in the challenge itself, signed.
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

// User is one who may enter.
type User struct{ Name, Password string }

// Result is what becomes of a request.
type Result int

// The verdicts. NoCredentials and StaleNonce are answered 401, StaleNonce with the word that only the nonce was old.
const (
	Accepted Result = iota + 1
	NoCredentials
	StaleNonce
	Rejected
)

const (
	// A nonce is good for so many seconds: a session's set-up takes a few, and a stale one costs a round trip.
	nonceTime = 300.0
	// So many wrong answers on one connection end it: a user's mistyped password takes one, a guesser thousands.
	mostWrong = 5
)

// algorithms are those offered, the stronger one first.
var algorithms = []struct {
	name string
	make func() hash.Hash
}{{"SHA-256", sha256.New}, {"MD5", md5.New}}

// Authenticator checks credentials. It keeps hashes of passwords, not the passwords.
type Authenticator struct {
	realm string
	key   []byte
	users map[string][2]string // H(user:realm:password) by algorithm
}

// New makes a gate; key signs nonces and is secret. Without users it is nil, and everyone passes.
func New(realm string, users []User, key []byte) *Authenticator {
	if len(users) == 0 {
		return nil
	}
	g := &Authenticator{realm: realm, key: key, users: map[string][2]string{}}
	for _, u := range users {
		var h [2]string
		for i, a := range algorithms {
			h[i] = digest(a.make, u.Name+":"+realm+":"+u.Password)
		}
		g.users[u.Name] = h
	}
	return g
}

func digest(make func() hash.Hash, s string) string {
	h := make()
	h.Write([]byte(s))
	return hex.EncodeToString(h.Sum(nil))
}

// nonce is the instant in milliseconds, and a signature over it and the connection: it is of no use on another one.
func (g *Authenticator) nonce(ms uint64, conn uint64) string {
	b := binary.BigEndian.AppendUint64(nil, ms)
	m := hmac.New(sha256.New, g.key)
	m.Write(binary.BigEndian.AppendUint64(b, conn))
	return base64.RawURLEncoding.EncodeToString(append(b[:8:8], m.Sum(nil)[:16]...))
}

// Challenge is what a refused request is answered with: values for WWW-Authenticate.
func (g *Authenticator) Challenge(now float64, conn uint64, stale bool) (list []string) {
	n := g.nonce(uint64(max(now, 0)*1000), conn)
	for _, a := range algorithms {
		v := fmt.Sprintf(`Digest realm="%s", nonce="%s", algorithm=%s, qop="auth"`, g.realm, n, a.name)
		if stale {
			v += ", stale=true"
		}
		list = append(list, v)
	}
	return list
}

// TooManyFailures tells that a connection has given so many wrong answers that it is ended.
func TooManyFailures(wrong int) bool { return wrong >= mostWrong }

// Check judges a request by its Authorization field, empty where it has none.
func (g *Authenticator) Check(now float64, conn uint64, method, url, authorization string) Result {
	if g == nil {
		return Accepted
	}
	if authorization == "" {
		return NoCredentials
	}
	scheme, p, err := ParseHeader(authorization)
	if err != nil || !strings.EqualFold(scheme, "Digest") || p["realm"] != g.realm {
		return Rejected
	}
	algorithm := -1
	for i, a := range algorithms {
		if strings.EqualFold(p["algorithm"], a.name) || p["algorithm"] == "" && a.name == "MD5" {
			algorithm = i
		}
	}
	if algorithm < 0 || !covers(p["uri"], url) {
		return Rejected
	}
	raw, err := base64.RawURLEncoding.DecodeString(p["nonce"])
	if err != nil || len(raw) != 24 {
		return Rejected
	}
	ms := binary.BigEndian.Uint64(raw)
	signed := subtle.ConstantTimeCompare([]byte(p["nonce"]), []byte(g.nonce(ms, conn))) == 1
	h, known := g.users[p["username"]]
	if !known { // as much work as for one who is known
		h = [2]string{strings.Repeat("0", 64), strings.Repeat("0", 32)}
	}
	want := Response(algorithms[algorithm].name, h[algorithm], method, p)
	good := subtle.ConstantTimeCompare([]byte(strings.ToLower(p["response"])), []byte(want)) == 1
	switch age := now - float64(ms)/1000; {
	case !good || !known:
		return Rejected
	case !signed || age > nonceTime || age < -1:
		return StaleNonce // the right password over a nonce that is old, or another connection's
	}
	return Accepted
}

// covers tells whether a digest's uri names the request's URL, or the presentation that this is a track of. Players
// sign either one.
func covers(uri, url string) bool {
	uri, _, _ = strings.Cut(uri, "?")
	url, _, _ = strings.Cut(url, "?")
	uri, url = strings.TrimRight(uri, "/"), strings.TrimRight(url, "/")
	return uri != "" && (uri == url || strings.HasPrefix(url, uri+"/") && strings.Count(uri, "/") >= 4)
}

// Response is the digest over a request: ha1 is H(user:realm:password), p the parameters of the Authorization field.
func Response(algorithm, ha1, method string, p map[string]string) string {
	h := md5.New
	if strings.EqualFold(algorithm, "SHA-256") {
		h = sha256.New
	}
	ha2 := digest(h, method+":"+p["uri"])
	if p["qop"] == "" { // RFC 2069
		return digest(h, ha1+":"+p["nonce"]+":"+ha2)
	}
	return digest(h, strings.Join([]string{ha1, p["nonce"], p["nc"], p["cnonce"], p["qop"], ha2}, ":"))
}

// HA1 is H(user:realm:password).
func HA1(algorithm, realm string, u User) string {
	h := md5.New
	if strings.EqualFold(algorithm, "SHA-256") {
		h = sha256.New
	}
	return digest(h, u.Name+":"+realm+":"+u.Password)
}

// ParseHeader reads an Authorization or WWW-Authenticate field: its scheme, and its parameters by their names in small
// letters. A name that stands twice is an error, as is more than there is in any honest field.
func ParseHeader(v string) (scheme string, p map[string]string, err error) {
	scheme, rest, _ := strings.Cut(strings.TrimSpace(v), " ")
	p = map[string]string{}
	for rest = strings.TrimSpace(rest); rest != ""; rest = strings.TrimSpace(strings.TrimPrefix(strings.TrimSpace(rest), ",")) {
		name, after, ok := strings.Cut(rest, "=")
		name = strings.ToLower(strings.TrimSpace(name))
		if !ok || name == "" || strings.ContainsAny(name, " ,\"") || len(p) >= 20 {
			return "", nil, fmt.Errorf("parameter %.20q", rest)
		}
		if _, twice := p[name]; twice {
			return "", nil, fmt.Errorf("%.20q stands twice", name)
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
			return "", nil, fmt.Errorf("%.20q is not closed", name)
		}
		p[name], rest = b.String(), after[i+1:]
		if r := strings.TrimSpace(rest); r != "" && r[0] != ',' {
			return "", nil, fmt.Errorf("%.20q goes on after its end", name)
		}
	}
	return scheme, p, nil
}
