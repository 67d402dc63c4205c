// Package wire reads and writes the simulator's line protocol and translates it to the types of package choice.
//
// The simulator sends batches of events, one message per line with name=value fields; times are whole microseconds. Each batch
// gets one reply.
package wire

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"io"
	"strconv"
	"strings"

	"rainhaven/choice"
)

// Kind is the type of an event.
type Kind int

// The kinds of event. Ignored events name a front but are not passed on to it.
const (
	Ignored Kind = iota
	Start
	Stop
	ServerList
	Request
	Handover
	ClientLeft
	Established
	SetupEnded
	ProbeEnded
	TimerFired
	DeliveredShare
	RungInForce
	LinkLoad
	UplinkLoad
	Message
)

// Event is one event for a front; Kind determines which of the other fields are set.
type Event struct {
	Front    string
	Kind     Kind
	Config   choice.Config
	FullList bool
	Servers  []choice.Listing
	Request  choice.Request
	Server   choice.ServerID
	Outcome  choice.Outcome
	Final    bool
	Report   choice.LoadReport
	Elapsed  float64
	Value    float64
	Payload  []byte
}

// Dispatch passes the event to a front. Start and Stop are handled by the host of the front.
func (e *Event) Dispatch(f *choice.Front) {
	switch e.Kind {
	case ServerList:
		f.UpdateServers(e.FullList, e.Servers)
	case Request:
		f.RequestSession(e.Request)
	case Handover:
		f.AddHandedOver(e.Request, e.Server)
	case ClientLeft:
		f.RequestClosed(e.Request.ID)
	case Established:
		f.SessionEstablished(e.Request.ID)
	case SetupEnded:
		f.SetupEnded(e.Request.ID, e.Server, e.Outcome, e.Final, e.Report)
	case ProbeEnded:
		f.ProbeEnded(e.Server, e.Outcome, e.Report)
	case TimerFired:
		f.HandleTimer()
	case DeliveredShare:
		f.ShortDelivery(e.Server, e.Value)
	case RungInForce:
		f.SetCurrentRung(e.Request.ID, int(e.Value))
	case Message:
		f.ReceiveMessage(e.Payload)
	case LinkLoad, UplinkLoad:
		f.LoadNote(e.Request.ID, e.Server, e.Value, e.Kind == UplinkLoad)
	}
}

// Reader reads batches of events.
type Reader struct {
	in    *bufio.Reader
	line  int
	lists map[int64][]choice.Listing // by set_id, at most 16; a new list replaces the old one of its number
}

// NewReader returns a Reader of in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<20), lists: map[int64][]choice.Listing{}}
}

func (r *Reader) nextLine() (name, rest string, err error) {
	line, err := r.in.ReadString('\n')
	if err == io.EOF && line != "" {
		return "", "", fmt.Errorf("line %d: unexpected end of input within a line", r.line+1)
	}
	if err != nil {
		return "", "", err
	}
	r.line++
	name, rest, _ = strings.Cut(strings.TrimRight(line, "\r\n"), " ")
	return name, rest, nil
}

// ReadBatch reads one batch: the time in seconds and the events. It returns io.EOF at the end of input.
func (r *Reader) ReadBatch() (now float64, events []Event, err error) {
	name, rest, err := r.nextLine()
	if err != nil {
		return 0, nil, err
	}
	if name != "ROUND" {
		return 0, nil, fmt.Errorf("line %d: got %q, want ROUND", r.line, name)
	}
	f, err := parseFields(rest)
	if err == nil {
		now, err = f.seconds("now", true)
	}
	if err != nil {
		return 0, nil, fmt.Errorf("line %d: %w", r.line, err)
	}
	for {
		name, rest, err := r.nextLine()
		if err == io.EOF {
			return 0, nil, fmt.Errorf("line %d: unexpected end of input within a batch", r.line)
		}
		if err != nil {
			return 0, nil, err
		}
		if name == "OVER_TO_YOU" {
			return now, events, nil
		}
		if name == "CATALOG" {
			err = r.readCatalog(rest)
		} else {
			var e Event
			if e, err = r.parseEvent(name, rest); err == nil {
				events = append(events, e)
			}
		}
		if err != nil {
			return 0, nil, fmt.Errorf("line %d: %s: %w", r.line, name, err)
		}
	}
}

func (r *Reader) readCatalog(rest string) error {
	f, err := parseFields(rest)
	if err != nil {
		return err
	}
	id, err := f.integer("set_id", true)
	if err != nil {
		return err
	}
	n, err := f.integer("rows", true)
	if err != nil {
		return err
	}
	if n < 0 {
		return fmt.Errorf("rows=%d is negative", n)
	}
	var list []choice.Listing
	for range n {
		name, rest, err := r.nextLine()
		if err != nil {
			return fmt.Errorf("incomplete list: %w", err)
		}
		if name != "ITEM" {
			return fmt.Errorf("got %q, want ITEM", name)
		}
		f, err := parseFields(rest)
		if err != nil {
			return err
		}
		fr := fieldReader{fields: f}
		e := choice.Listing{ID: fr.server("server"), Zone: fr.integer("dc", false), Kind: fr.integer("class_of_host", false),
			Cell: fr.integer("cell", false), State: choice.Lifecycle(fr.integer("lifecycle", true)), Weight: 1,
			StartedAt: fr.seconds("born", false)}
		if _, ok := f["heft"]; ok {
			e.Weight = fr.number("heft")
		}
		if e.State < choice.Gone || e.State > choice.Draining {
			fr.setErr(fmt.Errorf("unknown lifecycle=%d", e.State))
		}
		if e.Kind < 0 || e.Cell < 0 {
			fr.setErr(fmt.Errorf("class_of_host=%d or cell=%d is negative", e.Kind, e.Cell))
		}
		if fr.err != nil {
			return fr.err
		}
		list = append(list, e)
	}
	r.lists[id] = list
	return nil
}

func (r *Reader) parseEvent(name, rest string) (Event, error) {
	if name == "SPAWN" {
		return parseStart(rest)
	}
	f, err := parseFields(rest)
	if err != nil {
		return Event{}, err
	}
	fr := &fieldReader{fields: f}
	e := Event{Front: fr.text("i")}
	switch name {
	case "POWER_OFF":
		e.Kind = Stop
	case "MESSAGE":
		e.Kind = Message
		if raw := fr.fields["raw"]; raw != "-" {
			payload, err := base64.StdEncoding.DecodeString(raw)
			fr.setErr(err)
			e.Payload = payload
		}
	case "TOPOLOGY":
		mode := fr.integer("mode", true)
		if mode < 0 || mode > 3 {
			fr.setErr(fmt.Errorf("unknown mode=%d", mode))
		}
		if mode == 2 || fr.err != nil {
			break
		}
		id := fr.integer("set_id", true)
		list, known := r.lists[int64(id)]
		if !known {
			fr.setErr(fmt.Errorf("unknown set_id=%d", id))
		}
		e.Kind, e.FullList, e.Servers = ServerList, mode != 3, list
	case "ASK", "PREEXISTING":
		e.Kind = Request
		e.Request = choice.Request{ID: choice.SessID(fr.text("xid")), Group: fr.integer("tier_class", false),
			Title: fr.fields["programme"], StartCell: fr.integer("start_cell", false), CellCount: fr.integer("span", false),
			BestRung: fr.integer("best_rung", false), SetupDeadline: fr.seconds("expires", name == "ASK"),
			Length: fr.seconds("work", false)}
		if name == "PREEXISTING" {
			e.Kind, e.Server = Handover, fr.server("server")
		}
	case "ABORTED":
		e.Kind, e.Request.ID = ClientLeft, choice.SessID(fr.text("xid"))
	case "BEGUN":
		e.Kind, e.Request.ID = Established, choice.SessID(fr.text("xid"))
		e.Server, e.Elapsed = fr.server("server"), fr.seconds("elapsed", false)
	case "RESOLVED", "CHECK_RESULT":
		e.Kind = ProbeEnded
		if name == "RESOLVED" {
			e.Kind, e.Request.ID, e.Final = SetupEnded, choice.SessID(fr.text("xid")), fr.fields["final"] == "1"
		}
		e.Server, e.Elapsed = fr.server("server"), fr.seconds("elapsed", false)
		e.Outcome = choice.Outcome(fr.integer("outcome", true))
		if e.Outcome < choice.Served || e.Outcome > choice.Unsent {
			fr.setErr(fmt.Errorf("unknown outcome=%d", e.Outcome))
		}
		var err error
		if e.Report, err = ParseLoadReport(f["telemetry"]); err != nil {
			fr.setErr(err)
		}
	case "PROGRESS":
		e.Request.ID, e.Server, e.Value = choice.SessID(fr.text("xid")), fr.server("server"), fr.number("value")
		e.Kind = NoteKind(fr.integer("sort", true))
	case "REMINDER":
		e.Kind = TimerFired
	default:
		return Event{}, fmt.Errorf("unknown message")
	}
	return e, fr.err
}

// noteKinds maps the number of a note, from 1, to its kind.
var noteKinds = [...]Kind{Ignored, DeliveredShare, RungInForce, LinkLoad, UplinkLoad}

// NoteKind returns the kind of a note by its number, or Ignored for an unknown number.
func NoteKind(n int) Kind {
	if n < 1 || n >= len(noteKinds) {
		return Ignored
	}
	return noteKinds[n]
}

// ParseLoadReport parses a load report: name:value pairs separated by commas. Missing loads are -1, and unknown names
// are skipped.
func ParseLoadReport(s string) (choice.LoadReport, error) {
	r := choice.LoadReport{Link: -1, Uplink: -1}
	if s == "" || s == "-" {
		return r, nil
	}
	for _, item := range strings.Split(s, ",") {
		name, value, _ := strings.Cut(item, ":")
		x, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return r, fmt.Errorf("telemetry: %q is not a name:number pair", item)
		}
		switch name {
		case "cpu":
			if r.Link < 0 {
				r.Link, r.Capped = x, true
			}
		case "x0":
			r.Link, r.Capped = x, false
		case "x1":
			r.Uplink = x
		}
	}
	return r, nil
}

type fieldMap map[string]string

func parseFields(rest string) (fieldMap, error) {
	f := fieldMap{}
	for _, p := range strings.Fields(rest) {
		name, value, ok := strings.Cut(p, "=")
		if !ok || name == "" {
			return nil, fmt.Errorf("%q is not a name=value pair", p)
		}
		f[name] = value
	}
	return f, nil
}

func (f fieldMap) integer(name string, required bool) (int64, error) {
	v, ok := f[name]
	if !ok && !required {
		return 0, nil
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s=%q is not an integer", name, v)
	}
	return n, nil
}

func (f fieldMap) seconds(name string, required bool) (float64, error) {
	n, err := f.integer(name, required)
	return float64(n) / 1e6, err
}

// fieldReader converts fields and keeps the first error.
type fieldReader struct {
	fields fieldMap
	err    error
}

func (fr *fieldReader) setErr(err error) {
	if fr.err == nil && err != nil {
		fr.err = err
	}
}

func (fr *fieldReader) text(name string) string {
	v := fr.fields[name]
	if v == "" {
		fr.setErr(fmt.Errorf("missing field %s", name))
	}
	return v
}

func (fr *fieldReader) integer(name string, required bool) int {
	n, err := fr.fields.integer(name, required)
	fr.setErr(err)
	return int(n)
}

func (fr *fieldReader) seconds(name string, required bool) float64 {
	n, err := fr.fields.seconds(name, required)
	fr.setErr(err)
	return n
}

func (fr *fieldReader) server(name string) choice.ServerID {
	n, err := strconv.ParseUint(fr.fields[name], 10, 32)
	if err != nil {
		fr.setErr(fmt.Errorf("%s=%q is not a server number", name, fr.fields[name]))
	}
	return choice.ServerID(n)
}

func (fr *fieldReader) number(name string) float64 {
	x, err := strconv.ParseFloat(fr.fields[name], 64)
	if err != nil {
		fr.setErr(fmt.Errorf("%s=%q is not a number", name, fr.fields[name]))
	}
	return x
}
