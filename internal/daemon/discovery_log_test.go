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

// Verifies that the log has exactly one line for each change, however often the instance calls
// discovery: discovery sends no usable list for ten seconds, recovers, and fails again after that.
// Silence while discovery may hold a watch is not logged as an outage.
func TestOutageLogHasOneLineForEachChange(t *testing.T) {
	var b bytes.Buffer
	o := outageLog{log: slog.New(slog.NewTextHandler(&b, nil)), startedAt: time.Hour}
	status := discovery.Status{}
	for _, step := range []struct {
		name   string
		at     time.Duration // since the start
		change func()
		want   string // text in the line that is logged; "" if no line is logged
	}{
		{"no response within outageAfter", 999 * time.Millisecond, nil, ""},
		{"no response for outageAfter", time.Second, nil, "discovery unavailable"},
		{"outage continues", 5 * time.Second, func() { status.CallsSent = 20 }, ""},
		{"unusable list", 6 * time.Second, func() { status.LastError = errors.New("stale") }, "error=stale"},
		{"same error again", 7 * time.Second, nil, ""},
		{"unusable list, other error", 8 * time.Second, func() { status.LastError = errors.New("malformed") }, "error=malformed"},
		{"usable list", 10 * time.Second, func() { status.LastResponseAt = time.Hour + 10*time.Second }, `msg="discovery recovered"`},
		{"no outage", 10900 * time.Millisecond, nil, ""},
		{"second outage", 11 * time.Second, nil, "discovery unavailable"},
		{"second recovery", 12 * time.Second, func() { status.LastResponseAt = time.Hour + 12*time.Second }, `msg="discovery recovered"`},
		{"watch is held", 20 * time.Second, func() { status.WatchHeldUntil = time.Hour + 24*time.Second }, ""},
		{"no response after the hold", 25 * time.Second, nil, "discovery unavailable"},
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
