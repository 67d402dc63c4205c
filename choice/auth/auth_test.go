package auth

import (
	"fmt"
	"strings"
	"testing"
)

const url = "rtsp://h:554/fault-clips/vents"

// reply builds the Authorization header with which a client answers a challenge.
func reply(challenge string, u User, method, uri string, qop bool) string {
	_, p, _ := ParseHeader(challenge)
	q := map[string]string{"username": u.Name, "realm": p["realm"], "nonce": p["nonce"], "uri": uri, "algorithm": p["algorithm"]}
	if qop {
		q["qop"], q["nc"], q["cnonce"] = "auth", "00000001", "abc"
	}
	q["response"] = Response(p["algorithm"], HA1(p["algorithm"], p["realm"], u), method, q)
	s := "Digest "
	for k, v := range q {
		s += fmt.Sprintf("%s=%q, ", k, v)
	}
	return strings.TrimSuffix(s, ", ")
}

// Checks the example of RFC 7616, section 3.9.1, for both algorithms.
func TestRFC7616Example(t *testing.T) {
	p := map[string]string{"uri": "/dir/index.html", "nonce": "7ypf/xlj9XXwfDPEoM4URrv/xwf94BcCAzFZH4GiTo0v", "nc": "00000001",
		"cnonce": "f2/wE4q74E6zIJEtWaHKaf5wv/H5QzzpXusqGemxURZJ", "qop": "auth"}
	u := User{"Mufasa", "Circle of Life"}
	for alg, want := range map[string]string{"MD5": "8ca523f5e9506fed4657c9700eebdbec",
		"SHA-256": "753927fa0e85d155564e2e272a28d1802ca10daf4496794697cf8db5856cb6c1"} {
		if got := Response(alg, HA1(alg, "http-auth@example.org", u), "GET", p); got != want {
			t.Errorf("%s: %s, want %s", alg, got, want)
		}
	}
}

func TestCheck(t *testing.T) {
	u := User{"lena", `p"w:d`}
	a := New("rainhaven", []User{u}, []byte("key"))
	ch := a.Challenge(1000, 7, false)
	if len(ch) != 2 || !strings.Contains(ch[0], "SHA-256") || !strings.Contains(ch[1], "MD5") {
		t.Fatal(ch)
	}
	for name, c := range map[string]struct {
		now    float64
		conn   uint64
		method string
		auth   string
		want   Result
	}{
		"SHA-256":            {1001, 7, "SETUP", reply(ch[0], u, "SETUP", url, true), Accepted},
		"MD5":                {1001, 7, "SETUP", reply(ch[1], u, "SETUP", url, true), Accepted},
		"no qop (RFC 2069)":  {1001, 7, "SETUP", reply(ch[1], u, "SETUP", url, false), Accepted},
		"presentation URL":   {1001, 7, "SETUP", reply(ch[0], u, "SETUP", url+"/", true), Accepted},
		"no credentials":     {1001, 7, "SETUP", "", NoCredentials},
		"another method":     {1001, 7, "SETUP", reply(ch[0], u, "PLAY", url, true), Rejected},
		"another URL":        {1001, 7, "SETUP", reply(ch[0], u, "SETUP", "rtsp://h:554/fault-clips/other", true), Rejected},
		"server URL":         {1001, 7, "SETUP", reply(ch[0], u, "SETUP", "rtsp://h:554", true), Rejected},
		"wrong password":     {1001, 7, "SETUP", reply(ch[0], User{"lena", "x"}, "SETUP", url, true), Rejected},
		"unknown user":       {1001, 7, "SETUP", reply(ch[0], User{"eve", "x"}, "SETUP", url, true), Rejected},
		"expired nonce":      {1301, 7, "SETUP", reply(ch[0], u, "SETUP", url, true), StaleNonce},
		"another connection": {1001, 8, "SETUP", reply(ch[0], u, "SETUP", url, true), StaleNonce},
		"forged nonce":       {1001, 7, "SETUP", reply(strings.Replace(ch[0], `nonce="A`, `nonce="B`, 1), u, "SETUP", url, true), StaleNonce},
		"Basic":              {1001, 7, "SETUP", "Basic bGVuYTpwdw==", Rejected},
		"unclosed quote":     {1001, 7, "SETUP", `Digest username="lena`, Rejected},
		"duplicate name":     {1001, 7, "SETUP", reply(ch[0], u, "SETUP", url, true) + `, username="x"`, Rejected},
	} {
		if got := a.Check(c.now, c.conn, c.method, url+"/track1?viewer=3", c.auth); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
	if New("r", nil, nil).Check(1, 1, "SETUP", url, "") != Accepted {
		t.Error("request rejected although no users are configured")
	}
	if TooManyFailures(1) || !TooManyFailures(100) {
		t.Error("TooManyFailures: 1 failure must be allowed, 100 must not")
	}
}

func FuzzCheck(f *testing.F) {
	u := User{"lena", "pw"}
	a := New("rainhaven", []User{u}, []byte("key"))
	f.Add(reply(a.Challenge(1000, 7, false)[0], u, "SETUP", url, true))
	f.Add(`Digest a="\"", b=c,, d`)
	f.Fuzz(func(t *testing.T, v string) {
		// No header is accepted on a connection other than the challenge's.
		if a.Check(1001, 8, "SETUP", url, v) == Accepted {
			t.Fatalf("%q accepted", v)
		}
		if _, p, err := ParseHeader(v); err == nil && len(p) > 20 {
			t.Fatalf("%d parameters accepted", len(p))
		}
	})
}
