package main

import (
	"context"
	"os"
	"path/filepath"
	"testing"
)

// A dry run and a run with invalid arguments must not create the file, and an existing file is never overwritten.
func TestMigrateWritesNewFileOnly(t *testing.T) {
	dir := t.TempDir()
	old, layout, out := filepath.Join(dir, "old.star"), filepath.Join(dir, "layout.star"), filepath.Join(dir, "new.star")
	write := func(file, text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(old, `front(name = "f", listen = "127.0.0.1:8554")
kind(name = "k", places = 20)
ladder(rates = [250, 600])
group(name = "g", start_target = 1, setup_timeout = 5)
fleet(links = 1000, uplink = 1000, cells = 1, racks = 1)
box(id = 1, address = "127.0.0.1:9001", cell = 0)
title(name = "t")
`)
	write(layout, "group(name = \"g\", live = True)\nfleet(shared_adds = 0.5)\n")
	for _, c := range []struct {
		args    []string
		code    int
		written bool
	}{
		{[]string{"migrate", old, "--layout", layout, "--dry-run"}, 0, false},
		{[]string{"migrate", old, "--layout", layout}, exitUsage, false},
		{[]string{"migrate", old, "--layout", old + "x", "--out", out}, exitFailed, false},
		{[]string{"migrate", old, "--layout", layout, "--out", out}, 0, true},
		{[]string{"check", out}, 0, true},
		{[]string{"migrate", old, "--layout", layout, "--out", out}, exitFailed, true},
	} {
		code := run(context.Background(), c.args)
		if _, err := os.Stat(out); code != c.code || (err == nil) != c.written {
			t.Errorf("%v: exit code %d, file exists: %v; want %d, %v", c.args, code, err == nil, c.code, c.written)
		}
	}
}
