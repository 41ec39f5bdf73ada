// Package nodelist reads and writes files that list the storage nodes, one node per line:
//
//	node NAME ADDRESS zone N shard N state serving|draining|gone [started UNIX-SECONDS]
//
// The keywords may be in any order. Without a zone, a node is in zone 0.
//
// The owner of the file always replaces the whole file. A list with a mistake is rejected as a whole: if
// only the faulty line were skipped, its node would seem to have been removed.
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
	// MaxNodes is the largest number of nodes in a list.
	MaxNodes = 10000
	// maxZoneOrShard is the largest zone or shard number.
	maxZoneOrShard = 100000
)

// Node is a storage node on the list.
type Node struct {
	Name, Addr  string // Addr is host:port
	Zone, Shard int
	State       scheduler.NodeState
	Started     time.Time // wall-clock time at which the node's process started; zero means long ago
}

// stateNames are the names of the node states in the file, indexed by scheduler.NodeState.
var stateNames = []string{
	scheduler.Serving:  "serving",
	scheduler.Draining: "draining",
	scheduler.Removed:  "gone",
}

// Parse parses a list. The file name is used in errors only. The returned error joins one
// *config.Error for each faulty line: first the errors of lines that are not valid text, then all
// others, each group in the order of the file. A file that is too large or lists no node yields a
// single error.
func Parse(file string, data []byte) ([]Node, error) {
	lines, err := config.Lines(file, data)
	errs := []error{err}
	var nodes []Node
	lineByName := map[string]int{} // number of the line that lists a node, by the node's name
	for _, line := range lines {
		node, err := parseLine(line)
		firstLine, listed := lineByName[node.Name]
		switch {
		case err != nil:
		case listed:
			err = fmt.Errorf("node %s is already in line %d", node.Name, firstLine)
		case len(nodes) >= MaxNodes:
			err = fmt.Errorf("more than %d nodes", MaxNodes)
		}
		if err != nil {
			errs = append(errs, &config.Error{File: file, Line: line.Number, Reason: err.Error()})
			continue
		}
		lineByName[node.Name] = line.Number
		nodes = append(nodes, node)
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	if len(nodes) == 0 {
		// Guards against a truncated file: an empty list would remove every node, and all requests
		// would fail.
		return nil, &config.Error{File: file, Reason: "lists no node"}
	}
	return nodes, nil
}

// parseLine parses the line of one node and returns the first mistake as an error.
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
			node.Zone = args.Int(keyword, 0, maxZoneOrShard)
		case "shard":
			node.Shard = args.Int(keyword, 0, maxZoneOrShard)
		case "state":
			node.State = scheduler.NodeState(args.OneOf(keyword, stateNames...))
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

// Format returns the text of a list in the form that Parse reads. Start times are rounded down to
// milliseconds.
func Format(nodes []Node) []byte {
	var b strings.Builder
	for _, node := range nodes {
		fmt.Fprintf(&b, "node %s %s zone %d shard %d state %s", node.Name, node.Addr, node.Zone, node.Shard, stateNames[node.State])
		if !node.Started.IsZero() {
			fmt.Fprintf(&b, " started %.3f", float64(node.Started.UnixMilli())/1000)
		}
		b.WriteByte('\n')
	}
	return []byte(b.String())
}

// Replace atomically replaces the contents of a file with a list, using a rename. Readers see either the
// old list or the new one, never a part of a list. The errors are those of package os.
func Replace(file string, nodes []Node) error {
	return atomicfile.Replace(file, Format(nodes))
}
