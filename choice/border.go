package choice

import "math"

// This file converts what events bring to what the settings in force know. Callers may refer to earlier settings: a server keeps
// playing at a rung of a ladder that a reload has replaced, and an answer may be about a service group that is gone.

// ladderRung is a rung of the ladder in force. Only knownRung makes one of a number from outside.
type ladderRung int

// knownRung returns a rung, or the nearest one of the ladder in force.
func (g *group) knownRung(rung int) ladderRung {
	return ladderRung(max(min(rung, len(g.rates)-1), 0))
}

// knownGroup returns the service group with an index; nil if there is none.
func (f *Front) knownGroup(index int) *group {
	if index < 0 || index >= len(f.groups) {
		return nil
	}
	return &f.groups[index]
}

// knownKind returns the kind of a listed server, the last known one for a later kind.
func (f *Front) knownKind(kind int) int { return max(min(kind, len(f.maxStreams)-1), 0) }

// knownUplink returns the uplink of the rack that a cell is in.
func (f *Front) knownUplink(cell int) *link { return f.uplinks[max(cell, 0)%f.racks] }

// isLoad reports whether a number can be a load or a share.
func isLoad(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }
