package node

import (
	"net"
	"testing"
	"time"
)

// reads has a reader of a connection read until it is stopped, as readClient does, and tells when it has.
func reads(r *readControl) (stopped chan bool) {
	stopped = make(chan bool, 1)
	go func() {
		b := make([]byte, 64)
		for {
			if _, err := r.in.Read(b); err != nil {
				stopped <- r.wasStopped(err)
				return
			}
			r.messageBegan()
		}
	}()
	return stopped
}

func wantStopped(t *testing.T, stopped chan bool, within time.Duration) {
	t.Helper()
	select {
	case asked := <-stopped:
		if !asked {
			t.Error("it ended without being asked")
		}
	case <-time.After(within):
		t.Errorf("it still reads after %v", within)
	}
}

// A reader that was told to go on is stopped again before it has resumed, as where the exit comes then.
func TestStopBeforeAReaderHasResumed(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	r := newReadControl(a)
	r.stop(false)
	wantStopped(t, reads(&r), time.Second)
	r.goOn()
	r.stop(true)
	if !r.mayGoOn(t.Context()) {
		t.Fatal("it was told to end")
	}
	wantStopped(t, reads(&r), stopReadersTimeout)
}

// A reader is stopped by force as a message begins: it has a moment for the rest, within what the exit leaves it.
func TestForcedStopAsAMessageBegins(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	r := newReadControl(a)
	r.stop(true)
	r.messageBegan() // its first bytes were read just before
	wantStopped(t, reads(&r), stopReadersTimeout)
}

// A message of which a part was read before a forced stop, and whose rest comes a moment later, is read whole.
func TestForcedStopWithinAMessage(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	r := newReadControl(a)
	r.messageBegan()
	r.stop(true)
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
