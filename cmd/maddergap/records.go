package main

import "os"

// recordsDir creates a directory for the records of a run, with a name as in os.MkdirTemp. If keep is not
// empty, the new directory is created in keep and remove does nothing. Otherwise it is a temporary
// directory, which remove deletes.
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
