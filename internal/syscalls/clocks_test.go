package syscalls

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// clockReaders maps the files of a running gateway that may read a clock to what they read. All
// other code receives readings of the monotonic clock as arguments.
var clockReaders = map[string]string{
	"internal/syscalls/syscalls.go": "both clocks, once, for the event loop",
	"internal/syscalls/faulty.go":   "the age of a fault table, monotonic",
	"internal/eventloop/loop.go":    "the monotonic clock of the event loop",
	"internal/supervisor/run.go":    "the supervisor's own pauses, monotonic",
}

// gatewayPackages lists the packages that a running gateway uses.
var gatewayPackages = []string{"scheduler", "internal/admission", "internal/config", "internal/daemon", "internal/webdav", "internal/discovery",
	"internal/invariant", "internal/gateway", "internal/http1", "internal/eventloop", "internal/membership",
	"internal/nodelist", "internal/orderedset", "internal/platform", "internal/route", "internal/settings", "internal/syscalls", "internal/waitqueue", "internal/supervisor"}

// wallClockConverters maps the files that may convert between wall-clock times and numbers to what
// they convert.
var wallClockConverters = map[string]string{
	"internal/discovery/list.go":      "since_ms of the node list",
	"internal/nodelist/nodelist.go":   "started of the node list",
	"internal/admission/admission.go": "monotonic readings in the form that the rate limiter takes",
	"internal/gateway/clock.go":       "the Date field",
}

// Guards against durations computed from the wall clock: when an operator or NTP sets it while the
// gateway runs, such a duration becomes negative or very long. Therefore clocks are read in the
// few files of clockReaders only, and wall-clock times are converted only where they are displayed
// or sent, in the files of wallClockConverters.
func TestClocksAreReadInListedFiles(t *testing.T) {
	root := filepath.Join("..", "..")
	for _, pkg := range gatewayPackages {
		err := filepath.WalkDir(filepath.Join(root, pkg), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			name, err := filepath.Rel(root, path)
			if err != nil {
				return err
			}
			checkFileClocks(t, path, filepath.ToSlash(name))
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// checkFileClocks reports each clock reading and each conversion of a wall-clock time in a file that
// is not listed for it. name is the path of the file relative to the module's root.
func checkFileClocks(t *testing.T, path, name string) {
	source, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	fileSet := token.NewFileSet()
	file, err := parser.ParseFile(fileSet, path, source, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(file, func(n ast.Node) bool {
		selector, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		position := fileSet.Position(selector.Pos())
		if x, ok := selector.X.(*ast.Ident); ok && x.Name == "time" {
			switch selector.Sel.Name {
			case "Now", "Since", "Until":
				if clockReaders[name] == "" {
					t.Errorf("%s:%d reads a clock with time.%s but is not in clockReaders", name, position.Line, selector.Sel.Name)
				}
			case "Unix", "UnixMilli", "UnixMicro":
				if wallClockConverters[name] == "" {
					t.Errorf("%s:%d makes a wall-clock time but is not in wallClockConverters", name, position.Line)
				}
			}
			return true
		}
		switch selector.Sel.Name {
		case "Unix", "UnixMilli", "UnixMicro", "UnixNano":
			if wallClockConverters[name] == "" {
				t.Errorf("%s:%d converts a wall-clock time but is not in wallClockConverters", name, position.Line)
			}
		}
		return true
	})
}
