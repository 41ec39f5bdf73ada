package soak

import (
	"os"
	"path/filepath"
	"testing"
)

// Verifies that violated invariants and crashes are found in the log of an instance among other lines.
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
		t.Errorf("got lines %q and error %v, want the violated invariant and the panic", lines, err)
	}
}
