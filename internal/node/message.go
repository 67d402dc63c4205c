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

// Header names of the protocol, in the form in which package rtsp stores them, and its constants.
const (
	headerClass        = "Subject"    // name of the session's service group
	headerPatience     = "X-Patience" // milliseconds that the sender of a SETUP waits for the answer
	headerFacts        = "X-Facts"    // name:value pairs about the session, separated by semicolons (parseSetup)
	headerRung         = "X-Quality"  // rung to play at
	headerState        = "X-State"    // a server's load report
	headerNote         = "X-Note"     // kind of a server's note (noteKinds)
	headerReading      = "X-Reading"  // value of the note
	headerRetryAfterMs = "X-Later-Ms" // advice when to retry, in milliseconds
	headerReason       = "Reason"     // cause of a TEARDOWN

	mediaRoot = "rtsp://media/"

	causeFinished = 16 // the session has come to its end
	causeMoved    = 31 // ended by its client, or moved
	causeLost     = 41 // ended for another reason, such as the loss of its server

	cseqSetup, cseqTearDown, cseqOptions, cseqSetParameter = "1", "2", "3", "4"
)

// noteKinds maps the names of a server's notes to their kinds.
var noteKinds = map[string]wire.Kind{"served": wire.NoteKind(1), "at_rung": wire.NoteKind(2), "link_use": wire.NoteKind(3), "rack_use": wire.NoteKind(4)}

// clientSetup is the content of a client's SETUP.
type clientSetup struct {
	id, class, url string  // class is the name of the service group
	group          int     // index of the service group
	body           []byte  // passed on to the server
	patience       float64 // seconds
	request        choice.Request
	currentServer  string // the server of a session that is handed over; empty for a new one
}

// validID reports whether id is a valid session id: 16 hexadecimal digits.
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

// maxPatienceMs is longer than any setup timeout; larger values are rejected as out of range.
const maxPatienceMs = 600_000

// parseSetup parses and validates a client's SETUP.
func (n *Node) parseSetup(m *rtsp.Message) (setup clientSetup, err error) {
	// Cloned, as stored substrings would keep header lines of up to 4 kB alive.
	setup = clientSetup{id: strings.Clone(m.Session()), class: m.Header.Get(headerClass), url: strings.Clone(m.URL), body: m.Body}
	title, ok := strings.CutPrefix(m.URL, mediaRoot)
	if !ok || title == "" || len(title) > 256 {
		return setup, fmt.Errorf("invalid URL %.60q", m.URL)
	}
	if !validID(setup.id) || len(m.Header["Session"]) > 1 {
		return setup, fmt.Errorf("invalid session id %.30q", setup.id)
	}
	for setup.group = 0; setup.group < len(n.config.Groups) && n.config.Groups[setup.group] != setup.class; setup.group++ {
	}
	if setup.group == len(n.config.Groups) {
		return setup, fmt.Errorf("unknown class %.30q", setup.class)
	}
	setup.class = n.config.Groups[setup.group]
	config := n.config.Choice
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
				return setup, fmt.Errorf("fact \"at\" names no server")
			}
			continue
		default:
			continue
		}
		number, err := strconv.Atoi(value)
		if err != nil || number < minValue || number > maxValue {
			return setup, fmt.Errorf("invalid value of fact %s: %.20s", name, value)
		}
		*target = number
	}
	if setup.currentServer != "" {
		return setup, nil
	}
	ms, err := strconv.Atoi(m.Header.Get(headerPatience))
	if err != nil || ms <= 0 || ms > maxPatienceMs {
		return setup, fmt.Errorf("invalid patience %.20q", m.Header.Get(headerPatience))
	}
	setup.patience = float64(ms) / 1000
	return setup, nil
}

// parseLoadReport parses a server's load report; an invalid one counts as none.
func parseLoadReport(m *rtsp.Message) choice.LoadReport {
	r, err := wire.ParseLoadReport(strings.NewReplacer(";", ",", " ", "").Replace(m.Header.Get(headerState)))
	if err != nil {
		return noReport
	}
	return delivery.SanitizeReport(r.Link, r.Uplink, r.Capped)
}

// parseCause parses the cause in the Reason header; 0 means that there is none.
func parseCause(m *rtsp.Message) int {
	_, value, ok := strings.Cut(m.Header.Get(headerReason), "cause=")
	if !ok {
		return 0
	}
	if i := strings.IndexFunc(value, func(r rune) bool { return r < '0' || r > '9' }); i >= 0 {
		value = value[:i]
	}
	cause, _ := strconv.Atoi(value)
	return cause
}

// addHeaders sets the headers that every message has, and, where they are not empty, CSeq and Session.
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

// responseMessage returns the response to a request, with the request's session id.
func responseMessage(request *rtsp.Message, status int) []byte {
	id := request.Session()
	if len(id) > 64 {
		id = ""
	}
	return addHeaders(rtsp.NewResponse(request, status), "", id).Append(nil)
}

// servedMessage returns the successful answer to a session's SETUP, with the server's description as its body.
func servedMessage(id string, body []byte) []byte {
	m := addHeaders(&rtsp.Message{Status: rtsp.OK, Header: rtsp.Header{}}, cseqSetup, id)
	m.Body = body
	return m.Append(nil)
}

// refusalMessage returns the answer that refuses a session's SETUP.
func refusalMessage(id string, status int, retryAfter float64) []byte {
	m := addHeaders(&rtsp.Message{Status: status, Header: rtsp.Header{}}, cseqSetup, id)
	if retryAfter > 0 {
		m.WithHeader(headerRetryAfterMs, strconv.Itoa(int(math.Ceil(retryAfter*1000))))
	}
	return m.Append(nil)
}

// teardownMessage returns a TEARDOWN that gives up a pending SETUP or, with a cause, releases an established session.
func teardownMessage(url, id string, cause int) []byte {
	m := addHeaders(rtsp.NewRequest(rtsp.TearDown, url), cseqTearDown, id)
	if cause > 0 {
		m.WithHeader(headerReason, "cause="+strconv.Itoa(cause))
	}
	return m.Append(nil)
}

// setupMessage returns the SETUP of a session for its server.
func setupMessage(s *session, timeout float64) []byte {
	m := addHeaders(rtsp.NewRequest(rtsp.Setup, s.url), cseqSetup, s.id)
	m.WithHeader(headerClass, s.class)
	m.WithHeader(headerPatience, strconv.Itoa(max(int(math.Ceil(timeout*1000)), 1)))
	m.WithHeader(headerRung, strconv.Itoa(s.rung))
	m.Body = s.body
	return m.Append(nil)
}

// rungMessage returns the request that sets the rung of an established session.
func rungMessage(s *session) []byte {
	return addHeaders(rtsp.NewRequest(rtsp.SetParameter, s.url), cseqSetParameter, s.id).WithHeader(headerRung, strconv.Itoa(s.rung)).Append(nil)
}

// probeMessage returns the request that probes a server.
func probeMessage(id string) []byte {
	return addHeaders(rtsp.NewRequest(rtsp.Options, mediaRoot+"load"), cseqOptions, id).Append(nil)
}
