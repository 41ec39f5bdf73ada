package soak

import (
	"os"
	"testing"
)

// Verifies that the usage of a running process is read from /proc.
func TestReadProcessUsage(t *testing.T) {
	u, err := readProcessUsage(os.Getpid())
	if err != nil || u.peakKB == 0 || u.descriptors == 0 {
		t.Errorf("got usage %+v and error %v, want a peak and descriptors above 0", u, err)
	}
}
