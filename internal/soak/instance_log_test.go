package soak

import (
	"os"
	"path/filepath"
	"testing"
)

// Invariants that an instance found violated, and crashes, are read from its log.
func TestLoggedViolations(t *testing.T) {
	path := filepath.Join(t.TempDir(), "head0.log")
	const log = `{"msg":"serving"}
{"level":"ERROR","msg":"invariant violated","rule":"drain"}
panic: runtime error
{"msg":"stopped"}
`
	if err := os.WriteFile(path, []byte(log), 0o644); err != nil {
		t.Fatal(err)
	}
	lines, err := loggedViolations(path)
	if err != nil || len(lines) != 2 {
		t.Errorf("%q, %v", lines, err)
	}
}
