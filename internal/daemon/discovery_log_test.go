package daemon

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"maddergap/internal/discovery"
)

// Discovery is silent for ten seconds, then sends lists that cannot be used, then recovers. The
// instance calls it many times meanwhile; the log has one line for each change and no more.
func TestOutageLogHasOneLineForEachChange(t *testing.T) {
	var b bytes.Buffer
	o := outageLog{log: slog.New(slog.NewTextHandler(&b, nil)), startedAt: time.Hour}
	status := discovery.Status{}
	for _, step := range []struct {
		name   string
		at     time.Duration // since the start
		change func()
		want   string // in the line that is logged, "" for none
	}{
		{"before the first response is late", 999 * time.Millisecond, nil, ""},
		{"no response at all", time.Second, nil, "discovery unavailable"},
		{"it goes on", 5 * time.Second, func() { status.CallsSent = 20 }, ""},
		{"a bad list", 6 * time.Second, func() { status.LastError = errors.New("stale") }, "error=stale"},
		{"the same again", 7 * time.Second, nil, ""},
		{"another bad list", 8 * time.Second, func() { status.LastError = errors.New("malformed") }, "error=malformed"},
		{"a good one", 10 * time.Second, func() { status.LastResponseAt = time.Hour + 10*time.Second }, `msg="discovery recovered"`},
		{"all is well", 10900 * time.Millisecond, nil, ""},
		{"silent again", 11 * time.Second, nil, "discovery unavailable"},
		{"a good one again", 12 * time.Second, func() { status.LastResponseAt = time.Hour + 12*time.Second }, `msg="discovery recovered"`},
		{"a watch is held", 20 * time.Second, func() { status.WatchHeldUntil = time.Hour + 24*time.Second }, ""},
		{"beyond its hold", 25 * time.Second, nil, "discovery unavailable"},
	} {
		if step.change != nil {
			step.change()
		}
		b.Reset()
		o.update(time.Hour+step.at, status)
		line := b.String()
		if strings.Count(line, "\n") > 1 || (line == "") != (step.want == "") || !strings.Contains(line, step.want) {
			t.Errorf("%s: logged %q, want %q", step.name, line, step.want)
		}
	}
}
