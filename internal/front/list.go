package front

import (
	"maps"
	"slices"

	"rainhaven/choice"
)

// SessionInfo is one session, for people.
type SessionInfo struct {
	ID      string  `json:"id"`
	Group   string  `json:"group"`
	Title   string  `json:"title"`
	Box     uint32  `json:"box"` // 0 before it has one
	Rung    int     `json:"rung"`
	Playing bool    `json:"playing"`
	Seconds float64 `json:"seconds"` // since it was asked for
}

// ListSessions gives sessions by their ids, so many at most.
func (f *Front) ListSessions(most int) (list []SessionInfo) {
	f.call(func() {
		t := f.terms()
		for _, id := range slices.Sorted(maps.Keys(f.sess)) {
			if len(list) >= most {
				return
			}
			x := f.sess[id]
			l := SessionInfo{ID: string(id), Group: t.Groups[x.group].Name, Title: x.place.Title, Playing: x.plays, Seconds: f.now() - x.asked}
			if c := f.atBox[id]; c != nil {
				l.Box, l.Rung = uint32(c.box), c.rung
			}
			list = append(list, l)
		}
	})
	return list
}

// Explain puts into words why a session got its box and rung, or was turned away; empty where nothing is kept of it.
func (f *Front) Explain(session string) (lines []string) {
	f.call(func() { lines = f.table.Explain(choice.SessID(session)) })
	return lines
}
