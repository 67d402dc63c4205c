// Package backoff decides how long a client waits before it connects again, with jitter, so that many that lost their
// connections at one instant don't all come back at one. It does no I/O.
package backoff

const (
	// first and most bound the pause in seconds, which doubles from one to the other. What a coordinator would tell
	// counts as told 2 s after a break: within it some six calls go out.
	first, most = 0.02, 0.32
	// steady is how many seconds a connection has to last for the next pause to be the first again; against a peer that
	// takes connections, says a word and ends each: it would be asked fifty times a second by every front.
	steady = 1.0
)

// Backoff is one client's. Use New.
type Backoff struct {
	mwc   uint64
	pause float64
}

// New makes one whose chance follows from the seed.
func New(seed uint64) *Backoff { return &Backoff{mwc: seed%0xfffffffe + 1, pause: first} }

// Random is a multiply-with-carry generator's next number in [0, 1).
func (b *Backoff) Random() float64 {
	b.mwc = 4294957665*(b.mwc&0xffffffff) + b.mwc>>32
	return float64(uint32(b.mwc)) / (1 << 32)
}

// Next is how many seconds to wait after a connection that lasted so long, 0 where it never came up, and brought news
// or not. The pause is spread over half of it to one and a half.
func (b *Backoff) Next(lasted float64, news bool) float64 {
	if news || lasted >= steady {
		b.pause = first
	}
	p := b.pause
	b.pause = min(2*p, most)
	return p * (0.5 + b.Random())
}

// SilenceTimeout is how many seconds of nothing end a connection on which a line comes each second: two missed, and a little;
// spread, as a stall of the peer falls on all its clients at once. What it would tell counts as told after 4 s, of which
// asking again takes a moment.
func (b *Backoff) SilenceTimeout() float64 { return 2.2 + 0.4*b.Random() }
