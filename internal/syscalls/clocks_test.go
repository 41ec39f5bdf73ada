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

// clockReaders are the files of a running gateway that may read a clock. All other code
// that needs the time is passed a reading of the monotonic clock.
var clockReaders = map[string]string{
	"internal/syscalls/syscalls.go": "both clocks, once, for the event loop",
	"internal/syscalls/faulty.go":   "the age of a fault table, monotonic",
	"internal/eventloop/loop.go":    "the monotonic clock of the event loop",
	"internal/supervisor/run.go":    "the supervisor's own pauses, monotonic",
}

// gatewayPackages are the packages that a running gateway uses.
var gatewayPackages = []string{"scheduler", "internal/admission", "internal/config", "internal/daemon", "internal/webdav", "internal/discovery",
	"internal/invariant", "internal/gateway", "internal/http1", "internal/eventloop", "internal/membership",
	"internal/nodelist", "internal/orderedset", "internal/platform", "internal/route", "internal/settings", "internal/syscalls", "internal/waitqueue", "internal/supervisor"}

// wallReaders are the files that may turn a wall-clock time into a number, or the reverse.
var wallReaders = map[string]string{
	"internal/discovery/list.go":      "since_ms of the node list",
	"internal/nodelist/nodelist.go":   "started of the node list",
	"internal/admission/admission.go": "monotonic readings in the form that the rate limiter takes",
	"internal/gateway/clock.go":       "the Date field",
}

// An operator or NTP sets the wall clock while the gateway runs, and a duration that is
// computed from it becomes negative or very long. So clocks are read in few listed files,
// and wall-clock times are converted only where they are displayed or sent.
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

func checkFileClocks(t *testing.T, path, name string) {
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	set := token.NewFileSet()
	file, err := parser.ParseFile(set, path, text, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(file, func(n ast.Node) bool {
		s, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		where := set.Position(s.Pos())
		if x, ok := s.X.(*ast.Ident); ok && x.Name == "time" {
			switch s.Sel.Name {
			case "Now", "Since", "Until":
				if clockReaders[name] == "" {
					t.Errorf("%s:%d reads the clock by time.%s", name, where.Line, s.Sel.Name)
				}
			case "Unix", "UnixMilli", "UnixMicro":
				if wallReaders[name] == "" {
					t.Errorf("%s:%d makes a wall-clock time", name, where.Line)
				}
			}
			return true
		}
		switch s.Sel.Name {
		case "Unix", "UnixMilli", "UnixMicro", "UnixNano":
			if wallReaders[name] == "" {
				t.Errorf("%s:%d takes a number from the wall clock", name, where.Line)
			}
		}
		return true
	})
}
