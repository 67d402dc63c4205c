// Package slowstart limits the requests that a process sends to a server that has just started, where many processes share
// the server, don't communicate and have unrelated clocks.
//
// The platform bounds what all processes together send within one fall time to N, what the server can take, plus a slack of
// about the square root of N. So all processes together aim at a mean below N, and each takes its part of that mean at
// random, independently of the others: it divides time into short slots of its own, and draws for each slot how many requests
// it may send. The total is then close to a Poisson variable, and the mean is chosen so that the platform's bound lies 6.5
// standard deviations above it. This needs no common clock, no communication and no state across restarts. Drawbacks: a slot
// that was drawn open but gets no request is wasted, like an unused turn where processes take turns; where all servers that
// hold a title are starting, most of its requests are refused until they are warm.
package slowstart

import "math"

const (
	// deviations is the distance from the mean to the bound in standard deviations: less than one window in a million exceeds
	// it, and a day has some thousands of windows.
	deviations = 6.5
	// maxMeanShare is the largest mean as a share of N: a quarter is reserved for requests that cost more work than average.
	maxMeanShare = 0.75
	// smallN is the N from which the platform grants the smaller slack.
	smallN = 30
)

// OverloadLimit is how many requests within the fall time overload a server that can take n, by the platform's rule.
func OverloadLimit(n float64) float64 {
	if n < smallN {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// TargetMean is the number of requests that all processes together aim at within one fall time.
func TargetMean(n float64) float64 {
	// The mean m solves m + deviations*sqrt(m) = OverloadLimit(n).
	root := math.Sqrt(deviations*deviations/4+OverloadLimit(n)) - deviations/2
	return min(maxMeanShare*n, root*root)
}

// SlotsPerWindow is the number of slots into which a process divides a fall time, so that on average at most one request
// of all processes falls into each.
func SlotsPerWindow(n float64) float64 { return max(math.Ceil(TargetMean(n)), 1) }

// Allowed draws how many requests a process may send in one of its slots. n is what the server can take now, slots the
// number of slots per fall time; a window overlaps one slot more. The same arguments always give the same result.
func Allowed(n, slots float64, processes int, seed uint64, server uint32, slot int64) int {
	share := TargetMean(n) / (slots + 1) / float64(max(processes, 1))
	// With so few processes that no window can exceed what the server takes, every slot is used and nothing is drawn.
	if full := math.Ceil(share); full*(slots+1)*float64(processes) <= n {
		return int(full)
	}
	whole := math.Floor(share)
	if uniform(seed, server, slot) < share-whole {
		whole++
	}
	return int(whole)
}

// uniform hashes its arguments to a number in [0, 1), with the finalizer of splitmix64.
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
	// Wall clocks are stepped by at most smallStepSeconds, or by an hour and at most smallStepSeconds.
	smallStepSeconds, hourStepSeconds = 5.0, 3600.0
	// maxColdSeconds is the age up to which a server may still be cold; it exceeds any usual warm-up.
	maxColdSeconds = 120.0
)

// StartedAt returns the time from which a server counts as started. difference is the server's age when its start is
// reported, as the difference of the wall clocks of two machines. If the report comes while this process runs, the start
// counts from the report: it can't have been later, and the server only counts as warm a little later than it is. A start
// that is known when this process starts has only the difference, which may be too large by a step of one of the clocks, so
// the lowest possible age is taken. Drawback: after its own start a process sends little to servers that started a few
// seconds before, and to those that started an hour before.
func StartedAt(now, difference float64, running bool) float64 {
	if running {
		return now
	}
	return now - minAge(difference)
}

// minAge returns the lowest age that is possible where one of the clocks may have been stepped.
func minAge(difference float64) float64 {
	if age := difference - hourStepSeconds - smallStepSeconds; age < maxColdSeconds && difference > hourStepSeconds-smallStepSeconds {
		return max(age, 0)
	}
	return max(difference-smallStepSeconds, 0)
}

// maxReportDelaySeconds is the longest time from a server's start until the list of servers reports it.
const maxReportDelaySeconds = 10.0

// Age returns how long ago a server started whose start is reported now; difference is that of the wall clocks of two
// machines.
func Age(difference float64) float64 { return min(max(difference, 0), maxReportDelaySeconds) }
