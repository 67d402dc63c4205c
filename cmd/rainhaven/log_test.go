package main

import (
	"os"
	"testing"
)

// The end of a process does not wait for the disk that holds its log: it was killed while its fsync was out.
func TestLogIsNotSynced(t *testing.T) {
	reader, writer, err := os.Pipe() // can't be synced, so an attempt fails
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	defer writer.Close()
	stderr := os.Stderr
	os.Stderr = writer
	defer func() { os.Stderr = stderr }()
	log, err := newLogger("info", "json")
	if err != nil {
		t.Fatal(err)
	}
	if err := log.Sync(); err != nil {
		t.Errorf("the log was synced: %v", err)
	}
}
