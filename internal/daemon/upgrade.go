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

// An upgrade in service moves a front's listening sockets to another process of the same instance, over a unix socket in the
// instance's folder that only its user may open. The words, a line each:
//
//	new: take                       old: a JSON list of what the files sent along are: listeners by use, the folder's lock
//	new: ready                      it has checked all that can fail; the old one stops taking viewers and ordering SETUPs
//	                                old: what its module has learned, in JSON
//	new: serving                    the old one drains
//
// Until ready the old one serves as if nothing were; where the new one ends or errs before serving, it goes on. Viewers who
// connect between ready and serving wait in the sockets' queues.
const (
	// takeTime is how long the new process may take to check itself: settings, certificates and the rest take well under a
	// second.
	takeTime = 10 * time.Second
	// switchTime is how long viewers may wait in the queues of sockets that nobody serves. The new process has only to read a
	// memory; past this the old one takes them back.
	switchTime = 2 * time.Second
)

const (
	forViewers = "viewers"
	forTLS     = "viewers over TLS"
	forAdmin   = "health and metrics"
	forLock    = "lock"
)

// given is a file that goes to the next process, and its use.
type given struct {
	use  string
	file *os.File
}

// upgrades answers processes that want to take over, one at a time.
func (d *daemon) upgrades(l *net.UnixListener) {
	for {
		c, err := l.AcceptUnix()
		if err != nil {
			return
		}
		if err := d.give(c); err != nil {
			d.Log.Warn("an upgrade came to nothing; this process goes on", zap.Error(err))
		}
		c.Close()
	}
}

func expect(r *bufio.Reader, word string) error {
	line, err := r.ReadString('\n')
	if err != nil {
		return err
	}
	if line != word+"\n" {
		return fmt.Errorf("%.40q in place of %s", line, word)
	}
	return nil
}

// give hands the sockets to another process.
func (d *daemon) give(c *net.UnixConn) error {
	c.SetDeadline(time.Now().Add(takeTime))
	r := bufio.NewReader(c)
	if err := expect(r, "take"); err != nil {
		return err
	}
	var names []string
	var fds []int
	for _, x := range d.sockets {
		// Not by Fd, which may have the socket block, here and in the other process alike.
		raw, err := x.file.SyscallConn()
		if err != nil {
			return err
		}
		raw.Control(func(fd uintptr) { names, fds = append(names, x.use), append(fds, int(fd)) })
	}
	list, err := json.Marshal(names)
	if err != nil {
		return err
	}
	if _, _, err := c.WriteMsgUnix(append(list, '\n'), syscall.UnixRights(fds...), nil); err != nil {
		return err
	}
	if err := expect(r, "ready"); err != nil {
		return err
	}
	c.SetDeadline(time.Now().Add(switchTime))
	m, ok := d.front.Freeze()
	if !ok {
		return errors.New("the front has ended")
	}
	d.storeMu.Lock()
	defer d.storeMu.Unlock()
	if d.store != nil {
		d.store.Close()
		d.store = nil
	}
	err = json.NewEncoder(c).Encode(m)
	if err == nil {
		err = expect(r, "serving")
	}
	if err != nil {
		d.back(m)
		return err
	}
	d.Log.Info("another process has taken over")
	d.post(d.life.TakenOver)
	return nil
}

// back serves the sockets again.
func (d *daemon) back(m choice.Snapshot) {
	if s, _, _, _, err := d.folder.Load(); err == nil {
		d.store = s
	} else {
		d.kept(err)
	}
	d.front.Resume()
	for _, x := range d.sockets {
		if x.use != forViewers && x.use != forTLS {
			continue
		}
		l, err := net.FileListener(x.file)
		if err != nil {
			d.post(func() { d.life.Failed(lifecycle.ExitFailed, "taking sockets back: "+err.Error()) })
			return
		}
		d.serve(x.use, l)
	}
}

// serve serves one of the listeners that can be given away.
func (d *daemon) serve(use string, l net.Listener) {
	switch use {
	case forViewers:
		d.work.Go(func() { d.served(d.front.Serve(l)) })
	case forTLS:
		d.work.Go(func() { d.served(d.front.ServeTLS(l, d.files.ServerConfig())) })
	}
}

// taking is the new process's side.
type taking struct {
	c     *net.UnixConn
	r     *bufio.Reader
	files map[string]*os.File // by use; closed as they are used
}

// take asks the process that runs for its sockets.
func take(path string) (*taking, error) {
	raw, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("no front to take over from: %w", err)
	}
	t := &taking{c: raw, files: map[string]*os.File{}}
	raw.SetDeadline(time.Now().Add(takeTime))
	if _, err := raw.Write([]byte("take\n")); err != nil {
		return nil, err
	}
	b, oob := make([]byte, 4096), make([]byte, syscall.CmsgSpace(16*4))
	n, on, _, _, err := raw.ReadMsgUnix(b, oob)
	if err != nil {
		raw.Close()
		return nil, fmt.Errorf("taking over: %w", err)
	}
	var names []string
	if err := json.Unmarshal(b[:n], &names); err != nil {
		raw.Close()
		return nil, fmt.Errorf("taking over: %w", err)
	}
	messages, err := syscall.ParseSocketControlMessage(oob[:on])
	if err != nil || len(messages) == 0 {
		raw.Close()
		return nil, fmt.Errorf("taking over: no sockets came: %v", err)
	}
	fds, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != len(names) {
		raw.Close()
		return nil, fmt.Errorf("taking over: %d sockets for %d uses: %v", len(fds), len(names), err)
	}
	for i, fd := range fds {
		syscall.CloseOnExec(fd)
		t.files[names[i]] = os.NewFile(uintptr(fd), names[i])
	}
	t.r = bufio.NewReader(raw)
	return t, nil
}

// listener makes one of the sockets a listener; nil where there is none for that use.
func (t *taking) listener(use string) (net.Listener, error) {
	f := t.files[use]
	if f == nil {
		return nil, nil
	}
	return net.FileListener(f)
}

// drop gives up: the process that runs goes on.
func (t *taking) drop() {
	for _, f := range t.files {
		f.Close()
	}
	t.c.Close()
}

// ready has the process that runs stop, and gives what its module learned.
func (t *taking) ready() (m choice.Snapshot, err error) {
	t.c.SetDeadline(time.Now().Add(switchTime))
	if _, err := t.c.Write([]byte("ready\n")); err != nil {
		return m, err
	}
	line, err := t.r.ReadBytes('\n')
	if err != nil {
		return m, err
	}
	return m, json.Unmarshal(line, &m)
}

// serving ends the upgrade.
func (t *taking) serving() error {
	_, err := t.c.Write([]byte("serving\n"))
	t.c.Close()
	return err
}
