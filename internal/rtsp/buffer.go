package rtsp

import (
	"bytes"
	"errors"
	"io"
)

// errBufferLimit is returned when more bytes are requested than the buffer may ever hold.
var errBufferLimit = errors.New("rtsp: request exceeds the read buffer limit")

const (
	// minBufferSize fits a typical message or two packets. Thousands of connections with slow sessions stay at this size.
	minBufferSize = 4 << 10
	// maxBufferSize fits more than one whole frame: at full speed, one read returns a hundred packets.
	maxBufferSize = 160 << 10
)

// buffer holds received bytes that have not been consumed. Unlike bufio.Reader it grows while reads fill it and shrinks
// after a quiet period, so that a fast stream needs few reads and a slow one little memory.
type buffer struct {
	r            io.Reader
	b            []byte
	start, end   int
	lastReadFull bool // the last read filled all free space
	smallReads   int  // consecutive reads that used less than an eighth of the buffer
	maxSize      int  // limit, in bytes, for growth by read-ahead
}

func (u *buffer) buffered() int { return u.end - u.start }

// fill reads once, after making room for need bytes from u.start on.
func (u *buffer) fill(need int) error {
	size := len(u.b)
	switch {
	case need > size:
		for size = max(size, minBufferSize); size < need; size *= 2 {
		}
	case u.lastReadFull:
		size = min(2*size, max(u.maxSize, size))
	case u.smallReads > 64 && size > minBufferSize && u.buffered() < minBufferSize && need <= minBufferSize:
		size, u.smallReads = minBufferSize, 0
	}
	if size != len(u.b) {
		b := make([]byte, size)
		u.end = copy(b, u.b[u.start:u.end])
		u.b, u.start = b, 0
	} else if u.start > 0 && (u.buffered() <= minBufferSize || u.start+need > size) {
		u.end = copy(u.b, u.b[u.start:u.end])
		u.start = 0
	}
	free := len(u.b) - u.end
	for range 100 {
		n, err := u.r.Read(u.b[u.end:])
		u.end += n
		if u.lastReadFull = n == free; n < len(u.b)/8 {
			u.smallReads++
		} else {
			u.smallReads = 0
		}
		if n > 0 || err != nil {
			return err
		}
	}
	return io.ErrNoProgress
}

// peek returns the next n bytes without consuming them; they are valid until the next call. If it returns fewer than n
// bytes, it also returns an error.
func (u *buffer) peek(n int) ([]byte, error) {
	if n > maxBufferSize {
		return nil, errBufferLimit
	}
	for u.buffered() < n {
		if err := u.fill(n); err != nil && u.buffered() < n {
			return u.b[u.start:u.end], err
		}
	}
	return u.b[u.start : u.start+n], nil
}

// discard consumes n bytes returned by peek.
func (u *buffer) discard(n int) { u.start += n }

// readLine consumes a line including its line ending. It returns errLineTooLong if the line exceeds maxLen bytes.
func (u *buffer) readLine(maxLen int) ([]byte, error) {
	scanned := 0
	for {
		if i := bytes.IndexByte(u.b[u.start+scanned:u.end], '\n'); i >= 0 {
			n := scanned + i + 1
			if n > maxLen {
				return nil, errLineTooLong
			}
			line := u.b[u.start : u.start+n]
			u.start += n
			return line, nil
		}
		if scanned = u.buffered(); scanned > maxLen {
			return nil, errLineTooLong
		}
		if err := u.fill(scanned + 1); err != nil && u.buffered() == scanned {
			return u.b[u.start:u.end], err
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
	n := copy(p, u.b[u.start:u.end])
	u.start += n
	return n, nil
}
