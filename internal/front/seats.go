package front

import "rainhaven/choice"

// Seats is the number of seats of one title in a service group that a process's sessions hold. Groups have names, as the settings of
// two processes may number them differently.
type Seats struct {
	Title string
	Group string
	Held  int
}

// SeatsTaken returns the seats that this front's sessions hold; ok is false if the front has ended.
func (f *Front) SeatsTaken() (list []Seats, ok bool) {
	ok = f.call(func() {
		for _, count := range f.table.SeatsTaken() {
			list = append(list, Seats{count.Title, f.config().Groups[count.Group].Name, count.Held})
		}
	})
	return list, ok
}

// SetForeignSeats replaces the counts of seats that the sessions of the process hold which this front replaces.
func (f *Front) SetForeignSeats(list []Seats) {
	f.call(func() {
		var known []choice.SeatCount
		for _, seats := range list {
			if group := f.config().GroupIndex(seats.Group); group >= 0 {
				known = append(known, choice.SeatCount{Title: seats.Title, Group: group, Held: seats.Held})
			}
		}
		f.table.SetForeignSeats(known)
	})
}
