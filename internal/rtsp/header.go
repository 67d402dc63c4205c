package rtsp

import (
	"fmt"
	"math"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Transport is one transport specification (section 12.39).
type Transport struct {
	Protocol                string // in upper case, such as RTP/AVP/TCP
	Interleaved             bool   // the specification names channels
	RTPChannel, RTCPChannel byte   // set if Interleaved
	SSRC                    uint32
	HasSSRC                 bool
	Append                  bool
	Record                  bool
}

// ParseTransport parses a Transport field and returns its specifications in the sender's order of preference.
func ParseTransport(v string) ([]Transport, error) {
	var list []Transport
	for _, spec := range strings.Split(v, ",") {
		parts := strings.Split(strings.TrimSpace(spec), ";")
		t := Transport{Protocol: strings.ToUpper(parts[0])}
		if t.Protocol == "" {
			return nil, fmt.Errorf("transport: empty specification")
		}
		for _, p := range parts[1:] {
			name, value, _ := strings.Cut(strings.TrimSpace(p), "=")
			switch strings.ToLower(name) {
			case "interleaved":
				lo, hi, hasHigh := strings.Cut(value, "-")
				l, err := strconv.ParseUint(lo, 10, 8)
				if err != nil {
					return nil, fmt.Errorf("transport: invalid channel %.10q", lo)
				}
				h := l + 1
				if hasHigh {
					if h, err = strconv.ParseUint(hi, 10, 8); err != nil || h < l {
						return nil, fmt.Errorf("transport: invalid channel %.10q", hi)
					}
				}
				if h > 255 {
					return nil, fmt.Errorf("transport: no RTCP channel left after RTP channel 255")
				}
				t.Interleaved, t.RTPChannel, t.RTCPChannel = true, byte(l), byte(h)
			case "ssrc":
				n, err := strconv.ParseUint(value, 16, 32)
				if err != nil {
					return nil, fmt.Errorf("transport: invalid ssrc %.12q", value)
				}
				t.SSRC, t.HasSSRC = uint32(n), true
			case "append":
				t.Append = true
			case "mode":
				t.Record = strings.EqualFold(strings.Trim(value, `"`), "record")
			}
		}
		list = append(list, t)
	}
	return list, nil
}

// FindTCP returns the first specification that requests playback with RTP interleaved on the RTSP connection.
func FindTCP(list []Transport) (Transport, bool) {
	for _, t := range list {
		if t.Protocol == "RTP/AVP/TCP" && !t.Record {
			return t, true
		}
	}
	return Transport{}, false
}

func (t Transport) String() string {
	s := fmt.Sprintf("RTP/AVP/TCP;unicast;interleaved=%d-%d", t.RTPChannel, t.RTCPChannel)
	if t.HasSSRC {
		s += fmt.Sprintf(";ssrc=%08X", t.SSRC)
	}
	return s
}

// Range is a range of normal play time in seconds (section 3.6). End is +Inf if the range is open.
type Range struct {
	Start, End float64
	Now        bool // starts at the live point
}

// ParseRange parses a Range field in npt units. It returns an error for other units.
func ParseRange(v string) (Range, error) {
	r := Range{End: math.Inf(1)}
	v, _, _ = strings.Cut(v, ";")
	s, ok := strings.CutPrefix(strings.TrimSpace(v), "npt=")
	if !ok {
		return r, fmt.Errorf("range %.20q is not in npt", v)
	}
	from, to, dash := strings.Cut(s, "-")
	if !dash {
		return r, fmt.Errorf("range %.20q has no dash", v)
	}
	var err error
	switch {
	case from == "now":
		r.Now = true
	case from != "":
		if r.Start, err = parseNPT(from); err != nil {
			return r, err
		}
	case to == "":
		return r, fmt.Errorf("empty range")
	}
	if to != "" {
		if r.End, err = parseNPT(to); err != nil {
			return r, err
		}
		if r.End < r.Start {
			return r, fmt.Errorf("range %.20q ends before it starts", v)
		}
	}
	return r, nil
}

// parseNPT parses a time given in seconds or as hours:minutes:seconds.
func parseNPT(s string) (float64, error) {
	total := 0.0
	parts := strings.Split(strings.TrimSpace(s), ":")
	if len(parts) != 1 && len(parts) != 3 {
		return 0, fmt.Errorf("invalid time %.20q", s)
	}
	for _, p := range parts {
		if p == "" || strings.ContainsAny(p, "+-eExXpPiInN_") {
			return 0, fmt.Errorf("invalid time %.20q", s)
		}
		x, err := strconv.ParseFloat(p, 64)
		if err != nil || x > 1e9 {
			return 0, fmt.Errorf("invalid time %.20q", s)
		}
		total = total*60 + x
	}
	return total, nil
}

func (r Range) String() string {
	switch {
	case r.Now:
		return "npt=now-"
	case math.IsInf(r.End, 1):
		return fmt.Sprintf("npt=%.3f-", r.Start)
	}
	return fmt.Sprintf("npt=%.3f-%.3f", r.Start, r.End)
}

// RTPInfo is the entry of one stream in an RTP-Info field (section 12.33).
type RTPInfo struct {
	URL     string
	Seq     uint16
	RTPTime uint32
}

// FormatRTPInfo formats the value of an RTP-Info field.
func FormatRTPInfo(list []RTPInfo) string {
	var b strings.Builder
	for i, s := range list {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "url=%s;seq=%d;rtptime=%d", s.URL, s.Seq, s.RTPTime)
	}
	return b.String()
}

// ParseRTPInfo parses an RTP-Info field. It returns an error if a stream has no URL.
func ParseRTPInfo(v string) (list []RTPInfo, err error) {
	for _, spec := range strings.Split(v, ",") {
		var s RTPInfo
		for _, p := range strings.Split(strings.TrimSpace(spec), ";") {
			name, value, _ := strings.Cut(p, "=")
			switch name {
			case "url":
				s.URL = value
			case "seq":
				n, err := strconv.ParseUint(value, 10, 16)
				if err != nil {
					return nil, fmt.Errorf("rtp-info: invalid seq %.10q", value)
				}
				s.Seq = uint16(n)
			case "rtptime":
				n, err := strconv.ParseUint(value, 10, 32)
				if err != nil {
					return nil, fmt.Errorf("rtp-info: invalid rtptime %.12q", value)
				}
				s.RTPTime = uint32(n)
			}
		}
		if s.URL == "" {
			return nil, fmt.Errorf("rtp-info: stream without a URL")
		}
		list = append(list, s)
	}
	return list, nil
}

// FormatSession formats the value of a Session field with its timeout (section 12.37).
func FormatSession(id string, timeout time.Duration) string {
	return fmt.Sprintf("%s;timeout=%d", id, int(timeout.Seconds()))
}

// ParseSessionTimeout returns the timeout given in a Session field, or the default of 60 s if it gives none.
func ParseSessionTimeout(v string) time.Duration {
	_, rest, _ := strings.Cut(v, ";")
	if s, ok := strings.CutPrefix(strings.TrimSpace(rest), "timeout="); ok {
		if n, err := strconv.Atoi(strings.TrimSpace(s)); err == nil && n > 0 && n < 86400 {
			return time.Duration(n) * time.Second
		}
	}
	return 60 * time.Second
}

// Resource holds the parts of a URL of the form rtsp://host/<service group>/<title>[/track<n>][?query].
type Resource struct {
	Host, Group, Title string
	Track              int    // -1 for the aggregate URL of the presentation
	Query              string // set by the viewer and passed to boxes unchanged, for tracing
}

// ParseURL parses a URL of the form described at Resource.
func ParseURL(raw string) (Resource, error) {
	r := Resource{Track: -1}
	u, err := url.Parse(raw)
	if err != nil || u.Scheme != "rtsp" && u.Scheme != "rtsps" || u.Host == "" {
		return r, fmt.Errorf("%.60q is not an rtsp URL", raw)
	}
	r.Host, r.Query = u.Host, u.RawQuery
	parts := strings.Split(strings.Trim(u.Path, "/"), "/")
	if len(parts) == 3 {
		n, err := strconv.Atoi(strings.TrimPrefix(parts[2], "track"))
		if err != nil || n < 0 || n > 127 || !strings.HasPrefix(parts[2], "track") {
			return r, fmt.Errorf("%.60q has an invalid track", raw)
		}
		r.Track = n
		parts = parts[:2]
	}
	if len(parts) != 2 || parts[0] == "" || parts[1] == "" {
		return r, fmt.Errorf("%.60q does not name a service group and a title", raw)
	}
	r.Group, r.Title = parts[0], parts[1]
	return r, nil
}

// URL formats the resource as a URL.
func (r Resource) URL() string {
	s := "rtsp://" + r.Host + "/" + url.PathEscape(r.Group) + "/" + url.PathEscape(r.Title)
	if r.Track >= 0 {
		s += "/track" + strconv.Itoa(r.Track)
	}
	if r.Query != "" {
		s += "?" + r.Query
	}
	return s
}

// ParseParameters parses a text/parameters body, which has one name and value per line. Names are returned in lower case.
func ParseParameters(body []byte) map[string]string {
	m := map[string]string{}
	for _, line := range strings.Split(string(body), "\n") {
		name, value, ok := strings.Cut(line, ":")
		if name = strings.ToLower(strings.TrimSpace(name)); name != "" {
			if !ok {
				value = ""
			}
			m[name] = strings.TrimSpace(value)
		}
	}
	return m
}
