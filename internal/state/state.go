// Package state keeps what a front must know again in a file of its instance's folder (bbolt), and the folder's lock. What
// is believed of it is decided in choice/restore.
//
// The file holds one value: a line with the name of the form, its version and a checksum, then JSON. A file that is
// damaged, of another version, or not a store at all is set aside under another name, and the front starts without.
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

	"rainhaven/choice/restore"
)

const (
	form    = "rainhaven-state"
	version = 1
	file    = "state.db"
	aside   = "state.db.aside" // one only: the newest
	// A memory of 1,000 boxes takes 0.4 MB; past this bound nothing is kept, and that is said.
	most = 8 << 20
)

var bucket, key = []byte("front"), []byte("memory")

// ErrInUse is that of a folder that another process holds.
var ErrInUse = errors.New("another front of this name is running")

// Folder is an instance's folder, locked as long as the process lives.
type Folder struct {
	path string
	lock *os.File
}

// Open makes an instance's folder in a parent that must exist, and locks it. The lock dies with the process, however that
// ends.
func Open(parent, instance string) (*Folder, error) {
	if info, err := os.Stat(parent); err != nil {
		return nil, fmt.Errorf("the state folder: %w", err)
	} else if !info.IsDir() {
		return nil, fmt.Errorf("the state folder %s is not a folder", parent)
	}
	f := &Folder{path: filepath.Join(parent, instance)}
	if err := os.Mkdir(f.path, 0o700); err != nil && !errors.Is(err, fs.ErrExist) {
		return nil, fmt.Errorf("the state folder: %w", err)
	}
	l, err := os.OpenFile(filepath.Join(f.path, "lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("the state folder's lock: %w", err)
	}
	if err := syscall.Flock(int(l.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		who := make([]byte, 20)
		n, _ := l.Read(who)
		l.Close()
		return nil, fmt.Errorf("%s: %w as process %s", f.path, ErrInUse, strings.TrimSpace(string(who[:n])))
	}
	// The number is a help to people only; the lock itself is the kernel's.
	l.Truncate(0)
	l.WriteAt(fmt.Appendln(nil, os.Getpid()), 0)
	f.lock = l
	return f, nil
}

// PathOf is where a file of an instance's is, whose folder may be another process's.
func PathOf(parent, instance, name string) string { return filepath.Join(parent, instance, name) }

// Adopt takes over a folder with the lock that another process holds and sent along: both hold it until one closes it.
func Adopt(parent, instance string, lock *os.File) (*Folder, error) {
	if lock == nil {
		return nil, errors.New("no lock came with the sockets")
	}
	fd, err := syscall.Dup(int(lock.Fd()))
	if err != nil {
		return nil, err
	}
	syscall.CloseOnExec(fd)
	f := &Folder{path: filepath.Join(parent, instance), lock: os.NewFile(uintptr(fd), "lock")}
	f.lock.Truncate(0)
	f.lock.WriteAt(fmt.Appendln(nil, os.Getpid()), 0)
	return f, nil
}

// DupLock is the folder's lock as a file to be sent to another process.
func (f *Folder) DupLock() (*os.File, error) {
	fd, err := syscall.Dup(int(f.lock.Fd()))
	if err != nil {
		return nil, err
	}
	syscall.CloseOnExec(fd)
	return os.NewFile(uintptr(fd), "lock"), nil
}

// Path is where a file of the instance's is.
func (f *Folder) Path(name string) string { return filepath.Join(f.path, name) }

// Close gives the folder free.
func (f *Folder) Close() { f.lock.Close() }

// Store is the open file.
type Store struct{ db *bbolt.DB }

// Load opens the store and reads what was kept. found is false where there is nothing or nothing usable; say tells why in
// that case, if there is anything to tell. The error is that of a folder in which nothing can be kept.
func (f *Folder) Load() (s *Store, kept restore.Snapshot, found bool, say string, err error) {
	// A file cut short is mapped past its end, and reading there faults: that too is damage and no reason to end.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	name := f.Path(file)
	if info, err := os.Stat(name); err == nil && info.Size() == 0 {
		say = file + " was empty"
	}
	db, err := open(name)
	if err == nil {
		if kept, found, err = read(db); err == nil {
			return &Store{db}, kept, found, say, nil
		}
		db.Close()
	} else if errors.Is(err, fs.ErrPermission) || errors.Is(err, syscall.EROFS) || errors.Is(err, syscall.ENOSPC) {
		return nil, kept, false, "", err
	}
	say = fmt.Sprintf("%s can't be used (%v) and is set aside as %s", file, err, aside)
	if err := os.Rename(name, f.Path(aside)); err != nil {
		return nil, kept, false, say, err
	}
	if db, err = open(name); err != nil {
		return nil, restore.Snapshot{}, false, say, err
	}
	return &Store{db}, restore.Snapshot{}, false, say, nil
}

// open opens a file of bbolt's. Damaged pages may have it panic. The list of free pages is kept in the file: to gather it
// at the start, bbolt walks all pages on a goroutine of its own, whose panic nobody could catch.
func open(name string) (db *bbolt.DB, err error) {
	defer func() {
		if p := recover(); p != nil {
			db, err = nil, fmt.Errorf("damaged: %v", p)
		}
	}()
	return bbolt.Open(name, 0o600, &bbolt.Options{Timeout: time.Second})
}

func read(db *bbolt.DB) (kept restore.Snapshot, found bool, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("damaged: %v", p)
		}
	}()
	err = db.View(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucket)
		if b == nil {
			return nil
		}
		v := b.Get(key)
		if v == nil {
			return nil
		}
		found = true
		kept, err = Decode(v)
		return err
	})
	return kept, found && err == nil, err
}

// Encode writes what is kept as one value.
func Encode(s restore.Snapshot) ([]byte, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	if len(body) > most {
		return nil, fmt.Errorf("%d bytes, %d at most", len(body), most)
	}
	b := fmt.Appendf(nil, "%s %d\n", form, version)
	b = binary.BigEndian.AppendUint64(b, xxhash.Sum64(body))
	return append(b, body...), nil
}

// Decode reads one value.
func Decode(v []byte) (s restore.Snapshot, err error) {
	head, rest, ok := bytes.Cut(v, []byte("\n"))
	var name string
	var n int
	if _, err := fmt.Sscanf(string(head), "%s %d", &name, &n); !ok || err != nil || name != form {
		return s, errors.New("not a front's state")
	}
	if n != version {
		return s, fmt.Errorf("form %d; this program writes %d", n, version)
	}
	if len(rest) < 8 || len(rest) > most || binary.BigEndian.Uint64(rest) != xxhash.Sum64(rest[8:]) {
		return s, errors.New("the checksum is wrong")
	}
	if err := json.Unmarshal(rest[8:], &s); err != nil {
		return restore.Snapshot{}, err
	}
	return s, nil
}

// Save writes what is to be known again, whole or not at all.
func (s *Store) Save(m restore.Snapshot) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil { // damage that shows at a write only
			err = fmt.Errorf("damaged: %v", p)
		}
	}()
	v, err := Encode(m)
	if err != nil {
		return err
	}
	return s.db.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(bucket)
		if err != nil {
			return err
		}
		return b.Put(key, v)
	})
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }
