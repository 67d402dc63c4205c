// Package rtsp reads and writes RTSP 1.0 (RFC 2326) on a connection: requests and responses in both directions,
// with interleaved frames (section 10.12) between them. It contains no policy: callers decide how to respond.
package rtsp

import (
	"errors"
	"fmt"
	"io"
	"net/textproto"
	"sort"
	"strconv"
	"strings"
)

// Methods defined in RFC 2326, section 10.
const (
	Options      = "OPTIONS"
	Describe     = "DESCRIBE"
	Announce     = "ANNOUNCE"
	Setup        = "SETUP"
	Play         = "PLAY"
	Pause        = "PAUSE"
	Record       = "RECORD"
	Redirect     = "REDIRECT"
	TearDown     = "TEARDOWN"
	GetParameter = "GET_PARAMETER"
	SetParameter = "SET_PARAMETER"
)

// Status codes that rainhaven sends or distinguishes (RFC 2326, section 11.3, and those it adopts from HTTP).
const (
	OK                     = 200
	BadRequest             = 400
	Unauthorized           = 401
	NotFound               = 404
	MethodNotAllowed       = 405
	TooLarge               = 413
	URITooLong             = 414
	ParameterNotUnderstood = 451
	NotEnoughBandwidth     = 453
	SessionNotFound        = 454
	NotValidInThisState    = 455
	HeaderFieldNotValid    = 456
	InvalidRange           = 457
	AggregateNotAllowed    = 459
	UnsupportedTransport   = 461
	InternalError          = 500
	NotImplemented         = 501
	ServiceUnavailable     = 503
	RequestTimeout         = 408
	GatewayTimeout         = 504
	VersionNotSupported    = 505
	OptionNotSupported     = 551
)

var reasonPhrases = map[int]string{
	OK: "OK", BadRequest: "Bad Request", Unauthorized: "Unauthorized", NotFound: "Not Found", MethodNotAllowed: "Method Not Allowed",
	TooLarge: "Request Entity Too Large", URITooLong: "Request-URI Too Large",
	ParameterNotUnderstood: "Parameter Not Understood", NotEnoughBandwidth: "Not Enough Bandwidth",
	SessionNotFound: "Session Not Found", NotValidInThisState: "Method Not Valid In This State",
	HeaderFieldNotValid: "Header Field Not Valid for Resource", InvalidRange: "Invalid Range",
	AggregateNotAllowed: "Aggregate Operation Not Allowed", UnsupportedTransport: "Unsupported Transport",
	InternalError: "Internal Server Error", NotImplemented: "Not Implemented",
	ServiceUnavailable: "Service Unavailable", GatewayTimeout: "Gateway Time-out", RequestTimeout: "Request Time-out",
	VersionNotSupported: "RTSP Version Not Supported", OptionNotSupported: "Option Not Supported",
}

// Reason returns the reason phrase of a status code.
func Reason(status int) string {
	if r, ok := reasonPhrases[status]; ok {
		return r
	}
	return "Status " + strconv.Itoa(status)
}

// Header holds a message's header fields, keyed by canonical name.
type Header = textproto.MIMEHeader

// Message is a request if Method is set, otherwise a response.
type Message struct {
	Method string // request only, as received
	URL    string // request only, as received
	Major  int    // protocol version as read; Append always writes 1.0
	Minor  int
	Status int    // response only
	Reason string // response only; if empty, Append writes Reason(Status)
	Header Header
	Body   []byte
}

// NewRequest returns a request without header fields.
func NewRequest(method, url string) *Message {
	return &Message{Method: method, URL: url, Header: Header{}}
}

// NewResponse returns a response with the CSeq of the request, which may be nil.
func NewResponse(req *Message, status int) *Message {
	m := &Message{Status: status, Header: Header{}}
	if req != nil {
		if c := req.Header.Get("Cseq"); c != "" {
			m.Header["Cseq"] = []string{c}
		}
	}
	return m
}

// IsRequest reports whether the message is a request.
func (m *Message) IsRequest() bool { return m.Method != "" }

// WithHeader sets a header field and returns the message.
func (m *Message) WithHeader(name, value string) *Message {
	m.Header.Set(name, value)
	return m
}

// CSeq returns the message's sequence number, or -1 if it is missing or invalid.
func (m *Message) CSeq() int {
	n, err := strconv.Atoi(strings.TrimSpace(m.Header.Get("Cseq")))
	if err != nil || n < 0 {
		return -1
	}
	return n
}

// Session returns the id in the Session field without its parameters, or an empty string if there is none.
func (m *Message) Session() string {
	id, _, _ := strings.Cut(m.Header.Get("Session"), ";")
	return strings.TrimSpace(id)
}

// wireNames maps canonical names to the spelling of RFC 2326 where net/textproto differs from it.
var wireNames = map[string]string{"Cseq": "CSeq", "Rtp-Info": "RTP-Info", "Www-Authenticate": "WWW-Authenticate"}

// Append appends the message in wire format. CSeq comes first, the other header fields follow sorted by name.
func (m *Message) Append(b []byte) []byte {
	if m.IsRequest() {
		b = fmt.Appendf(b, "%s %s RTSP/1.0\r\n", m.Method, m.URL)
	} else {
		reason := m.Reason
		if reason == "" {
			reason = Reason(m.Status)
		}
		b = fmt.Appendf(b, "RTSP/1.0 %d %s\r\n", m.Status, reason)
	}
	if c := m.Header.Get("Cseq"); c != "" {
		b = fmt.Appendf(b, "CSeq: %s\r\n", c)
	}
	names := make([]string, 0, len(m.Header))
	for name := range m.Header {
		if name != "Cseq" && name != "Content-Length" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		wireName := name
		if w, ok := wireNames[name]; ok {
			wireName = w
		}
		for _, v := range m.Header[name] {
			b = fmt.Appendf(b, "%s: %s\r\n", wireName, replaceLineBreaks(v))
		}
	}
	// Some peers expect a length on every message: a Content-Length field in Header forces one for an empty body.
	if _, forced := m.Header["Content-Length"]; forced || len(m.Body) > 0 {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", len(m.Body))
	}
	b = append(b, "\r\n"...)
	return append(b, m.Body...)
}

// replaceLineBreaks prevents header injection through values that come from a peer.
func replaceLineBreaks(v string) string {
	if strings.ContainsAny(v, "\r\n") {
		return strings.NewReplacer("\r", " ", "\n", " ").Replace(v)
	}
	return v
}

// Limits bounds what a Conn reads. A zero field takes its value from DefaultLimits.
type Limits struct {
	LineBytes    int // start line or header line
	HeaderLines  int // number of header lines
	BodyBytes    int
	FrameBytes   int // payload of an interleaved frame, at most 65535
	MessageBytes int // lines and body of a message together
	BufferBytes  int // read-ahead
}

// DefaultLimits holds the limits that apply where none are set. A line of 4 kB fits any URL that players generate, 64
// header lines are three times the maximum among the examples of RFC 2326, and descriptions stay below 64 kB.
var DefaultLimits = Limits{LineBytes: 4096, HeaderLines: 64, BodyBytes: 64 << 10, FrameBytes: 65535, MessageBytes: 512 << 10, BufferBytes: maxBufferSize}

func (b Limits) withDefaults() Limits {
	setDefault := func(v *int, def int) {
		if *v <= 0 {
			*v = def
		}
	}
	setDefault(&b.LineBytes, DefaultLimits.LineBytes)
	setDefault(&b.HeaderLines, DefaultLimits.HeaderLines)
	setDefault(&b.BodyBytes, DefaultLimits.BodyBytes)
	setDefault(&b.FrameBytes, DefaultLimits.FrameBytes)
	setDefault(&b.MessageBytes, DefaultLimits.MessageBytes)
	setDefault(&b.BufferBytes, DefaultLimits.BufferBytes)
	return b
}

// MalformedError describes invalid input. If Status is not 0, the caller may send a response with it before it closes
// the connection; the rest of the input can't be parsed.
type MalformedError struct {
	Status int
	CSeq   string
	Detail string
}

func (e *MalformedError) Error() string { return "malformed RTSP: " + e.Detail }

func malformed(status int, format string, args ...any) error {
	return &MalformedError{Status: status, Detail: fmt.Sprintf(format, args...)}
}

// parseStartLine parses a request line or a status line.
func (m *Message) parseStartLine(line string) error {
	if v, rest, ok := strings.Cut(line, " "); ok && strings.HasPrefix(v, "RTSP/") {
		if !m.parseVersion(v) {
			return malformed(0, "invalid version %.20q", v)
		}
		code, reason, _ := strings.Cut(rest, " ")
		n, err := strconv.Atoi(code)
		if err != nil || n < 100 || n > 999 {
			return malformed(0, "invalid status code %.20q", code)
		}
		m.Status, m.Reason = n, reason
		return nil
	}
	parts := strings.Split(line, " ")
	if len(parts) != 3 {
		return malformed(BadRequest, "invalid start line %.40q", line)
	}
	if parts[0] == "" || len(parts[0]) > 32 || !isToken(parts[0]) {
		return malformed(BadRequest, "invalid method %.40q", parts[0])
	}
	if parts[1] == "" {
		return malformed(BadRequest, "empty URL")
	}
	if !m.parseVersion(parts[2]) {
		return malformed(BadRequest, "invalid version %.20q", parts[2])
	}
	m.Method, m.URL = parts[0], parts[1]
	return nil
}

func (m *Message) parseVersion(s string) bool {
	s, ok := strings.CutPrefix(s, "RTSP/")
	if !ok {
		return false
	}
	major, minor, ok := strings.Cut(s, ".")
	if !ok || len(major) != 1 || len(minor) != 1 || major[0] < '0' || major[0] > '9' || minor[0] < '0' || minor[0] > '9' {
		return false
	}
	m.Major, m.Minor = int(major[0]-'0'), int(minor[0]-'0')
	return true
}

// isToken reports whether s is a token as defined in RFC 2326, section 15.1.
func isToken(s string) bool {
	for i := 0; i < len(s); i++ {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte("()<>@,;:\\\"/[]?={}", c) >= 0 {
			return false
		}
	}
	return s != ""
}

// errLineTooLong is returned for a line that exceeds the limit.
var errLineTooLong = errors.New("line too long")

// readLine reads a line and strips its line ending: CR LF, or a bare LF, which section 15.1 tells receivers to accept.
// If a deadline interrupts it, the partial line stays buffered for the next call.
func (c *Conn) readLine() (string, error) {
	line, err := c.in.readLine(c.limits.LineBytes)
	if err != nil {
		if errors.Is(err, io.EOF) && len(line) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return "", err
	}
	n := len(line) - 1
	if n > 0 && line[n-1] == '\r' {
		n--
	}
	return string(line[:n]), nil
}

// readMessage reads the rest of a message, given its start line.
func (c *Conn) readMessage(line string) (*Message, error) {
	m := &Message{Header: Header{}}
	startErr := m.parseStartLine(line)
	if startErr != nil && startErr.(*MalformedError).Status == 0 {
		return nil, startErr
	}
	fail := func(err error) error {
		var bad *MalformedError
		if errors.As(err, &bad) {
			bad.CSeq = m.Header.Get("Cseq")
			if m.Status != 0 {
				bad.Status = 0
			}
		}
		return err
	}
	lastField, size := "", len(line)
	for n := 0; ; n++ {
		line, err := c.readLine()
		size += len(line)
		if err == errLineTooLong {
			return nil, fail(malformed(TooLarge, "header line longer than %d bytes", c.limits.LineBytes))
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if line == "" {
			break
		}
		if n >= c.limits.HeaderLines || size > c.limits.MessageBytes {
			return nil, fail(malformed(TooLarge, "header of %d lines and %d bytes exceeds the limit", n+1, size))
		}
		if line[0] == ' ' || line[0] == '\t' { // a folded line continues the previous field
			if lastField == "" {
				return nil, fail(malformed(BadRequest, "folded line before the first header field"))
			}
			v := m.Header[lastField]
			if len(v[len(v)-1])+len(line) > c.limits.LineBytes {
				return nil, fail(malformed(TooLarge, "header field longer than %d bytes", c.limits.LineBytes))
			}
			v[len(v)-1] += " " + strings.TrimSpace(line)
			continue
		}
		name, value, ok := strings.Cut(line, ":")
		if name = strings.TrimRight(name, " \t"); !ok || !isToken(name) {
			return nil, fail(malformed(BadRequest, "invalid header line %.40q", line))
		}
		lastField = textproto.CanonicalMIMEHeaderKey(name)
		m.Header[lastField] = append(m.Header[lastField], strings.TrimSpace(value))
	}
	if startErr != nil {
		return nil, fail(startErr)
	}
	if v, ok := m.Header["Content-Length"]; ok {
		n, err := strconv.Atoi(v[0])
		if err != nil || n < 0 || len(v) > 1 {
			return nil, fail(malformed(BadRequest, "invalid Content-Length %.20q", v[0]))
		}
		if n > c.limits.BodyBytes || n > c.limits.MessageBytes-size {
			return nil, fail(malformed(TooLarge, "body of %d bytes exceeds the limit", n))
		}
		m.Body = make([]byte, n)
		if _, err := io.ReadFull(&c.in, m.Body); err != nil {
			return nil, io.ErrUnexpectedEOF
		}
	}
	return m, nil
}
