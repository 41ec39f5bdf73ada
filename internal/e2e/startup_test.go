package e2e

import (
	"log/slog"
	"path/filepath"
	"strings"
	"testing"

	"maddergap/internal/config"
	"maddergap/internal/daemon"
	"maddergap/internal/fakenode"
)

// Verifies that an instance does not start if its configuration allows more clients than the process
// may have descriptors. Otherwise it would run out of descriptors under load.
func TestDescriptorLimitIsChecked(t *testing.T) {
	defer func() {
		if r := recover(); r != nil {
			t.Error(r)
		}
	}()
	err := startError(t, "clients 1000000\n")
	if err == nil || !strings.Contains(err.Error(), "descriptors; the limit is") {
		t.Errorf("%v", err)
	}
}

// Verifies that a second instance fails to start on the address of a running one. The listeners of one
// instance share their address, but instances must not share theirs.
func TestSecondInstanceOnSameAddress(t *testing.T) {
	_, addrs := startNodes(t, 1, fakenode.Options{})
	instance := startWebDAV(t, floodConfig, addrs[0], addrs[0])
	file := filepath.Join(instance.dir, "second.conf")
	writeFile(t, file, strings.Replace(webdavConfig, "listen 127.0.0.1:0", "listen "+instance.addr, 1)+floodConfig)
	c, err := config.Load(file)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := daemon.New(c, slog.New(slog.DiscardHandler)); err == nil || !strings.Contains(err.Error(), "address already in use") {
		t.Errorf("second instance on the same address: error %v, want address already in use", err)
	}
}
