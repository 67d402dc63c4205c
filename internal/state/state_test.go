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
	s := restore.Snapshot{SavedAt: float64(n), Memory: choice.Snapshot{FirstSetups: []float64{1, 2}}}
	for i := range 300 {
		s.Memory.Servers = append(s.Memory.Servers, choice.ServerSnapshot{ID: choice.ServerID(i), StartedAt: float64(n), MeanGap: 3.25})
	}
	return s
}

func load(t *testing.T, f *Folder) (*Store, restore.Snapshot, bool, string) {
	t.Helper()
	s, kept, found, say, err := f.Load()
	if err != nil {
		t.Fatal(err)
	}
	return s, kept, found, say
}

func TestKeptAndReadBack(t *testing.T) {
	dir := t.TempDir()
	if _, err := Open(dir+"/none", "a"); err == nil {
		t.Error("a folder that is not there was opened")
	}
	f, err := Open(dir, "a")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir, "a"); !errors.Is(err, ErrInUse) {
		t.Errorf("the same name a second time: %v", err)
	}
	s, _, found, say := load(t, f)
	if found || say != "" {
		t.Errorf("an empty folder: %v %q", found, say)
	}
	for n := range 5 {
		if err := s.Save(sample(n)); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	s, kept, found, _ := load(t, f)
	s.Close()
	if !found || kept.SavedAt != 4 || len(kept.Memory.Servers) != 300 || kept.Memory.Servers[7].MeanGap != 3.25 {
		t.Errorf("%v %+v", found, kept.SavedAt)
	}
	f.Close()
	if g, err := Open(dir, "a"); err != nil {
		t.Errorf("a folder that was given free: %v", err)
	} else {
		g.Close()
	}
}

// A crash may leave a transaction's pages written or not, and a page written in part: the value before or the one after
// is there. A disk that lies about the order, or a file cut short, may have an older one, or the file is set aside with a
// word. Each such file is started from.
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
	before, err := os.ReadFile(f.Path(file))
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Save(sample(4)); err != nil {
		t.Fatal(err)
	}
	s.Close()
	after, err := os.ReadFile(f.Path(file))
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
	old, new, asides := 0, 0, 0
	try := func(b []byte, cut bool) {
		if err := os.WriteFile(f.Path(file), b, 0o600); err != nil {
			t.Fatal(err)
		}
		s, kept, found, say := load(t, f)
		defer s.Close()
		switch {
		case found && kept.SavedAt == 3:
			old++
		case found && kept.SavedAt == 4:
			new++
		case found && cut: // an older value, whose own instant tells its age
			asides++
		case !found && say != "":
			asides++
		default:
			t.Fatalf("found %v, of %v, said %q", found, kept.SavedAt, say)
		}
		if err := s.Save(sample(9)); err != nil {
			t.Fatalf("nothing can be kept after it: %v", err)
		}
	}
	// The page that names the newest transaction is written last; a disk that lies about the order may have it first.
	if pages[0] >= 2*page || pages[1] < 2*page {
		t.Fatalf("pages %v: one of the first two was looked for", pages)
	}
	for _, order := range [][]int{append(slices.Clone(pages[1:]), pages[0]), append([]int{pages[0]}, pages[1:]...)} {
		lies := order[0] == pages[0]
		for i := range order { // up to here, whole, half, and torn off; and all but these where the last is not written
			for _, part := range []int{0, 100, page / 2, page} {
				fore, back := bytes.Clone(before), bytes.Clone(before)
				for j, at := range order {
					n := page
					if j == i {
						n = part
					}
					if j <= i {
						copy(fore[at:at+n], after[at:at+n])
					}
					if j >= i && (lies || j < len(order)-1) {
						copy(back[at:at+n], after[at:at+n])
					}
				}
				try(fore, lies)
				try(back, lies)
				try(fore[:order[i]+part], true)
			}
		}
	}
	t.Logf("%d files: %d hold the value before, %d the one after, %d were cut short and set aside or older", old+new+asides, old, new, asides)
	if old == 0 || new == 0 {
		t.Error("the files tried are not those of a crash")
	}
}

func TestOtherFormsAreSetAside(t *testing.T) {
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
		"newer":          {bytes.Replace(good, []byte("state 1\n"), []byte("state 2\n"), 1), "form 2"},
		"damaged":        {bad, "checksum"},
		"cut":            {good[:len(good)/2], "checksum"},
		"something else": {[]byte("hello"), "not a front's"},
	} {
		if _, err := Decode(c.v); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
	f, err := Open(t.TempDir(), "a")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	os.WriteFile(f.Path(file), []byte("this is no store"), 0o600)
	s, _, found, say := load(t, f)
	defer s.Close()
	if found || !strings.Contains(say, "set aside") {
		t.Errorf("%v %q", found, say)
	}
	if b, err := os.ReadFile(f.Path(aside)); err != nil || string(b) != "this is no store" {
		t.Errorf("%q %v", b, err)
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

func BenchmarkKeep(b *testing.B) {
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
