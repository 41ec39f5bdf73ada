package soak

import (
	"os"
	"testing"
)

func TestReadProcessUsage(t *testing.T) {
	u, err := readProcessUsage(os.Getpid())
	if err != nil || u.peakKB == 0 || u.descriptors == 0 {
		t.Errorf("%+v, %v", u, err)
	}
}
