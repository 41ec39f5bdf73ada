package daemon

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"maddergap/internal/config"
)

// Verifies that CheckNodes reports every shard without a node. Each request for such a shard would
// fail, and the check command finds that before the configuration is used.
func TestCheckNodesReportsShardsWithoutNode(t *testing.T) {
	file := filepath.Join(t.TempDir(), "nodes.list")
	if err := os.WriteFile(file, []byte("node n0 127.0.0.1:1 shard 0 state serving\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	c := &config.Config{NodeList: file, Volumes: []config.Volume{{Name: "good", Shards: []int{0}}}}
	if n, err := CheckNodes(c); n != 1 || err != nil {
		t.Errorf("got %d nodes, error %v; want 1, nil", n, err)
	}
	c.Volumes = append(c.Volumes, config.Volume{Name: "thin", Shards: []int{0, 2, 3}})
	_, err := CheckNodes(c)
	var configErr *config.Error
	if !errors.As(err, &configErr) || configErr.File != file {
		t.Fatalf("got error %v, want a *config.Error for the node list", err)
	}
	for _, want := range []string{"no node has shard 2 of volume thin", "no node has shard 3 of volume thin"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want it to contain %q", err, want)
		}
	}
}
