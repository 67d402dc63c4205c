// Package slowstart decides how many requests a process may send a server that has just started, where many processes share
// the server, nothing is told between them and their clocks have nothing in common.
//
// The platform's rule bounds what all processes send within one fall time: N, what the server can take, and a slack of about
// the square root of N. So each process takes its share of a mean below N by chance, independent of the others': in each of
// its own short slots it may send so many with the chance that makes the mean. What all send is then near a Poisson number,
// and the mean is chosen so that the rule's bound lies 6.5 standard deviations above it. It needs no common clock, no talk and
// no memory across restarts. Harm: a slot by chance that no request falls into is lost, as a turn was; where the servers
// that hold a title are all starting, most of its requests are refused until they are warm.
package slowstart

import "math"

const (
	// deviations is how many standard deviations the bound lies above the mean: of a Poisson number less than one window in a
	// million is above, and a day has some thousands of them.
	deviations = 6.5
	// most is the largest mean, over N: a quarter is kept for requests of more than the mean work.
	most = 0.75
	// few is the N from which the rule's slack is the smaller one.
	few = 30
)

// OverloadLimit is how many requests bring a server down that can take n within the fall time, by the platform's rule.
func OverloadLimit(n float64) float64 {
	if n < few {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// TargetMean is how many requests all processes together aim at within one fall time.
func TargetMean(n float64) float64 {
	root := math.Sqrt(deviations*deviations/4+OverloadLimit(n)) - deviations/2
	return min(most*n, root*root)
}

// SlotsPerWindow is into how many slots a process cuts a fall time: in the mean at most one request of all processes falls into each.
func SlotsPerWindow(n float64) float64 { return max(math.Ceil(TargetMean(n)), 1) }

// Allowed is how many requests a process may send in one of its slots, by chance: n is what the server can take now, slots
// into how many a fall time is cut, of which a window touches one more. The same slot gives the same number.
func Allowed(n, slots float64, processes int, seed uint64, server uint32, slot int64) int {
	share := TargetMean(n) / (slots + 1) / float64(max(processes, 1))
	// So few processes that no window could hold more than the server can take need no chance: each slot is used.
	if full := math.Ceil(share); full*(slots+1)*float64(processes) <= n {
		return int(full)
	}
	whole := math.Floor(share)
	if uniform(seed, server, slot) < share-whole {
		whole++
	}
	return int(whole)
}

// uniform mixes its arguments into a number in [0, 1) (the finalizer of splitmix64).
func uniform(seed uint64, server uint32, slot int64) float64 {
	x := seed ^ uint64(server)*0x9e3779b97f4a7c15 ^ uint64(slot)*0xd1342543de82ef95
	for range 2 {
		x += 0x9e3779b97f4a7c15
		x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
		x = (x ^ x>>27) * 0x94d049bb133111eb
		x ^= x >> 31
	}
	return float64(x>>11) / (1 << 53)
}

const (
	// stepSeconds and stepHour are by how much wall clocks are stepped at most: by some seconds, or by an hour and some seconds.
	stepSeconds, stepHour = 5.0, 3600.0
	// stillCold is how many seconds after its start a server may still be cold: past any usual warm-up.
	stillCold = 120.0
)

// StartedAt is the instant from which a server counts as started whose start is told now as that long ago by a difference of two
// machines' wall clocks. Of a start told while the process runs that is when it was told: it can't have been later, and the
// server is warm a little later for it. Of one known at the own start there is only the difference, which may be too long by a
// step of one of the clocks: it counts for the least that it may be. Harm: after its start a process sends little to servers that started
// a few seconds before, and to those that started an hour before.
func StartedAt(now, difference float64, running bool) float64 {
	if running {
		return now
	}
	return now - leastAge(difference)
}

// leastAge is the least that an age may be by clocks that were stepped.
func leastAge(difference float64) float64 {
	if age := difference - stepHour - stepSeconds; age < stillCold && difference > stepHour-stepSeconds {
		return max(age, 0)
	}
	return max(difference-stepSeconds, 0)
}

// longestTelling is how many seconds after a server's start the list may tell of it.
const longestTelling = 10.0

// Age is how long ago a server started whose start is told now, by a difference of two machines' wall clocks.
func Age(difference float64) float64 { return min(max(difference, 0), longestTelling) }
