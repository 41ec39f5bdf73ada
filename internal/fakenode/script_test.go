package fakenode

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// A script that was written is read again as it was: scenarios hand their faults to node processes
// this way.
func TestScriptRoundTrip(t *testing.T) {
	steps := []Step{
		{Fault: Silent, From: 0, To: time.Second},
		{Fault: Pause, From: 1500 * time.Millisecond, To: 2 * time.Second},
		{Fault: Slow, From: time.Second, To: 3 * time.Second, Factor: 2.5},
		{Fault: Refuse, From: time.Second, To: 2 * time.Second},
		{Fault: Reset, From: 4 * time.Second, To: 5 * time.Second},
		{Fault: Restart, From: time.Minute, To: 2 * time.Minute},
	}
	var text strings.Builder
	for _, step := range steps {
		text.WriteString(step.String() + "\n")
	}
	got, err := ParseScript("script", []byte(text.String()))
	if err != nil || !slices.Equal(got, steps) {
		t.Errorf("%v, %v, want %v", got, err, steps)
	}
}

// Each mistake in a script is reported with its line.
func TestScriptMistakes(t *testing.T) {
	for _, test := range []struct{ name, line, want string }{
		{"another directive", "at 1s to 2s silent", "unknown directive"},
		{"no end", "from 1s", "script:1"},
		{"another fault", "from 1s to 2s tired", `fault is "tired"`},
		{"ends before it starts", "from 2s to 1s silent", "not after its start"},
		{"slow without a factor", "from 1s to 2s slow", "a factor of 1 or more"},
		{"slow that is faster", "from 1s to 2s slow 0.5", "a factor of 1 or more"},
		{"a word too many", "from 1s to 2s silent 3", "script:1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			script, err := ParseScript("script", []byte(test.line+"\n"))
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("%v, %v, want %q", script, err, test.want)
			}
		})
	}
}
