// Package atomicfile replaces files atomically.
package atomicfile

import (
	"errors"
	"os"
	"path/filepath"
)

// Replace replaces the content of the file at path with data, or creates the file. It writes a
// temporary file in the same directory and renames it, so that a reader sees either the old or the
// new content, never a part of it. Only the owner may read and write the new file (mode 0600).
// Errors are those of package os; after an error the old content is unchanged.
func Replace(path string, data []byte) error {
	tmp, err := os.CreateTemp(filepath.Dir(path), "."+filepath.Base(path)+"-*")
	if err != nil {
		return err
	}
	_, err = tmp.Write(data)
	err = errors.Join(err, tmp.Close())
	if err == nil {
		err = os.Rename(tmp.Name(), path)
	}
	if err != nil {
		os.Remove(tmp.Name())
	}
	return err
}
