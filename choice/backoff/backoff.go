// Package backoff computes how long a client waits before it reconnects, with jitter, so that clients which lost their
// connections at the same time don't all reconnect at the same time. It does no I/O.
package backoff

const (
	// The delay doubles from minDelaySeconds to maxDelaySeconds. The coordinator's updates count as received 2 s after a
	// connection is lost; within that time there are about six attempts.
	minDelaySeconds, maxDelaySeconds = 0.02, 0.32
	// stableAfterSeconds is how long a connection has to last to reset the delay. It guards against a peer that accepts
	// connections, sends something and closes each: every front would connect to it fifty times a second.
	stableAfterSeconds = 1.0
)

// Backoff holds the state of one client. Use New.
type Backoff struct {
	mwc   uint64 // state of the multiply-with-carry generator
	delay float64
}

// New returns a Backoff whose random numbers are determined by the seed.
func New(seed uint64) *Backoff { return &Backoff{mwc: seed%0xfffffffe + 1, delay: minDelaySeconds} }

// Random returns the next number in [0, 1) of a multiply-with-carry generator.
func (b *Backoff) Random() float64 {
	b.mwc = 4294957665*(b.mwc&0xffffffff) + b.mwc>>32
	return float64(uint32(b.mwc)) / (1 << 32)
}

// Next returns how many seconds to wait after a connection that lasted for the given seconds (0 if it was never
// established); gotUpdates tells whether it brought anything new. The delay is multiplied by a random factor from 0.5 to 1.5.
func (b *Backoff) Next(lasted float64, gotUpdates bool) float64 {
	if gotUpdates || lasted >= stableAfterSeconds {
		b.delay = minDelaySeconds
	}
	d := b.delay
	b.delay = min(2*d, maxDelaySeconds)
	return d * (0.5 + b.Random())
}

// SilenceTimeout returns after how many seconds of silence a connection is closed on which a line is due every second: two
// missed lines and a margin. It is randomized because a stall of the peer affects all its clients at once. The peer's updates
// count as received after 4 s, which leaves time to reconnect.
func (b *Backoff) SilenceTimeout() float64 { return 2.2 + 0.4*b.Random() }
