package daemon

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"go.uber.org/zap"

	"rainhaven/choice"
	"rainhaven/choice/lifecycle"
)

// An upgrade hands a front's listening sockets to a new process of the same instance, over a unix socket in the instance's
// folder that only the process's user may open. The protocol is line-based:
//
//	new: take       requests the sockets
//	old:            JSON list with the use of each descriptor sent along: the listeners and the folder's lock
//	new: ready      everything that can fail has succeeded; the old process stops accepting viewers and sending SETUPs
//	old:            JSON snapshot of the state that its choice module has learned
//	new: serving    the old process drains
//
// The old process serves normally until it receives ready, and resumes service if the new one exits or fails before it sends
// serving. Viewers who connect between ready and serving wait in the sockets' accept queues.
const (
	// prepareTimeout limits the time between take and ready, in which the new process loads settings and certificates. That
	// takes well under a second.
	prepareTimeout = 10 * time.Second
	// switchTimeout limits the time between ready and serving, in which viewers wait in the accept queues. The new process has
	// only to read a snapshot; after the timeout the old process resumes service.
	switchTimeout = 2 * time.Second
)

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

// serveUpgrades handles processes that request a takeover, one at a time.
func (d *daemon) serveUpgrades(l *net.UnixListener) {
	for {
		c, err := l.AcceptUnix()
		if err != nil {
			return
		}
		if err := d.handOver(c); err != nil {
			d.Log.Warn("an upgrade came to nothing; this process goes on", zap.Error(err))
		}
		c.Close()
	}
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
	if err := expectLine(r, "take"); err != nil {
		return err
	}
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
	if _, _, err := c.WriteMsgUnix(append(list, '\n'), syscall.UnixRights(fds...), nil); err != nil {
		return err
	}
	if err := expectLine(r, "ready"); err != nil {
		return err
	}
	c.SetDeadline(time.Now().Add(switchTimeout))
	snapshot, ok := d.front.Freeze()
	if !ok {
		return errors.New("the front is closed")
	}
	d.storeMu.Lock()
	defer d.storeMu.Unlock()
	if d.store != nil {
		d.store.Close()
		d.store = nil
	}
	err = json.NewEncoder(c).Encode(snapshot)
	if err == nil {
		err = expectLine(r, "serving")
	}
	if err != nil {
		d.resumeService(snapshot)
		return err
	}
	d.Log.Info("another process has taken over")
	d.post(d.machine.TakenOver)
	return nil
}

// resumeService reopens the state file and serves the sockets again after a failed upgrade.
func (d *daemon) resumeService(snapshot choice.Snapshot) {
	if s, _, _, _, err := d.folder.Load(); err == nil {
		d.store = s
	} else {
		d.recordSave(err)
	}
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
}

// requestTakeover connects to the running process and receives its sockets and lock.
func requestTakeover(path string) (*takeover, error) {
	raw, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("no running front to take over from: %w", err)
	}
	t := &takeover{conn: raw, files: map[string]*os.File{}}
	raw.SetDeadline(time.Now().Add(prepareTimeout))
	if _, err := raw.Write([]byte("take\n")); err != nil {
		return nil, err
	}
	b, oob := make([]byte, 4096), make([]byte, syscall.CmsgSpace(16*4))
	n, on, _, _, err := raw.ReadMsgUnix(b, oob)
	if err != nil {
		raw.Close()
		return nil, fmt.Errorf("taking over: %w", err)
	}
	var uses []string
	if err := json.Unmarshal(b[:n], &uses); err != nil {
		raw.Close()
		return nil, fmt.Errorf("taking over: %w", err)
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
	t.conn.Close()
}

// sendReady has the running process stop accepting viewers, and returns its learned state.
func (t *takeover) sendReady() (snapshot choice.Snapshot, err error) {
	t.conn.SetDeadline(time.Now().Add(switchTimeout))
	if _, err := t.conn.Write([]byte("ready\n")); err != nil {
		return snapshot, err
	}
	line, err := t.reader.ReadBytes('\n')
	if err != nil {
		return snapshot, err
	}
	return snapshot, json.Unmarshal(line, &snapshot)
}

// sendServing completes the upgrade: the old process drains.
func (t *takeover) sendServing() error {
	_, err := t.conn.Write([]byte("serving\n"))
	t.conn.Close()
	return err
}
