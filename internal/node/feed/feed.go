package feed

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"rainhaven/choice/backoff"
)

const (
	// A connection that takes longer is given up and tried again.
	connectTimeout = time.Second
	// maxLineBytes is past an event that carries a whole list of 3,200 servers at 500 bytes each, twice over; against a line
	// without end.
	maxLineBytes = 4 << 20
)

// Follow asks the coordinator at addr for what follows number last, and hands each new event on once and in order,
// until ctx ends; pauses between connections follow from the seed. Each whole line is told to heard before what it holds
// is handed on; why connections ended goes to broke.
func Follow(ctx context.Context, addr string, last int64, seed uint64, heard func(), take func(Event) bool, broke func(error)) {
	pace := backoff.New(seed)
	for ctx.Err() == nil {
		had, began := last, time.Now()
		err := readEvents(ctx, addr, &last, seconds(pace.SilenceTimeout()), heard, take)
		if ctx.Err() != nil {
			return
		}
		broke(err)
		select {
		case <-ctx.Done():
		case <-time.After(seconds(pace.Next(time.Since(began).Seconds(), last > had))):
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// readEvents is one connection's life; it ends after so much silence.
func readEvents(ctx context.Context, addr string, last *int64, silence time.Duration, heard func(), take func(Event) bool) error {
	d := net.Dialer{Timeout: connectTimeout}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	if err := c.SetDeadline(time.Now().Add(silence)); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(c, "follow %d\n", *last); err != nil {
		return err
	}
	in := bufio.NewReaderSize(c, 4096)
	var long []byte
	for {
		if err := c.SetReadDeadline(time.Now().Add(silence)); err != nil {
			return err
		}
		part, err := in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			if long = append(long, part...); len(long) > maxLineBytes {
				return fmt.Errorf("a line of over %d bytes", maxLineBytes)
			}
			continue
		}
		if err != nil { // half a line is dropped
			return err
		}
		b := part
		if len(long) > 0 {
			b = append(long, part...)
			long = nil
		}
		e, number, err := parseLine(b)
		if err != nil {
			return err
		}
		heard()
		switch {
		case e.Index == 0 && number > *last:
			return fmt.Errorf("events up to %d were not told, the last was %d", number, *last)
		case e.Index == *last+1 || e.Index > 0 && e.Endpoints.Reset && e.Index > *last:
			*last = e.Index
			if !take(e) {
				return ctx.Err()
			}
		case e.Index > *last+1:
			return fmt.Errorf("event %d after %d", e.Index, *last)
		}
	}
}
