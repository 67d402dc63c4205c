// The form of messages between fronts. Nothing is decided here.

package choice

import (
	"encoding/binary"
	"math"
)

// frontSums is what a front tells of itself: top rates and rung rates of its sessions, others' and premium's, and
// the sum and number of its words of links.
type frontSums [6]float64

// sumUnits are those of the sums in a message: kB a second, loads, links.
var sumUnits = frontSums{10, 10, 10, 10, 0.01, 0.01}

const messageVersion = 1 // the first byte; fronts pass over forms that they don't know

// encodeMessage writes a message.
func encodeMessage(m frontSums) []byte {
	out := []byte{messageVersion}
	k := 1.0 // sums past what fits are told smaller, all alike
	for i, unit := range sumUnits {
		k = max(k, m[i]/unit/math.MaxUint16)
	}
	for i, unit := range sumUnits {
		out = binary.BigEndian.AppendUint16(out, uint16(max(m[i], 0)/unit/k))
	}
	return out
}

// decodeMessage reads a message; ok is false where it is malformed.
func decodeMessage(in []byte) (m frontSums, ok bool) {
	if len(in) != 13 || in[0] != messageVersion {
		return m, false
	}
	for i, unit := range sumUnits {
		m[i] = float64(binary.BigEndian.Uint16(in[1+2*i:])) * unit
	}
	return m, true
}
