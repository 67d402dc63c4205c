package front

import (
	"maps"
	"slices"

	"rainhaven/choice"
)

// SessionInfo describes one session in the control interface's list.
type SessionInfo struct {
	ID      string  `json:"id"`
	Group   string  `json:"group"`
	Title   string  `json:"title"`
	Box     uint32  `json:"box"` // 0 while it has none
	Rung    int     `json:"rung"`
	Playing bool    `json:"playing"`
	Seconds float64 `json:"seconds"` // since the request
}

// ListSessions returns up to limit sessions, ordered by id.
func (f *Front) ListSessions(limit int) (list []SessionInfo) {
	f.call(func() {
		config := f.config()
		for _, id := range slices.Sorted(maps.Keys(f.sessions)) {
			if len(list) >= limit {
				return
			}
			sess := f.sessions[id]
			info := SessionInfo{ID: string(id), Group: config.Groups[sess.group].Name, Title: sess.place.Title, Playing: sess.playing, Seconds: f.now() - sess.requestedAt}
			if c := f.connOf[id]; c != nil {
				info.Box, info.Rung = uint32(c.Box), c.rung
			}
			list = append(list, info)
		}
	})
	return list
}

// Explain returns lines of text on why a session got its box and rung or was refused; none if no record of it is kept.
func (f *Front) Explain(session string) (lines []string) {
	f.call(func() { lines = f.table.Explain(choice.SessID(session)) })
	return lines
}
