package feed

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"time"
)

const (
	// The coordinator writes at least its last number each second; two missed, and a little, mean that it has fallen
	// silent. What it would tell counts as told after 4 s of silence, of which asking again takes a moment.
	silence = 2200 * time.Millisecond
	// Breaks are followed by asking again, at once after a connection that told something, then after pauses that
	// double up to this: what it would tell counts as told 2 s after a break.
	firstPause, mostPause = 20 * time.Millisecond, 320 * time.Millisecond
	// A connection that takes longer is given up and tried again.
	connect = time.Second
	// mostLine is far past an event that carries a whole list of a thousand servers; against a line without end.
	mostLine = 1 << 20
)

// Follow asks the coordinator at addr for what follows number last, and hands each new event on once and in order,
// until ctx ends. Why connections ended goes to broke.
func Follow(ctx context.Context, addr string, last int64, take func(Event) bool, broke func(error)) {
	pause := firstPause
	for ctx.Err() == nil {
		told, err := follow(ctx, addr, &last, take)
		if ctx.Err() != nil {
			return
		}
		broke(err)
		if told {
			pause = firstPause
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, mostPause)
	}
}

// follow is one connection's life; told is whether a line came that makes sense.
func follow(ctx context.Context, addr string, last *int64, take func(Event) bool) (told bool, err error) {
	d := net.Dialer{Timeout: connect}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false, err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	if err := c.SetDeadline(time.Now().Add(silence)); err != nil {
		return false, err
	}
	if _, err := fmt.Fprintf(c, "follow %d\n", *last); err != nil {
		return false, err
	}
	in := bufio.NewReaderSize(c, 4096)
	var long []byte
	for {
		if err := c.SetReadDeadline(time.Now().Add(silence)); err != nil {
			return told, err
		}
		part, err := in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			if long = append(long, part...); len(long) > mostLine {
				return told, fmt.Errorf("a line of over %d bytes", mostLine)
			}
			continue
		}
		if err != nil { // half a line is dropped
			return told, err
		}
		b := part
		if len(long) > 0 {
			b = append(long, part...)
			long = nil
		}
		e, number, err := line(b)
		if err != nil {
			return told, err
		}
		told = true
		switch {
		case e.Index == 0 && number > *last:
			return told, fmt.Errorf("events up to %d were not told, the last was %d", number, *last)
		case e.Index == *last+1 || e.Index > 0 && e.Endpoints.Reset && e.Index > *last:
			*last = e.Index
			if !take(e) {
				return told, ctx.Err()
			}
		case e.Index > *last+1:
			return told, fmt.Errorf("event %d after %d", e.Index, *last)
		}
	}
}
