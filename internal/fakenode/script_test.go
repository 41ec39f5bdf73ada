package fakenode

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// Verifies that ParseScript parses the text of Step.String back to the same steps. Scenarios pass
// the faults to node processes in this form.
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
		t.Errorf("got %v, error %v; want %v", got, err, steps)
	}
}

// Verifies that ParseScript reports each kind of mistake in a script.
func TestParseScriptErrors(t *testing.T) {
	for _, test := range []struct{ name, line, want string }{
		{"unknown directive", "at 1s to 2s silent", "unknown directive"},
		{"no end", "from 1s", "script:1"},
		{"unknown fault", "from 1s to 2s tired", `fault is "tired"`},
		{"ends before it starts", "from 2s to 1s silent", "not after its start"},
		{"slow without a factor", "from 1s to 2s slow", "a factor of 1 or more"},
		{"slow with a factor below 1", "from 1s to 2s slow 0.5", "a factor of 1 or more"},
		{"extra word", "from 1s to 2s silent 3", "script:1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			script, err := ParseScript("script", []byte(test.line+"\n"))
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got script %v, error %v; want an error that contains %q", script, err, test.want)
			}
		})
	}
}
