// Package atomicfile replaces files as a whole.
package atomicfile

import (
	"errors"
	"os"
	"path/filepath"
)

// Replace writes data in place of the file at path, which need not exist, by a rename: a reader
// sees the old content or the new one, never a part. Only the owner may read the new file (mode
// 0600). The errors are those of package os; after one the old content is still there.
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
