package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
)

// Bytes queued during a write arrive whole and in order. A spurious wake-up once made the queue and the writer share
// one buffer.
func TestQueueKeepsOrder(t *testing.T) {
	a, b := net.Pipe()
	c := newConn(a, zap.NewNop())
	defer c.close()
	in := bufio.NewReader(b)
	for k := range 20000 {
		c.wakeWriter() // spurious
		if _, to := c.send(fmt.Appendf(nil, "%07d\n", 2*k)); to != int64(16*k+8) {
			t.Fatalf("the message ends at %d", to)
		}
		c.send(fmt.Appendf(nil, "%07d\n", 2*k+1))
		for j := range 2 {
			if line, err := in.ReadString('\n'); err != nil || line != fmt.Sprintf("%07d\n", 2*k+j) {
				t.Fatalf("received %q %v, want %d", line, err, 2*k+j)
			}
		}
	}
}

// The connection of a peer that does not read is closed once too much is queued for it.
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
		t.Errorf("closed after %d kB", k)
	}
	if left := c.close(); left != 0 {
		t.Errorf("%d bytes were written", left)
	}
}

// tcpPair returns both ends of a loopback connection.
func tcpPair(t *testing.T) (a, b net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if a, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if b, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.Close(); b.Close() })
	b.SetDeadline(time.Now().Add(testTimeout))
	return a, b
}

// An answer is written at once, even before the writer has run. Otherwise the client may end the session at its server
// meanwhile, and the request counts as unanswered.
func TestAnswerLeavesBeforeTheWritersTurn(t *testing.T) {
	a, b := tcpPair(t)
	c := &conn{nc: a, log: zap.NewNop(), wake: make(chan struct{}, 1), writerDone: make(chan struct{})} // no writer runs
	for k := range 3 {
		message := fmt.Appendf(nil, "answer %d", k)
		if from, to := c.sendNow(message); from != int64(8*k) || to != int64(8*k+8) {
			t.Fatalf("offsets %d to %d", from, to)
		}
		got := make([]byte, len(message))
		if _, err := io.ReadFull(b, got); err != nil || !bytes.Equal(got, message) {
			t.Fatalf("received %q %v, want %q", got, err, message)
		}
	}
	if c.bytesWritten() != 24 {
		t.Errorf("%d bytes were written", c.bytesWritten())
	}
}

// Messages written at once and queued messages keep their order, also while the peer's window is full.
func TestAnswersAtOnceKeepOrder(t *testing.T) {
	a, b := tcpPair(t)
	c := newConn(a, zap.NewNop())
	want := 0
	for k, behind := 0, 0; behind < 64<<10; k++ { // until much more than one message is queued
		line := fmt.Appendf(nil, "%08d %s\n", k, bytes.Repeat([]byte{'a' + byte(k%26)}, 990))
		first, second := c.send, c.sendNow
		if k%3 == 0 {
			first, second = second, first
		}
		for i, send := range []func([]byte) (int64, int64){first, second} {
			if from, to := send(line[500*i : 500*i+500]); from != int64(want) || to != int64(want+500) {
				t.Fatalf("message %d: offsets %d to %d, want start %d", k, from, to, want)
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
		t.Errorf("%d of %d bytes were written", left, want)
	}
}

// An expired deadline of an earlier write does not leave later answers to the writer.
func TestAnswerAfterExpiredDeadline(t *testing.T) {
	a, b := tcpPair(t)
	c := &conn{nc: a, log: zap.NewNop(), wake: make(chan struct{}, 1), writerDone: make(chan struct{})} // no writer runs
	a.SetWriteDeadline(time.Now().Add(-time.Second))
	c.sendNow([]byte("later"))
	got := make([]byte, 5)
	if _, err := io.ReadFull(b, got); err != nil || string(got) != "later" {
		t.Errorf("%q %v", got, err)
	}
}

// The number of retained messages is limited, and the newest are kept.
func TestRetainedMessagesAreLimited(t *testing.T) {
	a, b := tcpPair(t)
	go io.Copy(io.Discard, b)
	c := newConn(a, zap.NewNop())
	defer c.close()
	for k := range maxRetainedMessages + 100 {
		for end := time.Now().Add(testTimeout); c.bytesWritten() < int64(8*k-64<<10) && time.Now().Before(end); time.Sleep(time.Millisecond) {
		}
		if !c.sendRetained(1, sessionMessage{data: fmt.Appendf(nil, "%08d", k)}) {
			t.Fatalf("message %d was not queued", k)
		}
	}
	list := c.undelivered(1, 1<<40, true)
	if len(list) != maxRetainedMessages || string(list[maxRetainedMessages-1].data) != fmt.Sprintf("%08d", maxRetainedMessages+99) {
		t.Errorf("%d messages are retained, the last is %q", len(list), list[len(list)-1].data)
	}
}
