// Package nodelist reads and writes the list of storage nodes in its file form, a node a line,
//
//	node NAME ADDRESS zone N shard N state serving|draining|gone [started UNIX-SECONDS]
//
// The file's owner replaces it as a whole. A list with a mistake is not used at all: a node that
// was left out for its mistake would look as if it had been removed.
package nodelist

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"maddergap/internal/atomicfile"
	"maddergap/internal/config"
	"maddergap/scheduler"
)

const (
	// MaxNodes bounds the nodes of a list.
	MaxNodes = 10000
	// maxNumber bounds the number of a zone or shard.
	maxNumber = 100000
)

// Node is a storage node on the list.
type Node struct {
	Name, Addr  string // Addr is host:port
	Zone, Shard int
	State       scheduler.NodeState
	Started     time.Time // of its process, by the wall clock; zero: long ago
}

// stateWords are the words of the file, by scheduler.NodeState.
var stateWords = []string{
	scheduler.Serving:  "serving",
	scheduler.Draining: "draining",
	scheduler.Removed:  "gone",
}

// Parse reads a list; file is its name, for errors. The error joins a *config.Error for each
// mistake, in the file's order.
func Parse(file string, data []byte) ([]Node, error) {
	lines, err := config.Lines(file, data)
	errs := []error{err}
	var nodes []Node
	lineOf := map[string]int{} // by name
	for _, line := range lines {
		node, err := parseLine(line)
		first, listed := lineOf[node.Name]
		switch {
		case err != nil:
		case listed:
			err = fmt.Errorf("node %s is already in line %d", node.Name, first)
		case len(nodes) >= MaxNodes:
			err = fmt.Errorf("more than %d nodes", MaxNodes)
		}
		if err != nil {
			errs = append(errs, &config.Error{File: file, Line: line.Number, Reason: err.Error()})
			continue
		}
		lineOf[node.Name] = line.Number
		nodes = append(nodes, node)
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	if len(nodes) == 0 {
		// Guards against a file that was truncated: by it every node would be removed, and all
		// requests would fail.
		return nil, &config.Error{File: file, Reason: "lists no node"}
	}
	return nodes, nil
}

func parseLine(line config.Line) (node Node, err error) {
	if line.Words[0] != "node" {
		return node, fmt.Errorf("unknown directive %.40q, want node", line.Words[0])
	}
	args := config.NewArgs(line)
	node.Name = args.Word("name")
	node.Addr = args.Word("address")
	if _, err := netip.ParseAddrPort(node.Addr); node.Addr != "" && err != nil {
		args.Errorf("%q is not an address and port", node.Addr)
	}
	seen := map[string]bool{}
	for args.More() {
		keyword := args.Word("keyword")
		if seen[keyword] {
			args.Errorf("%s is given twice", keyword)
		}
		seen[keyword] = true
		switch keyword {
		case "zone":
			node.Zone = args.Int(keyword, 0, maxNumber)
		case "shard":
			node.Shard = args.Int(keyword, 0, maxNumber)
		case "state":
			node.State = scheduler.NodeState(args.OneOf(keyword, stateWords...))
		case "started":
			node.Started = time.UnixMilli(int64(args.Float(keyword) * 1000))
		default:
			args.Errorf("unknown keyword %q", keyword)
		}
	}
	for _, keyword := range []string{"shard", "state"} {
		if !seen[keyword] {
			args.Errorf("%s is missing", keyword)
		}
	}
	return node, args.Err()
}

// Format returns a list in the form that Parse reads. Start times are rounded to milliseconds.
func Format(nodes []Node) []byte {
	var b strings.Builder
	for _, node := range nodes {
		fmt.Fprintf(&b, "node %s %s zone %d shard %d state %s", node.Name, node.Addr, node.Zone, node.Shard, stateWords[node.State])
		if !node.Started.IsZero() {
			fmt.Fprintf(&b, " started %.3f", float64(node.Started.UnixMilli())/1000)
		}
		b.WriteByte('\n')
	}
	return []byte(b.String())
}

// Replace writes a list in place of a file, by a rename: a reader sees the old list or the new
// one, never a part. The errors are those of package os.
func Replace(file string, nodes []Node) error {
	return atomicfile.Replace(file, Format(nodes))
}
