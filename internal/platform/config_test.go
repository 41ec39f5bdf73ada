package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"maddergap/internal/settings"
)

// configJSON returns a valid configuration as the platform writes it, with the first occurrence of old
// replaced.
func configJSON(old, replacement string) []byte {
	return []byte(strings.Replace(`{"name":"h1","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"00000000000000a1",
"limits":{"cores":0.5,"memory_mb":48,"sockets":256},
"known":{"index":3,"snapshot":true,"endpoints":[{"name":"a","address":"127.0.0.1:7","zone":"z1","group":0,"status":"up","since_ms":0}]},
"settings":{"fleetSize":3,"discovery":"push","zones":["z0","z1"],
"classes":[{"name":"read","target":100000,"deadline":600000,"effect":"retryable","group":"all","gain":2,"lateWorth":0.1},
{"name":"write","target":200000,"deadline":900000,"effect":"fragile","group":"all","gain":2,"lateWorth":0.1}],
"grades":[{"name":"low","shares":1,"valueFactor":1,"ceilingRate":0},{"name":"high","shares":2,"valueFactor":1}],
"familyInfo":{"unitsTop":6,"usualUnits":2,"fairWorth":0.3,"nShards":4,"writes":[false,true]},
"limits":{"maxAttempts":3,"maxRetryAfter":500000,"retryAfter":true,"connIdle":30000000,"connectTimeout":250000}}}`, old, replacement, 1))
}

// noEnvironment is an environment in which no variable is set.
func noEnvironment(string) string { return "" }

// newProtocol returns the protocol of the unchanged configJSON.
func newProtocol(t testing.TB) *Protocol {
	t.Helper()
	c, err := Parse("c", configJSON("", ""), noEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	return c.Protocol()
}

func TestParseErrorsNameKey(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"seed":"00000000000000a1"`, `"seed":"x"`, "seed"},
		{`"retryable"`, `"sometimes"`, `effect "sometimes" is unknown`},
		{`"target":100000`, `"target":0`, "target above 0"},
		{`"unitsTop":6`, `"unitsTop":0`, "unitsTop"},
		{`"writes":[false,true]`, `"writes":[true]`, "familyInfo.writes"},
		{`"sockets":256`, `"sockets":40`, "sockets"},
		{`"listen":"127.0.0.1:0"`, `"listen":"here"`, "listen"},
		{`"discovery":"127.0.0.1:9"`, `"discovery":""`, "discovery"},
		{`"settings":{`, `"other":{`, "settings are missing"},
		{`"known"`, `"known`, "invalid character"},
	} {
		_, err := Parse("file", configJSON(c.old, c.new), noEnvironment)
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.HasPrefix(err.Error(), "file: ") {
			t.Errorf("%s: got error %v, want one that names the file and contains %q", c.new, err, c.want)
		}
		var configError *ConfigError
		if !errors.As(err, &configError) || configError.File != "file" {
			t.Errorf("%s: error %v is not a ConfigError of the file", c.new, err)
		}
	}
	if _, err := Load(noEnvironment); err == nil || !strings.Contains(err.Error(), EnvConfig) {
		t.Errorf("without variables: got error %v, want one that names the missing variable", err)
	}
}

func TestEnvironmentSetsMissingKeys(t *testing.T) {
	file := t.TempDir() + "/c"
	if err := os.WriteFile(file, configJSON(`"discovery":"127.0.0.1:9"`, `"discovery":""`), 0o644); err != nil {
		t.Fatal(err)
	}
	c, err := Load(func(name string) string { return map[string]string{EnvConfig: file, EnvDiscovery: "127.0.0.2:1"}[name] })
	if err != nil || c.DiscoveryAddr != "127.0.0.2:1" {
		t.Errorf("got %v, %v; want the discovery address of the environment", c, err)
	}
}

// Verifies that the platform's limits are not exceeded when every bound is reached at once, for the
// smallest to the largest limits of the platform.
func TestBoundsFitLimits(t *testing.T) {
	for _, descriptors := range []int{256, 384, 512, 1024, 4096} {
		for _, memoryMB := range []float64{32, 48, 64, 192, 2048} {
			b, err := newBounds(descriptors, memoryMB)
			if err != nil {
				t.Fatal(err)
			}
			if b.RequiredDescriptors() > descriptors || b.MaxClientConns < descriptors/3 || b.IdlePressureConns >= descriptors/3 || b.MaxNodeConns < descriptors/4 {
				t.Errorf("limit of %d descriptors: %+v requires %d", descriptors, b, b.RequiredDescriptors())
			}
			if b.MaxResponseBytes < 1<<20 || b.MaxBufferedResponseBytes < b.MaxResponseBytes {
				t.Errorf("memory limit of %v MB: a response limit is too low: %+v", memoryMB, b)
			}
			if float64(b.RuntimeMemoryBytes+b.ClientBufferBytes) > memoryMB*(1<<20)*0.95 {
				t.Errorf("memory limit of %v MB: runtime and client buffers take more than 95%%: %+v", memoryMB, b)
			}
		}
	}
}

// Verifies that a shutdown ends finalResponseLead before the platform kills the process, also if the
// deadlines of classes are long or unknown.
func TestShutdownEndsBeforeKill(t *testing.T) {
	for _, c := range []struct{ deadlineMicros, countedMicros int64 }{{100_000, 100_000}, {2_000_000, 2_000_000}, {90_000_000, 3_000_000}, {0, 3_000_000}} {
		var site settings.Site
		text := fmt.Sprintf(`{"classes":[{"deadline":%d}]}`, c.deadlineMicros)
		if err := json.Unmarshal([]byte(text), &site); err != nil {
			t.Fatal(err)
		}
		killedAt := settings.Microseconds(c.countedMicros) + 700*time.Millisecond
		if end := drainTime + shutdownTime(&site); end != killedAt-finalResponseLead {
			t.Errorf("deadline %v: shutdown ends after %v, process is killed after %v", settings.Microseconds(c.deadlineMicros), end, killedAt)
		}
	}
}

// FuzzParseConfig checks that Parse returns an error or a usable configuration for any text.
func FuzzParseConfig(f *testing.F) {
	f.Add(configJSON("", ""))
	f.Fuzz(func(t *testing.T, b []byte) {
		if c, err := Parse("c", b, noEnvironment); err == nil {
			if _, err := netip.ParseAddrPort(c.DiscoveryAddr); err != nil || c.Bounds.RequiredDescriptors() > c.Bounds.DescriptorLimit {
				t.Fatalf("%q: %+v", b, c)
			}
		}
	})
}
