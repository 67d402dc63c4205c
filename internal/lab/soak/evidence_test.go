package soak

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// The evidence of an unclean soak has its command, report and records. Only the first violations were printed, and the rest was removed.
func TestEvidenceIsKept(t *testing.T) {
	sent := record{at: time.Second, kind: requestSent, request: "0003000000000007", node: 3, class: 1, wait: time.Second, title: "t"}
	report := check([]record{sent}, DefaultOptions())
	if report.OK() {
		t.Fatal("a request without an answer is clean")
	}
	folder := t.TempDir()
	if err := report.Keep(folder, []string{"rainhaven", "soak", "--keep", "it's here"}); err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]string{
		commandFile: `rainhaven soak --keep 'it'\''s here'`,
		reportFile:  "violated: answered",
		recordsFile: "request sent",
	} {
		text, err := os.ReadFile(filepath.Join(folder, name))
		if err != nil || !strings.Contains(string(text), want) {
			t.Errorf("%s: %q, %v", name, text, err)
		}
	}
}
