package lease

import (
	"errors"
	"testing"
)

// One process at a time may take the lease, again after one gave up, and none once it was passed on.
func TestLeaseIsPassedOnOnce(t *testing.T) {
	var l Lease
	if err := l.Ask(); err != nil {
		t.Fatal(err)
	}
	if err := l.Ask(); !errors.Is(err, ErrPending) {
		t.Errorf("asked twice: %v", err)
	}
	l.Grant()
	if err := l.Ask(); !errors.Is(err, ErrPending) {
		t.Errorf("asked after a grant: %v", err)
	}
	l.Recover()
	if err := l.Ask(); err != nil {
		t.Errorf("asked after the other one ended: %v", err)
	}
	l.Grant()
	l.Pass()
	if err := l.Ask(); !errors.Is(err, ErrReplaced) {
		t.Errorf("asked after it was passed on: %v", err)
	}
}
