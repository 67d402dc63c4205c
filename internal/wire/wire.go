// Package wire reads and writes the simulator's dialect and puts it into the module's words.
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

// Kind is what an event tells.
type Kind int

// The kinds of event. Ignored events concern a front but nothing that the module is told.
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

// Event is one thing that a front is told.
type Event struct {
	Front    string
	Kind     Kind
	Figures  choice.StartFigures
	FullList bool
	Servers  []choice.Listing
	Request  choice.Request
	Server   choice.ServerID
	Outcome  choice.Outcome
	Final    bool
	Report   choice.Report
	Elapsed  float64
	Value    float64
	Payload  []byte
}

// Dispatch tells a front of an event; Start and Stop are its host's affair.
func (e *Event) Dispatch(f *choice.Front) {
	switch e.Kind {
	case ServerList:
		f.Directory(e.FullList, e.Servers)
	case Request:
		f.Ask(e.Request)
	case Handover:
		f.Handed(e.Request, e.Server)
	case ClientLeft:
		f.Left(e.Request.ID)
	case Established:
		f.Playing(e.Request.ID)
	case SetupEnded:
		f.Ended(e.Request.ID, e.Server, e.Outcome, e.Final, e.Report)
	case ProbeEnded:
		f.Probed(e.Server, e.Outcome, e.Report)
	case TimerFired:
		f.Due()
	case DeliveredShare:
		f.Short(e.Server, e.Value)
	case RungInForce:
		f.InForce(e.Request.ID, int(e.Value))
	case Message:
		f.Told(e.Payload)
	case LinkLoad, UplinkLoad:
		f.Load(e.Request.ID, e.Server, e.Value, e.Kind == UplinkLoad)
	}
}

// Reader reads batches.
type Reader struct {
	in    *bufio.Reader
	line  int
	lists map[int64][]choice.Listing // by number, 16 at most; a new list replaces the old one
}

// NewReader reads from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<20), lists: map[int64][]choice.Listing{}}
}

func (r *Reader) nextLine() (word, rest string, err error) {
	line, err := r.in.ReadString('\n')
	if err == io.EOF && line != "" {
		return "", "", fmt.Errorf("line %d: input ends within a line", r.line+1)
	}
	if err != nil {
		return "", "", err
	}
	r.line++
	word, rest, _ = strings.Cut(strings.TrimRight(line, "\r\n"), " ")
	return word, rest, nil
}

// ReadBatch reads one batch: the clock and the events. It returns io.EOF at the end of input.
func (r *Reader) ReadBatch() (now float64, events []Event, err error) {
	word, rest, err := r.nextLine()
	if err != nil {
		return 0, nil, err
	}
	if word != "ROUND" {
		return 0, nil, fmt.Errorf("line %d: %q where ROUND is due", r.line, word)
	}
	f, err := parseFields(rest)
	if err == nil {
		now, err = f.seconds("now", true)
	}
	if err != nil {
		return 0, nil, fmt.Errorf("line %d: %w", r.line, err)
	}
	for {
		word, rest, err := r.nextLine()
		if err == io.EOF {
			return 0, nil, fmt.Errorf("line %d: input ends within a batch", r.line)
		}
		if err != nil {
			return 0, nil, err
		}
		if word == "OVER_TO_YOU" {
			return now, events, nil
		}
		if word == "CATALOG" {
			err = r.readCatalog(rest)
		} else {
			var e Event
			if e, err = r.parseEvent(word, rest); err == nil {
				events = append(events, e)
			}
		}
		if err != nil {
			return 0, nil, fmt.Errorf("line %d: %s: %w", r.line, word, err)
		}
	}
}

func (r *Reader) readCatalog(rest string) error {
	f, err := parseFields(rest)
	if err != nil {
		return err
	}
	id, err := f.whole("set_id", true)
	if err != nil {
		return err
	}
	n, err := f.whole("rows", true)
	if err != nil {
		return err
	}
	if n < 0 {
		return fmt.Errorf("rows=%d is below 0", n)
	}
	var list []choice.Listing
	for range n {
		word, rest, err := r.nextLine()
		if err != nil {
			return fmt.Errorf("the list ends early: %w", err)
		}
		if word != "ITEM" {
			return fmt.Errorf("%q where ITEM is due", word)
		}
		f, err := parseFields(rest)
		if err != nil {
			return err
		}
		g := fieldReader{f: f}
		e := choice.Listing{ID: g.server("server"), Zone: g.whole("dc", false), Kind: g.whole("class_of_host", false),
			Cell: g.whole("cell", false), State: choice.Lifecycle(g.whole("lifecycle", true)), Heft: 1,
			Born: g.seconds("born", false)}
		if _, told := f["heft"]; told {
			e.Heft = g.number("heft")
		}
		if e.State < choice.Gone || e.State > choice.Draining {
			g.fail(fmt.Errorf("lifecycle=%d is unknown", e.State))
		}
		if e.Kind < 0 || e.Cell < 0 {
			g.fail(fmt.Errorf("a kind or cell below 0"))
		}
		if g.err != nil {
			return g.err
		}
		list = append(list, e)
	}
	r.lists[id] = list
	return nil
}

func (r *Reader) parseEvent(word, rest string) (Event, error) {
	if word == "SPAWN" {
		return parseStart(rest)
	}
	f, err := parseFields(rest)
	if err != nil {
		return Event{}, err
	}
	g := &fieldReader{f: f}
	e := Event{Front: g.text("i")}
	switch word {
	case "POWER_OFF":
		e.Kind = Stop
	case "MESSAGE":
		e.Kind = Message
		if raw := g.f["raw"]; raw != "-" {
			words, err := base64.StdEncoding.DecodeString(raw)
			g.fail(err)
			e.Payload = words
		}
	case "TOPOLOGY":
		mode := g.whole("mode", true)
		if mode < 0 || mode > 3 {
			g.fail(fmt.Errorf("mode=%d is unknown", mode))
		}
		if mode == 2 || g.err != nil {
			break
		}
		id := g.whole("set_id", true)
		list, known := r.lists[int64(id)]
		if !known {
			g.fail(fmt.Errorf("list %d was never sent", id))
		}
		e.Kind, e.FullList, e.Servers = ServerList, mode != 3, list
	case "ASK", "PREEXISTING":
		e.Kind = Request
		e.Request = choice.Request{ID: choice.SessID(g.text("xid")), Group: g.whole("tier_class", false),
			Title: g.f["programme"], StartCell: g.whole("start_cell", false), Span: g.whole("span", false),
			BestRung: g.whole("best_rung", false), SetupTimeout: g.seconds("expires", word == "ASK"),
			Length: g.seconds("work", false)}
		if word == "PREEXISTING" {
			e.Kind, e.Server = Handover, g.server("server")
		}
	case "ABORTED":
		e.Kind, e.Request.ID = ClientLeft, choice.SessID(g.text("xid"))
	case "BEGUN":
		e.Kind, e.Request.ID = Established, choice.SessID(g.text("xid"))
		e.Server, e.Elapsed = g.server("server"), g.seconds("elapsed", false)
	case "RESOLVED", "CHECK_RESULT":
		e.Kind = ProbeEnded
		if word == "RESOLVED" {
			e.Kind, e.Request.ID, e.Final = SetupEnded, choice.SessID(g.text("xid")), g.f["final"] == "1"
		}
		e.Server, e.Elapsed = g.server("server"), g.seconds("elapsed", false)
		e.Outcome = choice.Outcome(g.whole("outcome", true))
		if e.Outcome < choice.Served || e.Outcome > choice.Unsent {
			g.fail(fmt.Errorf("outcome=%d is unknown", e.Outcome))
		}
		var err error
		if e.Report, err = ReadReport(f["telemetry"]); err != nil {
			g.fail(err)
		}
	case "PROGRESS":
		e.Request.ID, e.Server, e.Value = choice.SessID(g.text("xid")), g.server("server"), g.number("value")
		e.Kind = NoteKind(g.whole("sort", true))
	case "REMINDER":
		e.Kind = TimerFired
	default:
		return Event{}, fmt.Errorf("unknown message")
	}
	return e, g.err
}

// noteKinds are the kinds of note by number, from 1.
var noteKinds = [...]Kind{Ignored, DeliveredShare, RungInForce, LinkLoad, UplinkLoad}

// NoteKind is the kind of a note by its number; Ignored where there is none of that number.
func NoteKind(n int) Kind {
	if n < 1 || n >= len(noteKinds) {
		return Ignored
	}
	return noteKinds[n]
}

// ReadReport reads a load report: names and values, separated by commas.
func ReadReport(s string) (choice.Report, error) {
	r := choice.Report{Link: -1, Uplink: -1}
	if s == "" || s == "-" {
		return r, nil
	}
	for _, pair := range strings.Split(s, ",") {
		name, value, _ := strings.Cut(pair, ":")
		x, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return r, fmt.Errorf("telemetry: %q is not a name and a number", pair)
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

func (f fieldMap) whole(name string, must bool) (int64, error) {
	v, ok := f[name]
	if !ok && !must {
		return 0, nil
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s=%q is not a whole number", name, v)
	}
	return n, nil
}

func (f fieldMap) seconds(name string, must bool) (float64, error) {
	n, err := f.whole(name, must)
	return float64(n) / 1e6, err
}

// fieldReader takes values and keeps the first error.
type fieldReader struct {
	f   fieldMap
	err error
}

func (g *fieldReader) fail(err error) {
	if g.err == nil && err != nil {
		g.err = err
	}
}

func (g *fieldReader) text(name string) string {
	v := g.f[name]
	if v == "" {
		g.fail(fmt.Errorf("%s is missing", name))
	}
	return v
}

func (g *fieldReader) whole(name string, must bool) int {
	n, err := g.f.whole(name, must)
	g.fail(err)
	return int(n)
}

func (g *fieldReader) seconds(name string, must bool) float64 {
	n, err := g.f.seconds(name, must)
	g.fail(err)
	return n
}

func (g *fieldReader) server(name string) choice.ServerID {
	n, err := strconv.ParseUint(g.f[name], 10, 32)
	if err != nil {
		g.fail(fmt.Errorf("%s=%q is not a server", name, g.f[name]))
	}
	return choice.ServerID(n)
}

func (g *fieldReader) number(name string) float64 {
	x, err := strconv.ParseFloat(g.f[name], 64)
	if err != nil {
		g.fail(fmt.Errorf("%s=%q is not a number", name, g.f[name]))
	}
	return x
}
