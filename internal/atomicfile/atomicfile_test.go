package atomicfile

import (
	"os"
	"path/filepath"
	"testing"
)

// Verifies that Replace creates a file and replaces it by a shorter one, and that it leaves no
// temporary file behind.
func TestReplace(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	for _, want := range []string{"a longer first content", "second"} {
		if err := Replace(path, []byte(want)); err != nil {
			t.Fatal(err)
		}
		if got, err := os.ReadFile(path); err != nil || string(got) != want {
			t.Errorf("read %q, %v, want %q", got, err, want)
		}
	}
	if entries, err := os.ReadDir(filepath.Dir(path)); err != nil || len(entries) != 1 {
		t.Errorf("directory holds %v, error %v; want the file alone", entries, err)
	}
}

// Verifies that a failed replacement leaves no temporary file behind and does not change the existing
// directory entry. The rename fails because the path is a directory.
func TestReplaceFails(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "config.json")
	if err := os.Mkdir(path, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := Replace(path, []byte("content")); err == nil {
		t.Error("Replace returned no error though the path is a directory")
	}
	if entries, err := os.ReadDir(dir); err != nil || len(entries) != 1 || !entries[0].IsDir() {
		t.Errorf("directory holds %v, error %v; want the subdirectory alone", entries, err)
	}
	if err := Replace(filepath.Join(dir, "none", "config.json"), nil); !os.IsNotExist(err) {
		t.Errorf("error for a missing directory is %v, want a not-exist error", err)
	}
}
