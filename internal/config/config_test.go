package config

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// validConfig is a complete configuration; tests introduce mistakes into single lines.
const validConfig = `# one of two instances
listen 127.0.0.1:0
nodes nodes.list
heads 2
class read effect safe aim 150ms deadline 1200ms worth 2 late 0.2
class write effect unsafe aim 300ms deadline 2s
plan standard rate 10 reserve 5 limit 100 burst 200
volume feed-a plan standard shards 0-2,5 heads 2
route PUT class write
route * class read   # the rest
budget free 3 share 0.1 over 10s
cold for 5s from 0.2 units 40 window 1s multiple 2
units bytes 64k mean 2 most 6
`

// Verifies that the values of a valid configuration are parsed, and that paths are relative to the folder
// of the file.
func TestParseValid(t *testing.T) {
	c, err := Parse("/etc/m.conf", []byte(validConfig))
	if err != nil {
		t.Fatal(err)
	}
	if c.NodeList != "/etc/nodes.list" || len(c.Volumes[0].Shards) != 4 || c.UnitBytes != 64<<10 || c.Deadlines.ByClass[1] != 2*time.Second ||
		c.Routes[0].Class != 1 || c.Scheduler.RetryBudget == nil {
		t.Errorf("%+v", c)
	}
}

// Verifies that each kind of mistake is reported as an Error with the line and a reason. The check
// subcommand prints these messages, and operators correct a file by them.
func TestParseErrors(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{"heads 2", "heads two", "m.conf:4: heads: number is \"two\", want a whole number"},
		{"heads 2", "haeds 2", "m.conf:4: unknown directive \"haeds\""},
		{"heads 2", "heads 2 3", "m.conf:4: heads: \"3\" is an unexpected argument"},
		{"heads 2", "heads 2\nheads 2", "m.conf:5: heads is already given in line 4"},
		{"heads 2", "heads 1", "m.conf:8: volume feed-a is served by 2 heads, but there are only 1"},
		{"listen 127.0.0.1:0", "listen localhost", "m.conf:2: listen: \"localhost\" is not an address and port"},
		{"listen 127.0.0.1:0", "", "m.conf: no listen is given"},
		{"nodes nodes.list", "nodes", "m.conf:3: nodes: path is missing"},
		{"effect unsafe", "effect dangerous", "m.conf:6: class: effect is \"dangerous\", want one of safe, keyed, unsafe"},
		{"effect unsafe", "effect keyed", "m.conf:6: class: a keyed class needs a window"},
		{"effect unsafe", "effect unsafe window 1s", "m.conf:6: class: only a keyed class may have a window"},
		{"deadline 2s", "deadline 2", "m.conf:6: class: deadline is \"2\", want a time"},
		{"deadline 2s", "deadline 100ms", "m.conf:6: class: the deadline 100ms is before the aim 300ms"},
		{"aim 300ms deadline 2s", "aim 10ms deadline 25ms", "m.conf:6: the deadline 25ms leaves no time"},
		{"aim 300ms", "aim 300ms aim 1s", "m.conf:6: class: aim is given twice"},
		{"class write effect", "class read effect", "m.conf:6: class read is already given in line 5"},
		{"late 0.2", "late 2", "m.conf:5: class: late is 2, want a share"},
		{"burst 200", "", "m.conf:7: plan: limit and burst go together"},
		{"reserve 5", "reserve 500", "m.conf:7: plan: the reserve 500 is over the limit 100"},
		{"reserve 5", "reserve NaN", "m.conf:7: plan: reserve is \"NaN\""},
		{"reserve 5", "reserve 5 weight 0", "m.conf:7: plan: weight is 0"},
		{"plan standard shards", "plan gold shards", "m.conf:8: there is no plan \"gold\""},
		{"shards 0-2,5", "shards 0-2,1", "m.conf:8: volume: a shard is given twice"},
		{"shards 0-2,5", "shards 2-0", "m.conf:8: volume: shards is \"2-0\""},
		{"volume feed-a", "volume feed/a", "m.conf:8: volume: the name \"feed/a\" cannot be used as a path segment"},
		{"route PUT class write", "route put class write", "m.conf:9: route: method \"put\" is not in capitals"},
		{"route PUT class write", "route PUT class wirte", "m.conf:9: there is no class \"wirte\""},
		{"route PUT class write", "route PUT path x class write", "m.conf:9: route: path \"x\" does not begin with /"},
		{"route * class read", "route GET class read", "m.conf: the last route must match every request"},
		{"over 10s", "", "m.conf:11: budget: over is missing"},
		{"multiple 2", "multiple 0.5", "m.conf:12: cold: multiple is 0.5"},
		{"bytes 64k", "bytes 64q", "m.conf:13: units: bytes is \"64q\", want a size"},
		{"bytes 64k", "size 64k", "m.conf:13: units: unknown keyword \"size\", want one of bytes, mean, most"},
		{"heads 2", "heads 2\nclients 100\nadmit address 200", "m.conf:6: the cap address is 200, want 1 to 100"},
		{"heads 2", "heads 2\nclients 100\nadmit reserve 100", "m.conf:6: the reserve is 100 of 100 connections"},
		{"heads 2", "heads 2\nadmit address 0", "m.conf:5: admit: address is \"0\", want a whole number from 1"},
		{"heads 2", "heads 2\nknown 10.0.0.0/8 10.1.0.0/16", "m.conf:5: the known prefixes 10.0.0.0/8 and 10.1.0.0/16 overlap"},
		{"heads 2", "heads 2\nknown 10.1.0.1/16", "m.conf:5: known: \"10.1.0.1/16\" is not an address or a prefix"},
		{"# one of", "\x00", "m.conf:1: contains a control character"},
	} {
		_, err := Parse("m.conf", []byte(strings.Replace(validConfig, c.from, c.to, 1)))
		var mistake *Error
		if err == nil || !strings.Contains(err.Error(), c.want) || !errors.As(err, &mistake) {
			t.Errorf("%s -> %s: got %v, want %s", c.from, c.to, err, c.want)
		}
	}
}

// Verifies that one run of the check subcommand reports all mistakes of a file.
func TestParseReportsAllErrors(t *testing.T) {
	_, err := Parse("m.conf", []byte("heads x\nclass\nfoo\n"))
	for _, want := range []string{"m.conf:1:", "m.conf:2:", "m.conf:3:", "no volume is given"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("the error %v does not contain %q", err, want)
		}
	}
}

// FuzzParse checks that Parse returns either a configuration or an error, and does not panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validConfig))
	f.Fuzz(func(t *testing.T, p []byte) {
		c, err := Parse("m.conf", p)
		if (c == nil) == (err == nil) {
			t.Fatal("want either a configuration or an error")
		}
	})
}
