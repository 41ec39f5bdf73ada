package main

import (
	"strings"
	"testing"
)

const bootSite = `{"fleetSize":1,"classes":[{"target":150000,"effect":"retryable","gain":2}],` +
	`"grades":[{"shares":1,"valueFactor":1}],"unknown":{"x":1}}`

// runInput runs the adapter on an input and returns its output.
func runInput(t *testing.T, input string) string {
	t.Helper()
	var output strings.Builder
	if err := run(strings.NewReader(input), &output); err != nil {
		t.Fatal(err)
	}
	return output.String()
}

// Verifies that an instance's events are followed by its actions, that a start or stop discards the
// events before it in the batch, and that invalid settings are reported as a fault of the instance.
func TestRun(t *testing.T) {
	const boot = "boot head_0 5 " + bootSite + "\nregistry head_0 C 1 1\nitem s 0 0 0 SERVING 1 -\n"
	const arrival = " 0 0 k 0 vol 1000000 2 1 0\n"
	for _, c := range []struct{ name, input, want string }{
		{"empty batch", "clock 5 1\nover_to_you\n", "next 1\n"},
		{"a request is sent", "clock 5 1\n" + boot + "job_in head_0 7" + arrival + "over_to_you\n",
			"dispatch head_0 7 s 0\n"},
		{"stopped and started in one batch", "clock 5 1\n" + boot + "over_to_you\nclock 9 2\njob_in head_0 7" + arrival +
			"shutdown head_0\n" + boot + "job_in head_0 8" + arrival + "over_to_you\n", "dispatch head_0 8 s 0\n"},
		{"invalid settings", "clock 5 1\nboot head_0 5 {}\nover_to_you\n", "broken head_0 settings: Instances"},
		{"nothing after a stop", "clock 5 1\n" + boot + "shutdown head_0\nbell head_0 w\nover_to_you\n", "next 1\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := runInput(t, c.input)
			if !strings.Contains(got, c.want) || strings.Contains(got, "dispatch head_0 7") != (c.name == "a request is sent") {
				t.Errorf("got output %q, want %q in it, and a send of request 7 only where it is not discarded", got, c.want)
			}
		})
	}
}

// Verifies that a line that does not follow the protocol ends the run with an error that has the line
// number, and that no reply to the batch is written.
func TestMalformedInputIsAnError(t *testing.T) {
	var output strings.Builder
	err := run(strings.NewReader("clock 1 1\nnonsense head_0\n"), &output)
	if err == nil || !strings.Contains(err.Error(), "line 2") {
		t.Errorf("got error %v, want one that contains line 2", err)
	}
	if output.Len() > 0 {
		t.Errorf("got output %q, want none", output.String())
	}
}
