package node

import (
	"time"

	"rainhaven/choice/share"
)

// readPacing lets the reader of a connection run ahead of the loop by share.MaxUnhandledMessages at most, and then leaves the loop to
// others for as long as it took to handle them. A client that sends at full speed would else keep the loop and the process's only core
// busy, and the others' messages would wait to be read.
type readPacing struct {
	passedOn int // messages passed on to the loop since the last pause
}

// pace is called for each message that was passed on to the loop. It returns false if the loop has ended.
func (p *readPacing) pace(n *Node, control *readControl) bool {
	if p.passedOn++; p.passedOn < share.MaxUnhandledMessages {
		return true
	}
	p.passedOn = 0
	begin := time.Now()
	handled := make(chan struct{})
	if !n.post(event{do: func() { close(handled) }}) {
		return false
	}
	select {
	case <-handled:
	case <-n.ctx.Done():
		return false
	}
	if !control.stopIsRequested() {
		time.Sleep(min(time.Since(begin), time.Duration(share.MaxReadPause*float64(time.Second))))
	}
	return true
}
