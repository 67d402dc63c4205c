package state

import (
	"bytes"
	"errors"
	"os"
	"slices"
	"strings"
	"testing"

	"rainhaven/choice"
	"rainhaven/choice/restore"
)

func sample(n int) restore.Snapshot {
	s := restore.Snapshot{SavedAt: float64(n), Choice: choice.Snapshot{FirstSetups: []float64{1, 2}}}
	for i := range 300 {
		s.Choice.Servers = append(s.Choice.Servers, choice.ServerSnapshot{ID: choice.ServerID(i), StartedAt: float64(n), MeanGap: 3.25})
	}
	return s
}

func load(t *testing.T, f *Folder) (*Store, restore.Snapshot, bool, string) {
	t.Helper()
	s, snapshot, found, warning, err := f.Load()
	if err != nil {
		t.Fatal(err)
	}
	return s, snapshot, found, warning
}

func TestSaveAndLoad(t *testing.T) {
	dir := t.TempDir()
	if _, err := Open(dir+"/none", "a"); err == nil {
		t.Error("a missing parent folder was accepted")
	}
	f, err := Open(dir, "a")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir, "a"); !errors.Is(err, ErrInUse) {
		t.Errorf("second Open of the same instance: %v, want ErrInUse", err)
	}
	s, _, found, warning := load(t, f)
	if found || warning != "" {
		t.Errorf("empty folder: found %v, warning %q", found, warning)
	}
	for n := range 5 {
		if err := s.Save(sample(n)); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	s, snapshot, found, _ := load(t, f)
	s.Close()
	if !found || snapshot.SavedAt != 4 || len(snapshot.Choice.Servers) != 300 || snapshot.Choice.Servers[7].MeanGap != 3.25 {
		t.Errorf("found %v, saved at %v", found, snapshot.SavedAt)
	}
	f.Close()
	if g, err := Open(dir, "a"); err != nil {
		t.Errorf("Open after Close: %v", err)
	} else {
		g.Close()
	}
}

// Simulates a crash at every page write of a transaction, with pages written wholly, in part or not at all. Load must find
// the snapshot before or after the transaction. With writes reordered by the disk, or a truncated file, it may also find an
// older snapshot, or move the file aside with a warning. Saving must work after each of them.
func TestCrashAtEveryWrite(t *testing.T) {
	const page = 4096
	dir := t.TempDir()
	f, err := Open(dir, "a")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	s, _, _, _ := load(t, f)
	for n := range 4 {
		if err := s.Save(sample(n)); err != nil {
			t.Fatal(err)
		}
	}
	before, err := os.ReadFile(f.Path(fileName))
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Save(sample(4)); err != nil {
		t.Fatal(err)
	}
	s.Close()
	after, err := os.ReadFile(f.Path(fileName))
	if err != nil {
		t.Fatal(err)
	}
	before = append(before, make([]byte, max(len(after)-len(before), 0))...)
	var pages []int
	for at := 0; at < len(after); at += page {
		if !bytes.Equal(before[at:at+page], after[at:at+page]) {
			pages = append(pages, at)
		}
	}
	if len(pages) < 3 || len(pages) > 40 {
		t.Fatalf("%d pages written", len(pages))
	}
	old, new, damaged := 0, 0, 0
	try := func(b []byte, mayBeDamaged bool) {
		if err := os.WriteFile(f.Path(fileName), b, 0o600); err != nil {
			t.Fatal(err)
		}
		s, snapshot, found, warning := load(t, f)
		defer s.Close()
		switch {
		case found && snapshot.SavedAt == 3:
			old++
		case found && snapshot.SavedAt == 4:
			new++
		case found && mayBeDamaged: // an older snapshot, whose SavedAt tells its age
			damaged++
		case !found && warning != "":
			damaged++
		default:
			t.Fatalf("found %v, saved at %v, warning %q", found, snapshot.SavedAt, warning)
		}
		if err := s.Save(sample(9)); err != nil {
			t.Fatalf("Save after the crash: %v", err)
		}
	}
	// bbolt writes the meta page of the newest transaction, one of the first two, last. A disk that reorders writes may
	// have it first.
	if pages[0] >= 2*page || pages[1] < 2*page {
		t.Fatalf("pages %v changed; want exactly one of the two meta pages among them", pages)
	}
	for _, order := range [][]int{append(slices.Clone(pages[1:]), pages[0]), append([]int{pages[0]}, pages[1:]...)} {
		reordered := order[0] == pages[0]
		for i := range order { // writes up to the i-th page, the i-th in part; and the complement of these
			for _, part := range []int{0, 100, page / 2, page} {
				prefix, suffix := bytes.Clone(before), bytes.Clone(before)
				for j, at := range order {
					n := page
					if j == i {
						n = part
					}
					if j <= i {
						copy(prefix[at:at+n], after[at:at+n])
					}
					if j >= i && (reordered || j < len(order)-1) {
						copy(suffix[at:at+n], after[at:at+n])
					}
				}
				try(prefix, reordered)
				try(suffix, reordered)
				try(prefix[:order[i]+part], true)
			}
		}
	}
	t.Logf("%d files: %d hold the snapshot before, %d the one after, %d an older one or were moved aside", old+new+damaged, old, new, damaged)
	if old == 0 || new == 0 {
		t.Error("the simulated files never hold both the old and the new snapshot")
	}
}

func TestUnusableFilesAreMovedAside(t *testing.T) {
	good, err := Encode(sample(1))
	if err != nil {
		t.Fatal(err)
	}
	bad := bytes.Clone(good)
	bad[len(bad)-9] ^= 1
	for name, c := range map[string]struct {
		v    []byte
		want string
	}{
		"newer":          {bytes.Replace(good, []byte("state 1\n"), []byte("state 2\n"), 1), "format version 2"},
		"bad checksum":   {bad, "checksum"},
		"truncated":      {good[:len(good)/2], "checksum"},
		"something else": {[]byte("hello"), "not the state of a front"},
	} {
		if _, err := Decode(c.v); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want one with %q", name, err, c.want)
		}
	}
	f, err := Open(t.TempDir(), "a")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	os.WriteFile(f.Path(fileName), []byte("this is no store"), 0o600)
	s, _, found, warning := load(t, f)
	defer s.Close()
	if found || !strings.Contains(warning, "set aside") {
		t.Errorf("found %v, warning %q", found, warning)
	}
	if b, err := os.ReadFile(f.Path(unusableFileName)); err != nil || string(b) != "this is no store" {
		t.Errorf("moved file holds %q, error %v", b, err)
	}
}

func FuzzDecode(f *testing.F) {
	good, _ := Encode(sample(1))
	f.Add(good)
	f.Add([]byte("rainhaven-state 1\n12345678{}"))
	f.Fuzz(func(t *testing.T, v []byte) {
		if s, err := Decode(v); err == nil {
			if _, err := Encode(s); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func BenchmarkSave(b *testing.B) {
	f, err := Open(b.TempDir(), "a")
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	s, _, _, _, err := f.Load()
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	m := sample(1)
	for b.Loop() {
		if err := s.Save(m); err != nil {
			b.Fatal(err)
		}
	}
}
