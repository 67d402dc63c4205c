package carrier

import (
	"slices"
	"testing"
)

func TestChoose(t *testing.T) {
	many := make([]Conn, MaxUnconfirmed+3)
	for i := range many {
		many[i] = Conn{Probing, float64(i)}
	}
	for _, c := range []struct {
		name string
		list []Conn
		want []int
	}{
		{"none", nil, nil},
		{"the only one, however weak", []Conn{{Silent, 1}}, []int{0}},
		{"a confirmed one alone, though heard earlier", []Conn{{Probing, 9}, {Serving, 1}, {Requesting, 5}}, []int{1}},
		{"of confirmed ones the one heard last", []Conn{{Serving, 3}, {Serving, 7}, {Serving, 5}}, []int{1}},
		{"all unconfirmed ones, best first", []Conn{{Silent, 9}, {Probing, 2}, {Requesting, 1}, {Probing, 3}}, []int{2, 3, 1, 0}},
		{"of many the ones heard last", many, []int{10, 9, 8, 7, 6, 5, 4, 3}},
	} {
		if got := Choose(c.list); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestRelate(t *testing.T) {
	for _, c := range []struct {
		sent, requested, served bool
		want                    Relation
	}{{false, false, false, Silent}, {true, false, false, Probing}, {true, true, false, Requesting}, {true, true, true, Serving}} {
		got := Relate(c.sent, c.requested, c.served)
		if got != c.want || got.Confirmed() != c.served {
			t.Errorf("%+v: %v, confirmed %v", c, got, got.Confirmed())
		}
	}
}
