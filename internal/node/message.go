package node

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"rainhaven/choice"
	"rainhaven/choice/delivery"
	"rainhaven/internal/rtsp"
	"rainhaven/internal/wire"
)

// The protocol's fields, as rtsp keeps names, and its figures.
const (
	headerClass        = "Subject"
	headerPatience     = "X-Patience"
	headerFacts        = "X-Facts"
	headerRung         = "X-Quality"
	headerState        = "X-State"
	headerNote         = "X-Note"
	headerReading      = "X-Reading"
	headerRetryAfterMs = "X-Later-Ms"
	headerReason       = "Reason"

	mediaRoot = "rtsp://media/"

	causeFinished = 16 // it has come to its end
	causeMoved    = 31 // ended by its client, or moved
	causeLost     = 41

	cseqSetup, cseqTearDown, cseqOptions = "1", "2", "3"
)

// noteKinds are the kinds of a server's notes by their names.
var noteKinds = map[string]wire.Kind{"served": wire.NoteKind(1), "at_rung": wire.NoteKind(2), "link_use": wire.NoteKind(3), "rack_use": wire.NoteKind(4)}

// clientSetup is what a client's SETUP says.
type clientSetup struct {
	id, class, url string
	group          int
	body           []byte
	patience       float64 // seconds
	request        choice.Request
	currentServer  string // the server where it stands already
}

// validID tells whether a session's id is one: 16 hex digits.
func validID(id string) bool {
	if len(id) != 16 {
		return false
	}
	for i := range len(id) {
		if c := id[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// maxPatienceMs is past any setup timeout; against figures that are out of range.
const maxPatienceMs = 600_000

// parseSetup reads a client's SETUP; what is wrong with it is an error.
func (n *Node) parseSetup(m *rtsp.Message) (a clientSetup, err error) {
	// What is kept must not keep a line of 4 kB alive.
	a = clientSetup{id: strings.Clone(m.Session()), class: m.Header.Get(headerClass), url: strings.Clone(m.URL), body: m.Body}
	title, ok := strings.CutPrefix(m.URL, mediaRoot)
	if !ok || title == "" || len(title) > 256 {
		return a, fmt.Errorf("address %.60q", m.URL)
	}
	if !validID(a.id) || len(m.Header["Session"]) > 1 {
		return a, fmt.Errorf("session id %.30q", a.id)
	}
	for a.group = 0; a.group < len(n.config.Groups) && n.config.Groups[a.group] != a.class; a.group++ {
	}
	if a.group == len(n.config.Groups) {
		return a, fmt.Errorf("class %.30q", a.class)
	}
	a.class = n.config.Groups[a.group]
	figures := n.config.Config
	a.request = choice.Request{ID: choice.SessID(a.id), Group: a.group, Title: a.url[len(mediaRoot):], CellCount: 1, BestRung: len(figures.Ladder) - 1}
	for _, pair := range strings.Split(m.Header.Get(headerFacts), ";") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), ":")
		var to *int
		least, most := 0, max(figures.Cells, 1)-1
		switch name {
		case "home":
			to = &a.request.StartCell
		case "copies":
			to, least, most = &a.request.CellCount, 1, max(figures.Cells, 1)
		case "top":
			to, most = &a.request.BestRung, len(figures.Ladder)-1
		case "at":
			if a.currentServer = strings.Clone(value); value == "" {
				return a, fmt.Errorf("at no server")
			}
			continue
		default:
			continue
		}
		x, err := strconv.Atoi(value)
		if err != nil || x < least || x > most {
			return a, fmt.Errorf("%s:%.20s", name, value)
		}
		*to = x
	}
	if a.currentServer != "" {
		return a, nil
	}
	ms, err := strconv.Atoi(m.Header.Get(headerPatience))
	if err != nil || ms <= 0 || ms > maxPatienceMs {
		return a, fmt.Errorf("patience %.20q", m.Header.Get(headerPatience))
	}
	a.patience = float64(ms) / 1000
	return a, nil
}

// parseLoadReport reads a server's load report; what can't be read says nothing.
func parseLoadReport(m *rtsp.Message) choice.LoadReport {
	r, err := wire.ReadReport(strings.NewReplacer(";", ",", " ", "").Replace(m.Header.Get(headerState)))
	if err != nil {
		return noReport
	}
	return delivery.SanitizeReport(r.Link, r.Uplink, r.Capped)
}

// parseCause reads the Reason field; 0 is none.
func parseCause(m *rtsp.Message) int {
	_, v, ok := strings.Cut(m.Header.Get(headerReason), "cause=")
	if !ok {
		return 0
	}
	if i := strings.IndexFunc(v, func(r rune) bool { return r < '0' || r > '9' }); i >= 0 {
		v = v[:i]
	}
	c, _ := strconv.Atoi(v)
	return c
}

func addHeaders(m *rtsp.Message, seq, id string) *rtsp.Message {
	m.Header["Content-Length"] = nil
	if seq != "" {
		m.Header["Cseq"] = []string{seq}
	}
	if id != "" {
		m.Header["Session"] = []string{id}
	}
	return m
}

// responseMessage makes a responseMessage to a request, for its session.
func responseMessage(to *rtsp.Message, status int) []byte {
	id := to.Session()
	if len(id) > 64 {
		id = ""
	}
	return addHeaders(rtsp.NewResponse(to, status), "", id).Append(nil)
}

// servedMessage is the answer to a session's SETUP: the server's own description.
func servedMessage(id string, body []byte) []byte {
	m := addHeaders(&rtsp.Message{Status: rtsp.OK, Header: rtsp.Header{}}, cseqSetup, id)
	m.Body = body
	return m.Append(nil)
}

// refusalMessage is the answer that refuses a session's SETUP.
func refusalMessage(id string, status int, comeBack float64) []byte {
	m := addHeaders(&rtsp.Message{Status: status, Header: rtsp.Header{}}, cseqSetup, id)
	if comeBack > 0 {
		m.WithHeader(headerRetryAfterMs, strconv.Itoa(int(math.Ceil(comeBack*1000))))
	}
	return m.Append(nil)
}

// teardownMessage gives a SETUP up, or, with a cause, releases a session that stands.
func teardownMessage(url, id string, cause int) []byte {
	m := addHeaders(rtsp.NewRequest(rtsp.TearDown, url), cseqTearDown, id)
	if cause > 0 {
		m.WithHeader(headerReason, "cause="+strconv.Itoa(cause))
	}
	return m.Append(nil)
}

func setupMessage(s *session, wait float64) []byte {
	m := addHeaders(rtsp.NewRequest(rtsp.Setup, s.url), cseqSetup, s.id)
	m.WithHeader(headerClass, s.class)
	m.WithHeader(headerPatience, strconv.Itoa(max(int(math.Ceil(wait*1000)), 1)))
	m.WithHeader(headerRung, strconv.Itoa(s.rung))
	m.Body = s.body
	return m.Append(nil)
}

func rungMessage(s *session) []byte {
	return addHeaders(rtsp.NewRequest(rtsp.SetParameter, s.url), "4", s.id).WithHeader(headerRung, strconv.Itoa(s.rung)).Append(nil)
}

func probeMessage(id string) []byte {
	return addHeaders(rtsp.NewRequest(rtsp.Options, mediaRoot+"load"), cseqOptions, id).Append(nil)
}
