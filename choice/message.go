package choice

import (
	"encoding/binary"
	"math"
)

// frontSums is what a front sends of itself: sums over its sessions, and over the loads of links reported to it.
type frontSums [6]float64

// Indices of frontSums. Other means the groups that are not premium.
const (
	otherTopRates = iota
	premiumTopRates
	otherRungRates
	premiumRungRates
	loadSum
	loadCount
)

// sumUnits are the units of the sums in a message: kB a second, loads, links.
var sumUnits = frontSums{10, 10, 10, 10, 0.01, 0.01}

// messageVersion is a message's first byte. Fronts ignore messages of versions that they don't know.
const messageVersion = 1

// encodeMessage writes a message: the version and six big-endian 16-bit numbers.
func encodeMessage(sums frontSums) []byte {
	out := []byte{messageVersion}
	scale := 1.0 // where a sum doesn't fit, all are divided by the same number, so that their ratios stay
	for i, unit := range sumUnits {
		scale = max(scale, sums[i]/unit/math.MaxUint16)
	}
	for i, unit := range sumUnits {
		out = binary.BigEndian.AppendUint16(out, uint16(max(sums[i], 0)/unit/scale))
	}
	return out
}

// decodeMessage reads a message; ok is false where it is malformed.
func decodeMessage(in []byte) (sums frontSums, ok bool) {
	if len(in) != 13 || in[0] != messageVersion {
		return sums, false
	}
	for i, unit := range sumUnits {
		sums[i] = float64(binary.BigEndian.Uint16(in[1+2*i:])) * unit
	}
	return sums, true
}
