package node

import (
	"net"
	"testing"
	"time"
)

// startReader reads from a connection until it is stopped, as readClient does, and reports whether the loop asked for
// that.
func startReader(r *readControl) (stopped chan bool) {
	stopped = make(chan bool, 1)
	go func() {
		b := make([]byte, 64)
		for {
			if _, err := r.netConn.Read(b); err != nil {
				stopped <- r.wasStopped(err)
				return
			}
			r.messageStarted()
		}
	}()
	return stopped
}

func wantStopped(t *testing.T, stopped chan bool, within time.Duration) {
	t.Helper()
	select {
	case asked := <-stopped:
		if !asked {
			t.Error("the reader ended without a request to stop")
		}
	case <-time.After(within):
		t.Errorf("the reader still reads after %v", within)
	}
}

// A reader that is to resume is asked to stop again before it has done so, as when the exit begins then.
func TestStopBeforeAReaderHasResumed(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	r := newReadControl(a)
	r.requestStop(false)
	wantStopped(t, startReader(&r), time.Second)
	r.resumeReading()
	r.requestStop(true)
	if !r.awaitResume(t.Context()) {
		t.Fatal("the reader was told to end")
	}
	wantStopped(t, startReader(&r), stopReadersTimeout)
}

// A reader is stopped by force as a message begins: it waits briefly for the rest, within the time that the exit
// allows.
func TestForcedStopAsAMessageBegins(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	r := newReadControl(a)
	r.requestStop(true)
	r.messageStarted() // its first bytes were read just before
	wantStopped(t, startReader(&r), stopReadersTimeout)
}

// A message whose start was read before a forced stop, and whose rest arrives a moment later, is read whole.
func TestForcedStopWithinAMessage(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	r := newReadControl(a)
	r.messageStarted()
	r.requestStop(true)
	got := make(chan error, 1)
	go func() {
		_, err := a.Read(make([]byte, 8))
		got <- err
	}()
	time.Sleep(5 * time.Millisecond)
	b.SetWriteDeadline(time.Now().Add(time.Second))
	if _, err := b.Write([]byte("the rest")); err != nil {
		t.Error(err)
	}
	if err := <-got; err != nil {
		t.Error(err)
	}
}
