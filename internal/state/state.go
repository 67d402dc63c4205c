// Package state persists a front's state across restarts in a bbolt file in the instance's folder, and holds the folder's
// lock. Package choice/restore decides which parts of a loaded snapshot are used.
//
// The file holds one value: a line with the format name and version, a checksum, then JSON. A file that is damaged, has
// another format version or is not a bbolt file is renamed to state.db.aside, and the front starts without saved state.
package state

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"

	"rainhaven/choice/restore"
)

const (
	formatName       = "rainhaven-state"
	formatVersion    = 1
	fileName         = "state.db"
	unusableFileName = "state.db.aside" // overwritten, so that only the newest remains
	// A snapshot of 1,000 boxes takes 0.4 MB. A larger one than this is not saved, and Save returns an error.
	maxBodyBytes = 8 << 20
)

var bucketName, snapshotKey = []byte("front"), []byte("memory")

// ErrInUse means that another process holds the lock of the folder.
var ErrInUse = errors.New("another front of this name is running")

// Folder is an instance's state folder, locked while it is open.
type Folder struct {
	path string
	lock *os.File
}

// Open creates the instance's folder in parent, which must exist, and locks it. The kernel releases the lock when the
// process ends, however it ends.
func Open(parent, instance string) (*Folder, error) {
	if info, err := os.Stat(parent); err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	} else if !info.IsDir() {
		return nil, fmt.Errorf("state folder %s is not a folder", parent)
	}
	f := &Folder{path: filepath.Join(parent, instance)}
	if err := os.Mkdir(f.path, 0o700); err != nil && !errors.Is(err, fs.ErrExist) {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	l, err := os.OpenFile(filepath.Join(f.path, "lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("lock of the state folder: %w", err)
	}
	if err := syscall.Flock(int(l.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		pid := make([]byte, 20)
		n, _ := l.Read(pid)
		l.Close()
		return nil, fmt.Errorf("%s: %w as process %s", f.path, ErrInUse, strings.TrimSpace(string(pid[:n])))
	}
	// The process id only informs operators; the lock itself is the kernel's flock.
	l.Truncate(0)
	l.WriteAt(fmt.Appendln(nil, os.Getpid()), 0)
	f.lock = l
	return f, nil
}

// PathOf returns the path of a file in an instance's folder, which may be locked by another process.
func PathOf(parent, instance, name string) string { return filepath.Join(parent, instance, name) }

// Adopt takes over a folder with the lock file received from the process that holds it. Both processes share the lock
// until each has closed its descriptor.
func Adopt(parent, instance string, lock *os.File) (*Folder, error) {
	if lock == nil {
		return nil, errors.New("no lock file was received with the sockets")
	}
	fd, err := syscall.Dup(int(lock.Fd()))
	if err != nil {
		return nil, err
	}
	syscall.CloseOnExec(fd)
	return &Folder{path: filepath.Join(parent, instance), lock: os.NewFile(uintptr(fd), "lock")}, nil
}

// RecordOwner writes the id of this process into the lock file, for the message to another process that finds it locked.
func (f *Folder) RecordOwner() {
	f.lock.Truncate(0)
	f.lock.WriteAt(fmt.Appendln(nil, os.Getpid()), 0)
}

// DupLock returns a duplicate of the lock's descriptor, to be sent to another process.
func (f *Folder) DupLock() (*os.File, error) {
	fd, err := syscall.Dup(int(f.lock.Fd()))
	if err != nil {
		return nil, err
	}
	syscall.CloseOnExec(fd)
	return os.NewFile(uintptr(fd), "lock"), nil
}

// Path returns the path of a file in the folder.
func (f *Folder) Path(name string) string { return filepath.Join(f.path, name) }

// Close closes the lock file. The lock stays held while a duplicate of it is open, here or in another process.
func (f *Folder) Close() { f.lock.Close() }

// Store is the open state file.
type Store struct{ db *bbolt.DB }

// Load opens the state file and reads the saved snapshot. found is false if there is none or it is unusable; warning then
// gives the reason, unless the file was simply missing. An error means that nothing can be saved in this folder.
func (f *Folder) Load() (s *Store, snapshot restore.Snapshot, found bool, warning string, err error) {
	// bbolt maps a truncated file past its end, and reading there faults. The fault is turned into a panic, which is
	// recovered and handled as damage, so that it doesn't end the process.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	name := f.Path(fileName)
	if info, err := os.Stat(name); err == nil && info.Size() == 0 {
		warning = fileName + " was empty"
	}
	db, err := openDB(name)
	if err == nil {
		if snapshot, found, err = readSnapshot(db); err == nil {
			return &Store{db}, snapshot, found, warning, nil
		}
		db.Close()
	} else if errors.Is(err, berrors.ErrTimeout) { // another process has it open: it is not damaged
		return nil, snapshot, false, "", err
	} else if errors.Is(err, fs.ErrPermission) || errors.Is(err, syscall.EROFS) || errors.Is(err, syscall.ENOSPC) {
		return nil, snapshot, false, "", err
	}
	warning = fmt.Sprintf("%s can't be used (%v) and is set aside as %s", fileName, err, unusableFileName)
	if err := os.Rename(name, f.Path(unusableFileName)); err != nil {
		return nil, snapshot, false, warning, err
	}
	if db, err = openDB(name); err != nil {
		return nil, restore.Snapshot{}, false, warning, err
	}
	return &Store{db}, restore.Snapshot{}, false, warning, nil
}

// openDB opens a bbolt file and turns a panic on damaged pages into an error. The freelist is stored in the file (bbolt's
// default): otherwise bbolt rebuilds it at open by walking all pages on a goroutine of its own, whose panic can't be
// recovered here.
func openDB(name string) (db *bbolt.DB, err error) {
	defer func() {
		if p := recover(); p != nil {
			db, err = nil, fmt.Errorf("damaged: %v", p)
		}
	}()
	return bbolt.Open(name, 0o600, &bbolt.Options{Timeout: time.Second})
}

func readSnapshot(db *bbolt.DB) (snapshot restore.Snapshot, found bool, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("damaged: %v", p)
		}
	}()
	err = db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketName)
		if b == nil {
			return nil
		}
		v := b.Get(snapshotKey)
		if v == nil {
			return nil
		}
		found = true
		snapshot, err = Decode(v)
		return err
	})
	return snapshot, found && err == nil, err
}

// Encode returns a snapshot in the stored format.
func Encode(s restore.Snapshot) ([]byte, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	if len(body) > maxBodyBytes {
		return nil, fmt.Errorf("%d bytes, %d at most", len(body), maxBodyBytes)
	}
	b := fmt.Appendf(nil, "%s %d\n", formatName, formatVersion)
	b = binary.BigEndian.AppendUint64(b, xxhash.Sum64(body))
	return append(b, body...), nil
}

// Decode parses a snapshot in the stored format and verifies its checksum.
func Decode(v []byte) (s restore.Snapshot, err error) {
	head, rest, ok := bytes.Cut(v, []byte("\n"))
	var name string
	var n int
	if _, err := fmt.Sscanf(string(head), "%s %d", &name, &n); !ok || err != nil || name != formatName {
		return s, errors.New("not the state of a front")
	}
	if n != formatVersion {
		return s, fmt.Errorf("format version %d; this program supports %d", n, formatVersion)
	}
	if len(rest) < 8 || len(rest) > maxBodyBytes || binary.BigEndian.Uint64(rest) != xxhash.Sum64(rest[8:]) {
		return s, errors.New("checksum mismatch")
	}
	if err := json.Unmarshal(rest[8:], &s); err != nil {
		return restore.Snapshot{}, err
	}
	return s, nil
}

// Save writes a snapshot in one transaction.
func (s *Store) Save(m restore.Snapshot) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil { // damaged pages that only a write reads
			err = fmt.Errorf("damaged: %v", p)
		}
	}()
	v, err := Encode(m)
	if err != nil {
		return err
	}
	return s.db.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(bucketName)
		if err != nil {
			return err
		}
		return b.Put(snapshotKey, v)
	})
}

// Close closes the state file.
func (s *Store) Close() error { return s.db.Close() }
