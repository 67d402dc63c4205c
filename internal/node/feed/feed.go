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
	// connectTimeout limits one connection attempt; a later one follows.
	connectTimeout = time.Second
	// maxLineBytes guards against a line without end. It is more than twice the size of an event that lists 3,200
	// servers at 500 bytes each.
	maxLineBytes = 4 << 20
)

// Follow asks the coordinator at addr for the events after number last and passes each new one to handle, once and in
// order, until ctx ends. The delays between connections derive from seed. onLine is called for each complete line
// before its content is handled, onDisconnect with the reason when a connection ends.
func Follow(ctx context.Context, addr string, last int64, seed uint64, onLine func(), handle func(Event) bool, onDisconnect func(error)) {
	retry := backoff.New(seed)
	for ctx.Err() == nil {
		previous, startedAt := last, time.Now()
		err := readEvents(ctx, addr, &last, seconds(retry.SilenceTimeout()), onLine, handle)
		if ctx.Err() != nil {
			return
		}
		onDisconnect(err)
		select {
		case <-ctx.Done():
		case <-time.After(seconds(retry.Next(time.Since(startedAt).Seconds(), last > previous))):
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// readEvents follows the coordinator over one connection, which ends after the given time of silence.
func readEvents(ctx context.Context, addr string, last *int64, silence time.Duration, onLine func(), handle func(Event) bool) error {
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
	var partial []byte
	for {
		if err := c.SetReadDeadline(time.Now().Add(silence)); err != nil {
			return err
		}
		chunk, err := in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			if partial = append(partial, chunk...); len(partial) > maxLineBytes {
				return fmt.Errorf("line exceeds %d bytes", maxLineBytes)
			}
			continue
		}
		if err != nil { // an incomplete line is discarded
			return err
		}
		b := chunk
		if len(partial) > 0 {
			b = append(partial, chunk...)
			partial = nil
		}
		e, latest, err := parseLine(b)
		if err != nil {
			return err
		}
		onLine()
		switch {
		case e.Index == 0 && latest > *last:
			return fmt.Errorf("coordinator is at event %d, but the last one received was %d", latest, *last)
		case e.Index == *last+1 || e.Index > 0 && e.Endpoints.Reset && e.Index > *last:
			*last = e.Index
			if !handle(e) {
				return ctx.Err()
			}
		case e.Index > *last+1:
			return fmt.Errorf("received event %d after %d", e.Index, *last)
		}
	}
}
