package scheduler

import (
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"hash"
	"io"
	"maps"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "record the digests of the scheduler's actions again")

// Digest is a hash of the kinds and values of a history of actions. It does not depend on the names of
// types or fields, so renaming one does not change it, but any change of a decision does.
type Digest struct{ hash hash.Hash }

// NewDigest returns the digest of no actions.
func NewDigest() *Digest { return &Digest{sha256.New()} }

// Add adds the actions of one call of Handle.
func (d *Digest) Add(now Time, instance int, actions []Action) {
	for _, action := range actions {
		fmt.Fprintf(d.hash, "%d %d ", now, instance)
		writeAction(d.hash, action)
	}
}

// writeAction writes an action's kind, as a word, and its values in a fixed order, as integers or
// quoted text. It panics if this file has no encoding for the kind.
func writeAction(w io.Writer, action Action) {
	switch a := action.(type) {
	case Send:
		fmt.Fprintf(w, "send %d %q %d\n", a.ID, a.Node, int64(a.ArriveBefore))
	case Reject:
		fmt.Fprintf(w, "reject %d %d\n", a.ID, int64(a.RetryAfter))
	case Fail:
		fmt.Fprintf(w, "fail %d\n", a.ID)
	case SetTimer:
		fmt.Fprintf(w, "timer %d\n", int64(a.After))
	case WatchEndpoints:
		fmt.Fprintf(w, "watch\n")
	default:
		panic(fmt.Sprintf("golden_test: no encoding for %T", action))
	}
}

// Sum returns the digest as text, shortened to 12 bytes.
func (d *Digest) Sum() string { return hex.EncodeToString(d.hash.Sum(nil)[:12]) }

// CheckGolden compares digests with those recorded in the golden file of the given name.
func CheckGolden(t *testing.T, name string, sums map[string]string) {
	t.Helper()
	if runtime.GOARCH != "amd64" {
		t.Skip("recorded where multiplication and addition are rounded separately; other architectures may fuse them")
	}
	file := filepath.Join("testdata", name+".golden")
	var text strings.Builder
	for _, key := range slices.Sorted(maps.Keys(sums)) {
		fmt.Fprintf(&text, "%s  %s\n", sums[key], key)
	}
	if *update {
		if err := os.WriteFile(file, []byte(text.String()), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if text.String() == string(want) {
		return
	}
	recorded := map[string]bool{}
	for line := range strings.Lines(string(want)) {
		recorded[line] = true
	}
	changed := 0
	for line := range strings.Lines(text.String()) {
		if !recorded[line] {
			changed++
		}
	}
	t.Errorf("%d of %d histories give actions that differ from those recorded in %s", changed, len(sums), file)
}

// Verifies that the actions of whole fleets are the recorded ones.
func TestGoldenFleets(t *testing.T) {
	sums := map[string]string{}
	for _, instances := range []int{4, 30, 140} {
		for _, load := range []float64{0.6, 1.3} {
			for seed := range uint64(3) {
				s := slowStartSettings(instances, 120)
				f := newFleet(s, seed)
				f.digest = NewDigest()
				f.updateEndpoints("A", 0)
				f.run(10*time.Second, load*120/s.MeanUnits)
				started := f.now - 300*ms
				f.queueFullRate = 0.1
				f.updateEndpoints("B", started)
				f.run(5*time.Second, load*120/s.MeanUnits)
				key := fmt.Sprintf("%d heads/%v/%d", instances, load, seed)
				sums[key] = f.digest.Sum()
			}
		}
	}
	CheckGolden(t, "fleets", sums)
}
