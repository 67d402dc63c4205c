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
func (n *Node) parseSetup(m *rtsp.Message) (setup clientSetup, err error) {
	// What is kept must not keep a line of 4 kB alive.
	setup = clientSetup{id: strings.Clone(m.Session()), class: m.Header.Get(headerClass), url: strings.Clone(m.URL), body: m.Body}
	title, ok := strings.CutPrefix(m.URL, mediaRoot)
	if !ok || title == "" || len(title) > 256 {
		return setup, fmt.Errorf("address %.60q", m.URL)
	}
	if !validID(setup.id) || len(m.Header["Session"]) > 1 {
		return setup, fmt.Errorf("session id %.30q", setup.id)
	}
	for setup.group = 0; setup.group < len(n.start.Groups) && n.start.Groups[setup.group] != setup.class; setup.group++ {
	}
	if setup.group == len(n.start.Groups) {
		return setup, fmt.Errorf("class %.30q", setup.class)
	}
	setup.class = n.start.Groups[setup.group]
	config := n.start.Config
	setup.request = choice.Request{ID: choice.SessID(setup.id), Group: setup.group, Title: setup.url[len(mediaRoot):], CellCount: 1, BestRung: len(config.Ladder) - 1}
	for _, pair := range strings.Split(m.Header.Get(headerFacts), ";") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), ":")
		var target *int
		minValue, maxValue := 0, max(config.Cells, 1)-1
		switch name {
		case "home":
			target = &setup.request.StartCell
		case "copies":
			target, minValue, maxValue = &setup.request.CellCount, 1, max(config.Cells, 1)
		case "top":
			target, maxValue = &setup.request.BestRung, len(config.Ladder)-1
		case "at":
			if setup.currentServer = strings.Clone(value); value == "" {
				return setup, fmt.Errorf("at no server")
			}
			continue
		default:
			continue
		}
		number, err := strconv.Atoi(value)
		if err != nil || number < minValue || number > maxValue {
			return setup, fmt.Errorf("%s:%.20s", name, value)
		}
		*target = number
	}
	if setup.currentServer != "" {
		return setup, nil
	}
	ms, err := strconv.Atoi(m.Header.Get(headerPatience))
	if err != nil || ms <= 0 || ms > maxPatienceMs {
		return setup, fmt.Errorf("patience %.20q", m.Header.Get(headerPatience))
	}
	setup.patience = float64(ms) / 1000
	return setup, nil
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

func addHeaders(m *rtsp.Message, cseq, id string) *rtsp.Message {
	m.Header["Content-Length"] = nil
	if cseq != "" {
		m.Header["Cseq"] = []string{cseq}
	}
	if id != "" {
		m.Header["Session"] = []string{id}
	}
	return m
}

// responseMessage makes a responseMessage to a request, for its session.
func responseMessage(request *rtsp.Message, status int) []byte {
	id := request.Session()
	if len(id) > 64 {
		id = ""
	}
	return addHeaders(rtsp.Response(request, status), "", id).Append(nil)
}

// servedMessage is the answer to a session's SETUP: the server's own description.
func servedMessage(id string, body []byte) []byte {
	m := addHeaders(&rtsp.Message{Status: rtsp.OK, Header: rtsp.Header{}}, cseqSetup, id)
	m.Body = body
	return m.Append(nil)
}

// refusalMessage is the answer that refuses a session's SETUP.
func refusalMessage(id string, status int, retryAfter float64) []byte {
	m := addHeaders(&rtsp.Message{Status: status, Header: rtsp.Header{}}, cseqSetup, id)
	if retryAfter > 0 {
		m.With(headerRetryAfterMs, strconv.Itoa(int(math.Ceil(retryAfter*1000))))
	}
	return m.Append(nil)
}

// teardownMessage gives a SETUP up, or, with a cause, releases a session that stands.
func teardownMessage(url, id string, cause int) []byte {
	m := addHeaders(rtsp.Request(rtsp.TearDown, url), cseqTearDown, id)
	if cause > 0 {
		m.With(headerReason, "cause="+strconv.Itoa(cause))
	}
	return m.Append(nil)
}

func setupMessage(s *session, timeout float64) []byte {
	m := addHeaders(rtsp.Request(rtsp.Setup, s.url), cseqSetup, s.id)
	m.With(headerClass, s.class)
	m.With(headerPatience, strconv.Itoa(max(int(math.Ceil(timeout*1000)), 1)))
	m.With(headerRung, strconv.Itoa(s.rung))
	m.Body = s.body
	return m.Append(nil)
}

func rungMessage(s *session) []byte {
	return addHeaders(rtsp.Request(rtsp.SetParameter, s.url), "4", s.id).With(headerRung, strconv.Itoa(s.rung)).Append(nil)
}

func probeMessage(id string) []byte {
	return addHeaders(rtsp.Request(rtsp.Options, mediaRoot+"load"), cseqOptions, id).Append(nil)
}
