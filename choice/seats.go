package choice

import (
	"cmp"
	"slices"
)

// SeatCount is the number of seats of one title in a service group that sessions and SETUPs in flight hold.
type SeatCount struct {
	Title string
	Group int
	Held  int
}

// SeatsTaken returns the seats that this front's sessions hold, by title and group.
func (f *Front) SeatsTaken() (list []SeatCount) {
	for key, held := range f.seatsTaken {
		list = append(list, SeatCount{key.title, key.group, held})
	}
	slices.SortFunc(list, func(a, b SeatCount) int { return cmp.Or(cmp.Compare(a.Title, b.Title), cmp.Compare(a.Group, b.Group)) })
	return list
}

// SetForeignSeats replaces the counts of seats that sessions of another process hold, which this front's process replaces: both
// together must not exceed a title's seats.
func (f *Front) SetForeignSeats(list []SeatCount) {
	f.foreignSeats = map[seatKey]int{}
	for _, count := range list {
		if f.knownGroup(count.Group) != nil {
			f.foreignSeats[seatKey{count.Title, count.Group}] += count.Held
		}
	}
}

// noSeatLeft reports whether all seats of a session's title are taken.
func (f *Front) noSeatLeft(s *session) bool {
	return s.group.Seats > 0 && f.seatsTaken[s.seat]+f.foreignSeats[s.seat] >= s.group.Seats
}
