package carrier

import "testing"

func TestPick(t *testing.T) {
	for _, c := range []struct {
		name string
		list []Conn
		want int
	}{
		{"none", nil, None},
		{"the only one, however weak", []Conn{{Silent, 1}}, 0},
		{"the strongest relation, though heard earlier", []Conn{{Probing, 9}, {Serving, 1}, {Requesting, 5}}, 1},
		{"of equals the one heard last", []Conn{{Serving, 3}, {Serving, 7}, {Serving, 5}}, 1},
		{"of those the last", []Conn{{Probing, 2}, {Probing, 2}}, 1},
	} {
		if got := Pick(c.list); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

func TestRelate(t *testing.T) {
	for _, c := range []struct {
		sent, requested, served bool
		want                    Relation
	}{{false, false, false, Silent}, {true, false, false, Probing}, {true, true, false, Requesting}, {true, true, true, Serving}} {
		if got := Relate(c.sent, c.requested, c.served); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

// A message is settled by a confirmed connection only, and is repeated on a better one or once its carrier has closed.
func TestSent(t *testing.T) {
	for _, c := range []struct {
		name            string
		sent            Sent
		best            Relation
		settled, repeat bool
	}{
		{"not sent", Sent{}, Silent, false, true},
		{"to a monitor, nothing better", Sent{true, true, Probing}, Probing, false, false},
		{"to a monitor, something better", Sent{true, true, Probing}, Requesting, false, true},
		{"to a monitor that has closed", Sent{true, false, Probing}, Silent, false, true},
		{"to a client with sessions", Sent{true, true, Serving}, Serving, true, false},
	} {
		if c.sent.Settled() != c.settled || c.sent.Repeat(c.best) != c.repeat {
			t.Errorf("%s: settled %v, repeat %v", c.name, c.sent.Settled(), c.sent.Repeat(c.best))
		}
	}
}
