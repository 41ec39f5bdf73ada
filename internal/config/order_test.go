package config

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

// Regression test: mistakes were reported in the iteration order of a map, so the output of the check
// subcommand for the same file differed between runs. Mistakes must be in the order of their lines,
// followed by those of the file as a whole in a fixed order. Each case is repeated, since the iteration
// order of a map is random.
func TestParseErrorsInFileOrder(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       []string
	}{
		{"nothing is given", "", []string{
			"m.conf: no listen is given",
			"m.conf: no nodes is given",
			"m.conf: no class is given",
			"m.conf: no plan is given",
			"m.conf: no volume is given",
			"m.conf: no route is given",
		}},
		{"caps of admission", validConfig + "clients 10\nadmit address 30 wide 40 listener 50\n", []string{
			"m.conf:15: the cap listener is 50, want 1 to 10 (all connections)",
			"m.conf:15: the cap address is 30, want 1 to 10 (all connections)",
			"m.conf:15: the cap wide is 40, want 1 to 10 (all connections)",
		}},
		{"checks of one line and of several", strings.NewReplacer("nodes nodes.list", "nodes nodes.list\nnodes nodes.list",
			"plan standard shards", "plan gold shards", "multiple 2", "multiple 0.5", "route * class read", "route GET class read").Replace(validConfig) + "\x01\n", []string{
			`m.conf:4: nodes is already given in line 3`,
			`m.conf:9: there is no plan "gold"`,
			`m.conf:13: cold: multiple is 0.5, want at least 1: a node is not overloaded by load up to its capacity`,
			`m.conf:15: contains a control character or is not valid UTF-8`,
			`m.conf: the last route must match every request: route * class NAME`,
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for range 50 {
				_, err := Parse("m.conf", []byte(c.text))
				if err == nil {
					t.Fatal("the configuration is accepted")
				}
				if got := strings.Split(err.Error(), "\n"); !slices.Equal(got, c.want) {
					t.Fatalf("got\n%s\nwant\n%s", err, strings.Join(c.want, "\n"))
				}
				if !errors.As(err, new(*Error)) {
					t.Fatalf("the error of type %T does not wrap an Error", err)
				}
			}
		})
	}
}
