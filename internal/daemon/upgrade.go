package daemon

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"go.uber.org/zap"

	"rainhaven/choice"
	"rainhaven/choice/lease"
	"rainhaven/choice/lifecycle"
	"rainhaven/internal/front"
)

// An upgrade hands a front's listening sockets to a new process of the same instance, over a unix socket in the instance's
// folder that only the process's user may open. The protocol is line-based:
//
//	new: take 2     requests the sockets
//	old:            JSON list with the use of each descriptor sent along: the listeners and the folder's lock; or "refused: REASON"
//	new: ready      everything that can fail has succeeded; the old process stops accepting viewers and sending SETUPs
//	old:            JSON snapshot of the state that its choice module has learned, and of the seats that its sessions hold
//	new: commit     the new process holds all that it needs, and serves nobody yet
//	old: granted    the new process may serve; or "withdrawn", and the old process resumes service
//	new: serving    the old process drains
//	old:            JSON list of the seats that its sessions hold, at each change until it ends
//
// One process serves at any time (choice/lease). The old one serves until it receives ready. It resumes service if the new one
// exits, fails or is late before it was granted the lease, and after that only if the new one has ended. A running old process
// always answers commit with a word, so the new one serves without it only if the connection has ended: the old process has too.
// Viewers who connect between ready and serving wait in the sockets' accept queues.
const (
	// prepareTimeout limits the time between take and ready, in which the new process loads settings and certificates. That
	// takes well under a second.
	prepareTimeout = 10 * time.Second
	// switchTimeout limits the time between ready and serving, in which viewers wait in the accept queues. The new process has
	// only to read a snapshot; after the timeout the old process resumes service.
	switchTimeout = 2 * time.Second
	// seatsInterval is the interval at which the old process looks for changes of its sessions' seats.
	seatsInterval = 100 * time.Millisecond
	// grantTimeout limits the new process's wait for an answer to commit. An old process that takes longer is suspended; it finds
	// the connection closed.
	grantTimeout = 5 * time.Second
)

// The words of the protocol.
const (
	wordTake      = "take 2"
	wordReady     = "ready"
	wordCommit    = "commit"
	wordGranted   = "granted"
	wordWithdrawn = "withdrawn"
	wordServing   = "serving"
	refusedPrefix = "refused: "
)

// handoverState is what the old process sends of its state.
type handoverState struct {
	Learned choice.Snapshot
	Seats   []front.Seats
}

// errUpgradeRefused is why a new process gives up that may not replace the running one.
var errUpgradeRefused = errors.New("the upgrade was refused")

// The uses of the descriptors that are sent, as named in the protocol.
const (
	useViewers = "viewers"
	useTLS     = "viewers over TLS"
	useAdmin   = "health and metrics"
	useLock    = "lock"
)

// handoverFile is a descriptor that is sent to the next process.
type handoverFile struct {
	use  string
	file *os.File
}

// serveUpgrades handles processes that request a takeover. All but one are refused at once.
func (d *daemon) serveUpgrades(l *net.UnixListener) {
	for {
		c, err := l.AcceptUnix()
		if err != nil {
			return
		}
		d.wg.Go(func() {
			defer c.Close()
			defer context.AfterFunc(d.ctx, func() { c.Close() })()
			if err := d.handOver(c); err != nil && d.ctx.Err() == nil {
				d.Log.Warn("an upgrade came to nothing; this process goes on", zap.Error(err))
			}
		})
	}
}

// withLease runs f with the lease, which several goroutines use.
func (d *daemon) withLease(f func(l *lease.Lease)) {
	d.leaseMu.Lock()
	defer d.leaseMu.Unlock()
	f(&d.lease)
}

// expectLine reads a line and returns an error unless it is the one wanted.
func expectLine(r *bufio.Reader, want string) error {
	line, err := r.ReadString('\n')
	if err != nil {
		return err
	}
	if line != want+"\n" {
		return fmt.Errorf("received %.40q, want %s", line, want)
	}
	return nil
}

// handOver runs the old process's side of an upgrade.
func (d *daemon) handOver(c *net.UnixConn) error {
	c.SetDeadline(time.Now().Add(prepareTimeout))
	r := bufio.NewReader(c)
	if err := expectLine(r, wordTake); err != nil {
		return err
	}
	var refusal error
	d.withLease(func(l *lease.Lease) { refusal = l.Ask() })
	if refusal != nil {
		fmt.Fprintf(c, "%s%v\n", refusedPrefix, refusal)
		return refusal
	}
	err := d.sendFiles(c)
	if err == nil {
		err = expectLine(r, wordReady)
	}
	if err != nil {
		d.withLease((*lease.Lease).Recover)
		return err
	}
	c.SetDeadline(time.Now().Add(switchTimeout))
	snapshot, ok := d.front.Freeze()
	if !ok {
		return errors.New("the front is closed")
	}
	d.closeStore()
	if err := d.passLease(c, r, snapshot); err != nil {
		if d.ctx.Err() == nil {
			d.resumeService(snapshot)
			d.withLease((*lease.Lease).Recover)
		}
		return err
	}
	d.Log.Info("another process has taken over")
	d.post(d.machine.TakenOver)
	d.reportSeats(c)
	return nil
}

// reportSeats sends the seats that this process's sessions hold, at each change until it exits or the new process ends.
func (d *daemon) reportSeats(c *net.UnixConn) {
	ticker := time.NewTicker(seatsInterval)
	defer ticker.Stop()
	var reported []front.Seats
	for first := true; ; first = false {
		seats, ok := d.front.SeatsTaken()
		if !ok {
			return
		}
		if first || !slices.Equal(seats, reported) {
			c.SetWriteDeadline(time.Now().Add(time.Second))
			if err := json.NewEncoder(c).Encode(seats); err != nil {
				return
			}
			reported = seats
		}
		select {
		case <-ticker.C:
		case <-d.ctx.Done():
			return
		}
	}
}

// sendFiles sends the descriptors of the sockets and of the folder's lock.
func (d *daemon) sendFiles(c *net.UnixConn) error {
	var uses []string
	var fds []int
	for _, x := range d.handoverFiles {
		// File.Fd could put the socket into blocking mode, here and in the other process, as the two share the open file.
		raw, err := x.file.SyscallConn()
		if err != nil {
			return err
		}
		raw.Control(func(fd uintptr) { uses, fds = append(uses, x.use), append(fds, int(fd)) })
	}
	list, err := json.Marshal(uses)
	if err != nil {
		return err
	}
	_, _, err = c.WriteMsgUnix(append(list, '\n'), syscall.UnixRights(fds...), nil)
	return err
}

// closeStore closes the state file, which the next process opens.
func (d *daemon) closeStore() {
	d.storeMu.Lock()
	defer d.storeMu.Unlock()
	if d.store != nil {
		d.store.Close()
		d.store = nil
	}
}

// passLease grants the lease to the new process. It returns nil once that serves, and an error if it certainly does not.
func (d *daemon) passLease(c *net.UnixConn, r *bufio.Reader, snapshot choice.Snapshot) error {
	seats, _ := d.front.SeatsTaken()
	err := json.NewEncoder(c).Encode(handoverState{snapshot, seats})
	if err == nil {
		err = expectLine(r, wordCommit)
	}
	c.SetDeadline(time.Time{}) // an expired deadline must not keep the answer back
	if err != nil {
		fmt.Fprintln(c, wordWithdrawn)
		return err
	}
	d.withLease((*lease.Lease).Grant)
	if _, err := fmt.Fprintln(c, wordGranted); err != nil {
		return err
	}
	// The new process serves as soon as it has read the word, however late that is: only its end gives the lease back.
	if err := expectLine(r, wordServing); err != nil {
		return err
	}
	d.withLease((*lease.Lease).Pass)
	return nil
}

// resumeService reopens the state file and serves the sockets again after a failed upgrade.
func (d *daemon) resumeService(snapshot choice.Snapshot) {
	d.storeMu.Lock()
	s, _, _, _, err := d.folder.Load()
	if err == nil {
		d.store = s
	} else {
		d.recordSave(err)
	}
	d.storeMu.Unlock()
	d.front.Resume()
	for _, x := range d.handoverFiles {
		if x.use != useViewers && x.use != useTLS {
			continue
		}
		l, err := net.FileListener(x.file)
		if err != nil {
			d.post(func() { d.machine.Failed(lifecycle.ExitFailed, "taking sockets back: "+err.Error()) })
			return
		}
		d.serve(x.use, l)
	}
}

// serve accepts viewers on a listener in the background.
func (d *daemon) serve(use string, l net.Listener) {
	switch use {
	case useViewers:
		d.wg.Go(func() { d.listenerStopped(d.front.Serve(l)) })
	case useTLS:
		d.wg.Go(func() { d.listenerStopped(d.front.ServeTLS(l, d.viewerCert.ServerConfig())) })
	}
}

// takeover is the new process's side of an upgrade.
type takeover struct {
	conn   *net.UnixConn
	reader *bufio.Reader
	files  map[string]*os.File // by use
	served bool                // sendServing was called; the connection then stays open
}

// requestTakeover connects to the running process and receives its sockets and lock.
func requestTakeover(path string) (*takeover, error) {
	raw, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("no running front to take over from: %w", err)
	}
	t := &takeover{conn: raw, files: map[string]*os.File{}}
	raw.SetDeadline(time.Now().Add(prepareTimeout))
	if _, err := fmt.Fprintln(raw, wordTake); err != nil {
		return nil, err
	}
	b, oob := make([]byte, 4096), make([]byte, syscall.CmsgSpace(16*4))
	n, on, _, _, err := raw.ReadMsgUnix(b, oob)
	if err != nil {
		raw.Close()
		return nil, fmt.Errorf("taking over: %w", err)
	}
	if reason, refused := strings.CutPrefix(string(b[:n]), refusedPrefix); refused {
		raw.Close()
		return nil, fmt.Errorf("%w: %s", errUpgradeRefused, strings.TrimSpace(reason))
	}
	var uses []string
	if err := json.Unmarshal(b[:n], &uses); err != nil {
		raw.Close()
		return nil, fmt.Errorf("taking over: %w; a program from before the lease can't be replaced in service", err)
	}
	messages, err := syscall.ParseSocketControlMessage(oob[:on])
	if err != nil || len(messages) == 0 {
		raw.Close()
		return nil, fmt.Errorf("taking over: no sockets were received: %v", err)
	}
	fds, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != len(uses) {
		raw.Close()
		return nil, fmt.Errorf("taking over: %d sockets for %d uses: %v", len(fds), len(uses), err)
	}
	for i, fd := range fds {
		syscall.CloseOnExec(fd)
		t.files[uses[i]] = os.NewFile(uintptr(fd), uses[i])
	}
	t.reader = bufio.NewReader(raw)
	return t, nil
}

// listener returns the listener received for a use, or nil if there is none.
func (t *takeover) listener(use string) (net.Listener, error) {
	f := t.files[use]
	if f == nil {
		return nil, nil
	}
	return net.FileListener(f)
}

// close closes the connection and the received files. Before sendServing it aborts the upgrade, and the running process
// resumes service.
func (t *takeover) close() {
	for _, f := range t.files {
		f.Close()
	}
	if !t.served {
		t.conn.Close()
	}
}

// sendReady has the running process stop accepting viewers, and returns its learned state.
func (t *takeover) sendReady() (state handoverState, err error) {
	t.conn.SetDeadline(time.Now().Add(switchTimeout))
	if _, err := fmt.Fprintln(t.conn, wordReady); err != nil {
		return state, err
	}
	line, err := t.reader.ReadBytes('\n')
	if err != nil {
		return state, err
	}
	return state, json.Unmarshal(line, &state)
}

// commit asks for the lease. With nil this process may serve: it was granted the lease, or the old process has ended.
func (t *takeover) commit() error {
	t.conn.SetDeadline(time.Now().Add(grantTimeout))
	if _, err := fmt.Fprintln(t.conn, wordCommit); err != nil && !isConnEnd(err) {
		return err
	}
	line, err := t.reader.ReadString('\n')
	switch {
	case line == wordGranted+"\n":
		return nil
	case err == nil:
		return fmt.Errorf("%w: the running process answered %q", errUpgradeRefused, strings.TrimSpace(line))
	case isConnEnd(err):
		return nil
	}
	return fmt.Errorf("%w: whether the running process goes on is unknown: %v", errUpgradeRefused, err)
}

// isConnEnd reports whether an error shows that the other process has closed the connection or ended.
func isConnEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// sendServing completes the upgrade: the old process drains. Without the old process there is nobody to tell.
func (t *takeover) sendServing() {
	t.served = true
	t.conn.SetDeadline(time.Time{})
	fmt.Fprintln(t.conn, wordServing)
}

// followSeats passes the seats that the old process's sessions hold to the front, until the old process or the context ends.
func (t *takeover) followSeats(ctx context.Context, f *front.Front) {
	defer t.conn.Close()
	defer context.AfterFunc(ctx, func() { t.conn.Close() })()
	for {
		var seats []front.Seats
		line, err := t.reader.ReadBytes('\n')
		if err == nil {
			err = json.Unmarshal(line, &seats)
		}
		if err != nil {
			f.SetForeignSeats(nil)
			return
		}
		f.SetForeignSeats(seats)
	}
}
