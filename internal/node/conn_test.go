package node

import (
	"bufio"
	"bytes"
	"fmt"
	"go.uber.org/zap"
	"io"
	"net"
	"testing"
	"time"
)

// What is queued while a write is under way comes whole and in order. Two buffers were one after a wake-up for nothing.
func TestQueueKeepsOrder(t *testing.T) {
	a, b := net.Pipe()
	c := newConn(a, zap.NewNop())
	defer c.close()
	in := bufio.NewReader(b)
	for k := range 20000 {
		c.wakeWriter() // for nothing
		if _, to := c.send(fmt.Appendf(nil, "%07d\n", 2*k)); to != int64(16*k+8) {
			t.Fatalf("ends at %d", to)
		}
		c.send(fmt.Appendf(nil, "%07d\n", 2*k+1))
		for j := range 2 {
			if line, err := in.ReadString('\n'); err != nil || line != fmt.Sprintf("%07d\n", 2*k+j) {
				t.Fatalf("%q %v where %d is due", line, err, 2*k+j)
			}
		}
	}
}

// A peer that does not read is given up once so much waits for it.
func TestPeerThatDoesNotRead(t *testing.T) {
	a, b := net.Pipe()
	defer b.Close()
	c := newConn(a, zap.NewNop())
	k := 0
	for ; k < 1000; k++ {
		if from, _ := c.send(make([]byte, 1000)); from < 0 {
			break
		}
	}
	if k < 250 || k > 600 || !c.isClosing() {
		t.Errorf("given up after %d kB", k)
	}
	if left := c.close(); left != 0 {
		t.Errorf("%d bytes left", left)
	}
}

// tcpPair is both ends of a connection on loopback.
func tcpPair(t *testing.T) (a, b net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if a, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if b, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.Close(); b.Close() })
	b.SetDeadline(time.Now().Add(testTimeout))
	return a, b
}

// An answer leaves at once, whether or not the writer has had its turn: a session may be ended by its client meanwhile, and
// the request passes for unanswered.
func TestAnswerLeavesBeforeTheWritersTurn(t *testing.T) {
	a, b := tcpPair(t)
	c := &conn{nc: a, log: zap.NewNop(), wake: make(chan struct{}, 1), writerDone: make(chan struct{})} // its writer never has its turn
	for k := range 3 {
		said := fmt.Appendf(nil, "answer %d", k)
		if from, to := c.sendNow(said); from != int64(8*k) || to != int64(8*k+8) {
			t.Fatalf("from %d to %d", from, to)
		}
		got := make([]byte, len(said))
		if _, err := io.ReadFull(b, got); err != nil || !bytes.Equal(got, said) {
			t.Fatalf("%q %v where %q is due", got, err, said)
		}
	}
	if c.bytesWritten() != 24 {
		t.Errorf("%d bytes left", c.bytesWritten())
	}
}

// What is written at once and what is queued keep their order, also where the peer's window is full in between.
func TestAnswersAtOnceKeepOrder(t *testing.T) {
	a, b := tcpPair(t)
	c := newConn(a, zap.NewNop())
	want := 0
	for k, behind := 0, 0; behind < 64<<10; k++ { // until much more waits than one message
		line := fmt.Appendf(nil, "%08d %s\n", k, bytes.Repeat([]byte{'a' + byte(k%26)}, 990))
		from, to := c.send, c.sendNow
		if k%3 == 0 {
			from, to = to, from
		}
		for i, say := range []func([]byte) (int64, int64){from, to} {
			if from, to := say(line[500*i : 500*i+500]); from != int64(want) || to != int64(want+500) {
				t.Fatalf("%d: from %d to %d, not from %d", k, from, to, want)
			}
			want += 500
		}
		behind = want - int(c.bytesWritten())
	}
	in := bufio.NewReader(b)
	for k := range want / 1000 {
		line, err := in.ReadString('\n')
		if err != nil || len(line) != 1000 || line[:8] != fmt.Sprintf("%08d", k) || line[9] != line[998] || line[9] != 'a'+byte(k%26) {
			t.Fatalf("line %d: %.20q, %d bytes, %v", k, line, len(line), err)
		}
	}
	if left := c.close(); left != int64(want) {
		t.Errorf("%d of %d bytes left", left, want)
	}
}

// A write's time limit that has passed does not keep later answers waiting for the writer.
func TestAnswerAfterAnOldTimeLimit(t *testing.T) {
	a, b := tcpPair(t)
	c := &conn{nc: a, log: zap.NewNop(), wake: make(chan struct{}, 1), writerDone: make(chan struct{})} // its writer never has its turn
	a.SetWriteDeadline(time.Now().Add(-time.Second))
	c.sendNow([]byte("later"))
	got := make([]byte, 5)
	if _, err := io.ReadFull(b, got); err != nil || string(got) != "later" {
		t.Errorf("%q %v", got, err)
	}
}

// What is kept in case the connection ends has a bound, and the newest stays.
func TestKeptHasABound(t *testing.T) {
	a, b := tcpPair(t)
	go io.Copy(io.Discard, b)
	c := newConn(a, zap.NewNop())
	defer c.close()
	for k := range maxRetainedMessages + 100 {
		for end := time.Now().Add(testTimeout); c.bytesWritten() < int64(8*k-64<<10) && time.Now().Before(end); time.Sleep(time.Millisecond) {
		}
		if !c.sendRetained(1, fmt.Appendf(nil, "%08d", k)) {
			t.Fatalf("message %d was not taken", k)
		}
	}
	list := c.undelivered(1, 1<<40)
	if len(list) != maxRetainedMessages || string(list[maxRetainedMessages-1]) != fmt.Sprintf("%08d", maxRetainedMessages+99) {
		t.Errorf("%d are kept, the last is %q", len(list), list[len(list)-1])
	}
}
