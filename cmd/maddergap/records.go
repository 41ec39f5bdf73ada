package main

import "os"

// recordsDir makes a folder for the records of a run: a new one in keep, or a temporary one
// that remove deletes if keep is empty.
func recordsDir(keep, pattern string) (dir string, remove func(), err error) {
	if keep != "" {
		if err := os.MkdirAll(keep, 0o755); err != nil {
			return "", nil, err
		}
	}
	dir, err = os.MkdirTemp(keep, pattern)
	if err != nil {
		return "", nil, err
	}
	if keep != "" {
		return dir, func() {}, nil
	}
	return dir, func() { os.RemoveAll(dir) }, nil
}
