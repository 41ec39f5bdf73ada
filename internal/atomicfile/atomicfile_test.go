package atomicfile

import (
	"os"
	"path/filepath"
	"testing"
)

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
		t.Errorf("files left behind: %v, %v", entries, err)
	}
}

// A replacement that fails leaves neither a changed file nor a temporary one. Here the rename
// fails, because there is a directory of that name.
func TestReplaceFails(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "config.json")
	if err := os.Mkdir(path, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := Replace(path, []byte("content")); err == nil {
		t.Error("a directory was replaced by a file")
	}
	if entries, err := os.ReadDir(dir); err != nil || len(entries) != 1 || !entries[0].IsDir() {
		t.Errorf("left behind: %v, %v", entries, err)
	}
	if err := Replace(filepath.Join(dir, "none", "config.json"), nil); !os.IsNotExist(err) {
		t.Errorf("without a directory: %v", err)
	}
}
