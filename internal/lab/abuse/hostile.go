package abuse

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rainhaven/internal/rtsp"
)

// Hostile is the behaviour of a hostile client on one connection, until it ends or stop is closed.
type Hostile func(c net.Conn, stop <-chan struct{})

// PlayHostile has so many clients behave so at once for a time. A client whose connection ends comes again.
func PlayHostile(address string, clients int, duration time.Duration, behave Hostile) (connections int64) {
	stop := make(chan struct{})
	var opened atomic.Int64
	var running sync.WaitGroup
	for range clients {
		running.Go(func() {
			for !isClosed(stop) {
				c, err := net.DialTimeout("tcp", address, time.Second)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				opened.Add(1)
				end := time.AfterFunc(duration, func() { c.Close() })
				behave(c, stop)
				end.Stop()
				c.Close()
			}
		})
	}
	time.AfterFunc(duration, func() { close(stop) })
	running.Wait()
	return opened.Load()
}

func isClosed(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}

// discard reads what comes on a connection, in the background.
func discard(c net.Conn) { go io.Copy(io.Discard, c) }

// WriteSlowly writes a text a byte at a time, one each interval.
func WriteSlowly(text string, interval time.Duration) Hostile {
	return func(c net.Conn, stop <-chan struct{}) {
		discard(c)
		for i := range len(text) {
			if _, err := c.Write([]byte{text[i]}); err != nil || isClosed(stop) {
				return
			}
			time.Sleep(interval)
		}
	}
}

// StopHalfWay writes a text once and then nothing, until the other side closes.
func StopHalfWay(text string) Hostile {
	return func(c net.Conn, _ <-chan struct{}) {
		if _, err := io.WriteString(c, text); err == nil {
			io.Copy(io.Discard, c)
		}
	}
}

// Flood writes what next returns, at full speed. If reads is set, the client reads the answers.
func Flood(reads bool, next func() []byte) Hostile {
	return func(c net.Conn, stop <-chan struct{}) {
		if reads {
			discard(c)
		}
		for !isClosed(stop) {
			if _, err := c.Write(next()); err != nil {
				return
			}
		}
	}
}

// Repeat returns a text over and over, in writes of about 16 kB.
func Repeat(text string) func() []byte {
	b := []byte(strings.Repeat(text, max(16<<10/len(text), 1)))
	return func() []byte { return b }
}

// EverNew returns messages with a new session id each, in writes of about 100 messages.
func EverNew(message func(id string) *rtsp.Message) func() []byte {
	return func() (b []byte) {
		for range 100 {
			b = message(newSessionID()).Append(b)
		}
		return b
	}
}

// ManyShortFields is the start of a request whose head has very many short fields.
func ManyShortFields(fields int) string {
	var b strings.Builder
	b.WriteString("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\n")
	for i := range fields {
		fmt.Fprintf(&b, "a%d:\r\n", i)
	}
	return b.String()
}

// LongFields is the start of a request whose head has so many fields of about 4,000 bytes each.
func LongFields(fields int) string {
	var b strings.Builder
	b.WriteString("SETUP rtsp://media/t1 RTSP/1.0\r\nCSeq: 1\r\n")
	for i := range fields {
		fmt.Fprintf(&b, "a%d: %s\r\n", i, strings.Repeat("x", 4000))
	}
	return b.String()
}

// HalfOfALargeRequest is a request with half of its body.
func HalfOfALargeRequest(bodyBytes int) string {
	return fmt.Sprintf("SETUP rtsp://media/t1 RTSP/1.0\r\nCSeq: 1\r\nSession: %s\r\nSubject: free\r\nX-Patience: 2000\r\nContent-Length: %d\r\n\r\n%s",
		newSessionID(), bodyBytes, strings.Repeat("x", bodyBytes/2))
}
