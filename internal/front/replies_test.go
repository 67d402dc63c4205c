package front_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"rainhaven/internal/lab/box"
	"rainhaven/internal/rtsp"
)

// endTableMethods are the methods of the columns of docs/rtsp.md's table of sessions' ends, after the one for the request that is at
// the box.
var endTableMethods = []string{rtsp.Setup, rtsp.Play, rtsp.Pause, rtsp.GetParameter, rtsp.SetParameter, rtsp.TearDown}

// readEndTable returns the statuses of docs/rtsp.md's table by the name of the end. The first is that of the request at the box, 0
// if there is none.
func readEndTable(t *testing.T) map[string][]int {
	text, err := os.ReadFile("../../docs/rtsp.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, found := strings.Cut(string(text), "| the session's end |")
	if !found {
		t.Fatal("docs/rtsp.md has no table of sessions' ends")
	}
	table, _, _ = strings.Cut(table, "\n\n")
	rows := map[string][]int{}
	for _, line := range strings.Split(table, "\n")[2:] {
		cells := strings.Split(strings.Trim(line, "|"), "|")
		var statuses []int
		for _, cell := range cells[1:] {
			status, _ := strconv.Atoi(strings.TrimSpace(cell))
			statuses = append(statuses, status)
		}
		if len(statuses) != 1+len(endTableMethods) {
			t.Fatalf("row %q has %d statuses", cells[0], len(statuses))
		}
		rows[strings.TrimSpace(cells[0])] = statuses
	}
	return rows
}

// pipelined returns one request of each method of the table, for a session or, with an empty id, for the connection's only one.
func (b *harness) pipelined(cseq int, session string) (text []byte) {
	for i, method := range endTableMethods {
		url := "rtsp://" + b.addr + "/clips/vents"
		if method == rtsp.Setup {
			url += "/track1"
		}
		m := rtsp.NewRequest(method, url).WithHeader("CSeq", fmt.Sprint(cseq+i))
		if method == rtsp.Setup {
			m.WithHeader("Transport", "RTP/AVP/TCP;interleaved=6-7")
		}
		if session != "" {
			m.WithHeader("Session", session)
		}
		text = m.Append(text)
	}
	return text
}

// nextResponse returns the next response, past media frames and REDIRECTs.
func nextResponse(t *testing.T, c *rtsp.Conn) *rtsp.Message {
	t.Helper()
	for {
		m, _, err := c.Next()
		if err != nil {
			t.Fatal("a request is unanswered: ", err)
		}
		if m != nil && !m.IsRequest() {
			return m
		}
	}
}

// Requests behind a session's end are answered as docs/rtsp.md says, and so are later ones of the connection. Those behind a refused
// SETUP were never answered, nor was anything that followed on the connection.
func TestRequestsAtASessionsEnd(t *testing.T) {
	all := func(b *harness, do func(*box.Box)) {
		for _, x := range b.boxes {
			do(x)
		}
	}
	refused := map[string]struct {
		status  int
		group   string
		arrange func(*box.Box)
	}{
		"refused: its SETUP gets 503":             {503, "clips", func(x *box.Box) { x.RefuseSetups(true) }},
		"failed or timed out: its SETUP gets 504": {504, "exam", (*box.Box).HoldAnswers},
	}
	established := map[string]struct {
		closes bool // the front closes the connection
		end    func(b *harness)
	}{
		"ended by TEARDOWN": {false, func(b *harness) { all(b, (*box.Box).Resume) }},
		"ended by its box, or the box's connection broke": {true, func(b *harness) { all(b, (*box.Box).ResetConnections) }},
		"the box does not answer for 3 s":                 {true, func(*harness) {}},
		"the front stops":                                 {true, func(b *harness) { go b.Close() }},
		"moved to another process":                        {true, func(b *harness) { go b.HandOver() }},
	}
	for name, want := range readEndTable(t) {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 1, nil)
			c := b.dial()
			if r, before := refused[name]; before {
				all(b, r.arrange)
				setup := rtsp.NewRequest(rtsp.Setup, "rtsp://"+b.addr+"/"+r.group+"/vents").WithHeader("CSeq", "1").WithHeader("Transport", "RTP/AVP/TCP;unicast")
				text := strings.ReplaceAll(string(b.pipelined(2, "")), "/clips/", "/"+r.group+"/")
				c.Write(append(setup.Append(nil), text...))
				if m := nextResponse(t, c); m.Status != r.status {
					t.Fatalf("SETUP: %d, want %d", m.Status, r.status)
				}
				checkResponses(t, c, 2, want[1:])
				all(b, func(x *box.Box) { x.RefuseSetups(false); x.Resume() })
				time.Sleep(1200 * time.Millisecond) // the front takes a box for full for a second
				if m, err := c.RoundTrip(b.setup("20", ""), 5*time.Second, nil); err != nil || m.Status != 200 && m.Status != 503 {
					t.Fatalf("the next SETUP of the connection: %+v %v", m, err) // 503 where the only box is set aside
				}
				c.Close()
				b.checkRules()
				return
			}
			e, known := established[name]
			if !known {
				t.Fatal("no play for this end")
			}
			id := b.play(c)
			all(b, (*box.Box).HoldAnswers)
			atBox := rtsp.NewRequest(rtsp.Play, "rtsp://"+b.addr+"/clips/vents").WithHeader("CSeq", "3").WithHeader("Session", id).Append(nil)
			text := b.pipelined(4, id)
			if name == "ended by TEARDOWN" {
				tearDown := rtsp.NewRequest(rtsp.TearDown, "rtsp://"+b.addr+"/clips/vents").WithHeader("CSeq", "99").WithHeader("Session", id).Append(nil)
				text = append(tearDown, text...)
			}
			c.Write(append(atBox, text...))
			b.eventually("the box has the request", func() bool { return b.boxes[0].Counts().Plays == 2 })
			e.end(b)
			checkResponses(t, c, 3, want[:1])
			if name == "ended by TEARDOWN" {
				checkResponses(t, c, 99, []int{200})
			}
			checkResponses(t, c, 4, want[1:])
			if !e.closes {
				if m, err := c.RoundTrip(b.setup("20", ""), 5*time.Second, nil); err != nil || m.Status != 200 {
					t.Fatalf("the next SETUP of the connection: %+v %v", m, err)
				}
			}
			c.Close()
			all(b, (*box.Box).Resume)
		})
	}
}

// play sets up a session and plays it, and returns its id.
func (b *harness) play(c *rtsp.Conn) string {
	b.t.Helper()
	r, err := c.RoundTrip(b.setup("1", ""), 5*time.Second, nil)
	if err != nil || r.Status != 200 {
		b.t.Fatal(r, err)
	}
	id := r.Session()
	play := rtsp.NewRequest(rtsp.Play, "rtsp://"+b.addr+"/clips/vents").WithHeader("CSeq", "2").WithHeader("Session", id)
	if r, err = c.RoundTrip(play, 5*time.Second, nil); err != nil || r.Status != 200 {
		b.t.Fatal(r, err)
	}
	return id
}

// checkResponses reads the responses to requests with consecutive CSeqs and checks their statuses.
func checkResponses(t *testing.T, c *rtsp.Conn, cseq int, want []int) {
	t.Helper()
	for i, status := range want {
		if m := nextResponse(t, c); m.CSeq() != cseq+i || m.Status != status {
			t.Errorf("CSeq %d: %d, want CSeq %d: %d", m.CSeq(), m.Status, cseq+i, status)
		}
	}
}
