// Package nodelist reads the list of storage nodes: a file of the line-based
// form, replaced as a whole by whoever owns it,
//
//	node NAME ADDRESS zone N shard N state serving|draining|gone [started UNIX-SECONDS]
//
// A list with a mistake is not used at all; the last good one stays in force.
package nodelist

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"maddergap/internal/config"
	"maddergap/scheduler"
)

// MaxNodes bounds a list.
const MaxNodes = 10000

// Node is a line of the list.
type Node struct {
	Name, Addr  string
	Zone, Shard int
	State       scheduler.NodeState
	Started     time.Time // zero: long ago
}

var states = []string{"serving", "draining", "gone"}

// Parse reads a list. The error joins one config.Error for each fault.
func Parse(file string, data []byte) ([]Node, error) {
	lines, err := config.Lines(file, data)
	errs := []error{err}
	var nodes []Node
	seen := map[string]int{}
	for _, l := range lines {
		n, err := parse(l)
		if first := seen[n.Name]; err == nil && first > 0 {
			err = fmt.Errorf("node %s stands already in line %d", n.Name, first)
		}
		if err == nil && len(nodes) >= MaxNodes {
			err = fmt.Errorf("more than %d nodes", MaxNodes)
		}
		if err != nil {
			errs = append(errs, &config.Error{File: file, Line: l.Number, Reason: err.Error()})
			continue
		}
		seen[n.Name] = l.Number
		nodes = append(nodes, n)
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	if len(nodes) == 0 { // a list cut to nothing is a broken one: guards against emptying the fleet
		return nil, &config.Error{File: file, Reason: "names no node"}
	}
	return nodes, nil
}

func parse(l config.Line) (n Node, err error) {
	if l.Words[0] != "node" {
		return n, fmt.Errorf("unknown directive %.40q, want node", l.Words[0])
	}
	a := config.NewArgs(l)
	n.Name, n.Addr = a.Word("name"), a.Word("address")
	if _, err := netip.ParseAddrPort(n.Addr); n.Addr != "" && err != nil {
		a.Errorf("%q is not an address and port", n.Addr)
	}
	seen := map[string]bool{}
	for a.More() {
		k := a.Word("keyword")
		if seen[k] {
			a.Errorf("%s stands twice", k)
		}
		seen[k] = true
		switch k {
		case "zone":
			n.Zone = a.Int(k, 0, 100000)
		case "shard":
			n.Shard = a.Int(k, 0, 100000)
		case "state":
			n.State = scheduler.NodeState(a.OneOf(k, states...))
		case "started":
			n.Started = time.UnixMilli(int64(a.Float(k) * 1000))
		default:
			a.Errorf("unknown keyword %q", k)
		}
	}
	for _, k := range []string{"shard", "state"} {
		if !seen[k] {
			a.Errorf("%s is missing", k)
		}
	}
	return n, a.Err()
}

// Format writes a list as Parse reads it.
func Format(nodes []Node) []byte {
	var b strings.Builder
	for _, n := range nodes {
		fmt.Fprintf(&b, "node %s %s zone %d shard %d state %s", n.Name, n.Addr, n.Zone, n.Shard, states[n.State])
		if !n.Started.IsZero() {
			fmt.Fprintf(&b, " started %.3f", float64(n.Started.UnixMilli())/1000)
		}
		b.WriteByte('\n')
	}
	return []byte(b.String())
}

// Replace writes a list in place of another, so that a reader sees one or the other.
func Replace(file string, nodes []Node) error {
	tmp, err := os.CreateTemp(filepath.Dir(file), ".nodes-*")
	if err != nil {
		return err
	}
	_, err = tmp.Write(Format(nodes))
	if err = errors.Join(err, tmp.Close()); err == nil {
		err = os.Rename(tmp.Name(), file)
	}
	if err != nil {
		os.Remove(tmp.Name())
	}
	return err
}
