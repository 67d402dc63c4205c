// The form of messages between fronts. Nothing is decided here.

package choice

import (
	"encoding/binary"
	"math"
)

// mix is what a front tells of itself: top rates and rung rates of its sessions, others' and premium's, and
// the sum and number of its words of links.
type mix [6]float64

// units are those of the sums in a message: kB a second, loads, links.
var units = mix{10, 10, 10, 10, 0.01, 0.01}

const mixForm = 1 // the first byte; fronts pass over forms that they don't know

// sealMix writes a message.
func sealMix(m mix) []byte {
	out := []byte{mixForm}
	k := 1.0 // sums past what fits are told smaller, all alike
	for i, unit := range units {
		k = max(k, m[i]/unit/math.MaxUint16)
	}
	for i, unit := range units {
		out = binary.BigEndian.AppendUint16(out, uint16(max(m[i], 0)/unit/k))
	}
	return out
}

// openMix reads a message; ok is false where it is malformed.
func openMix(in []byte) (m mix, ok bool) {
	if len(in) != 13 || in[0] != mixForm {
		return m, false
	}
	for i, unit := range units {
		m[i] = float64(binary.BigEndian.Uint16(in[1+2*i:])) * unit
	}
	return m, true
}
