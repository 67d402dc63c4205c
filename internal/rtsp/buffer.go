package rtsp

import (
	"bytes"
	"errors"
	"io"
)

// errFull is more asked for than the buffer may ever hold.
var errFull = errors.New("rtsp: more than the buffer may hold")

const (
	// leastBuffer holds a usual message or two packets; thousands of connections of slow sessions keep to it.
	leastBuffer = 4 << 10
	// mostBuffer holds a whole frame and then some: at full speed a read takes a hundred packets at once.
	mostBuffer = 160 << 10
)

// buffer is what was received and not yet taken. Other than bufio's it grows while reads fill it and is small again
// after quiet times, so that a fast stream costs few reads and a slow one little memory.
type buffer struct {
	r        io.Reader
	b        []byte
	from, to int
	full     bool // the last read filled all that was free
	small    int  // reads in a row that took little of a large buffer
	most     int  // bytes held ahead
}

func (u *buffer) buffered() int { return u.to - u.from }

// fill reads once, with room for need bytes from u.from on.
func (u *buffer) fill(need int) error {
	size := len(u.b)
	switch {
	case need > size:
		for size = max(size, leastBuffer); size < need; size *= 2 {
		}
	case u.full:
		size = min(2*size, max(u.most, size))
	case u.small > 64 && size > leastBuffer && u.buffered() < leastBuffer && need <= leastBuffer:
		size, u.small = leastBuffer, 0
	}
	if size != len(u.b) {
		b := make([]byte, size)
		u.to = copy(b, u.b[u.from:u.to])
		u.b, u.from = b, 0
	} else if u.from > 0 && (u.buffered() <= leastBuffer || u.from+need > size) {
		u.to = copy(u.b, u.b[u.from:u.to])
		u.from = 0
	}
	free := len(u.b) - u.to
	for range 100 {
		n, err := u.r.Read(u.b[u.to:])
		u.to += n
		if u.full = n == free; n < len(u.b)/8 {
			u.small++
		} else {
			u.small = 0
		}
		if n > 0 || err != nil {
			return err
		}
	}
	return io.ErrNoProgress
}

// peek gives the next n bytes without taking them; they are valid until the next call. Fewer come with an error.
func (u *buffer) peek(n int) ([]byte, error) {
	if n > mostBuffer {
		return nil, errFull
	}
	for u.buffered() < n {
		if err := u.fill(n); err != nil && u.buffered() < n {
			return u.b[u.from:u.to], err
		}
	}
	return u.b[u.from : u.from+n], nil
}

// discard takes n bytes that were peeked at.
func (u *buffer) discard(n int) { u.from += n }

// line takes a line with its end, of at most so many bytes; errLine where it is longer.
func (u *buffer) line(most int) ([]byte, error) {
	seen := 0
	for {
		if i := bytes.IndexByte(u.b[u.from+seen:u.to], '\n'); i >= 0 {
			n := seen + i + 1
			if n > most {
				return nil, errLine
			}
			line := u.b[u.from : u.from+n]
			u.from += n
			return line, nil
		}
		if seen = u.buffered(); seen > most {
			return nil, errLine
		}
		if err := u.fill(seen + 1); err != nil && u.buffered() == seen {
			return u.b[u.from:u.to], err
		}
	}
}

// Read implements io.Reader.
func (u *buffer) Read(p []byte) (int, error) {
	if u.buffered() == 0 {
		if err := u.fill(1); err != nil && u.buffered() == 0 {
			return 0, err
		}
	}
	n := copy(p, u.b[u.from:u.to])
	u.from += n
	return n, nil
}
