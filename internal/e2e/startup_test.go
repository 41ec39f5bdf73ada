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

// A configuration allows more clients than the process may have descriptors. The instance
// must not start, since it would run out of them under load.
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

// A second instance is started on the address of the first. Its listeners must not share
// the address, as those of one instance do: it fails to start.
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
		t.Errorf("a second instance on the same address: %v", err)
	}
}
