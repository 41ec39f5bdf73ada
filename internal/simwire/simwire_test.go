package simwire

import (
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"maddergap/scheduler"
)

// Verifies that each kind of value reaches its field. "-" stands for an empty value, an unknown outcome
// counts as failed, and the reported load of an attempt is derived from the load report.
func TestRead(t *testing.T) {
	input := "clock 8412250 12\n" +
		"registry head_3 C 41 1\nitem shelf_a 0 0 7 SERVING 1.5 6100000\n" +
		"job_in head_3 43 0 1 c:k 1 pre-c 240000 2 3 0\n" +
		"ended head_3 43 0 shelf_a done 18500 1 86 3 concurrent:7\n" +
		"ended head_3 43 1 shelf_a strange - 0 - - -\nbell head_3 w\nshutdown head_3\nover_to_you\n"
	r := NewReader(strings.NewReader(input))
	batch, err := r.Read()
	if err != nil {
		t.Fatal(err)
	}
	if batch.Time != 8412250*time.Microsecond || batch.Number != "12" || len(batch.Events) != 6 {
		t.Fatalf("got batch %+v, want time 8.41225s, number 12 and 6 events", batch)
	}
	want := []Event{
		{"head_3", Report{scheduler.EndpointUpdate{Full: true, Endpoints: []scheduler.Endpoint{
			{Node: "shelf_a", Shard: 7, State: scheduler.Serving, Started: 6100 * time.Millisecond}}}}},
		{"head_3", Report{scheduler.Arrival{ID: 43, Plan: 1, Key: "c:k", Volume: "pre-c", TimeRemaining: 240 * time.Millisecond, Units: 2, Instances: 3}}},
		{"head_3", AttemptReport{UnitsElsewhere: 3, LoadReport: map[string]float64{"concurrent": 7}, Event: scheduler.AttemptEnded{
			ID: 43, Node: "shelf_a", Duration: 18500 * time.Microsecond, Responded: true, ReportedLoad: 7, HasLoadReport: true}}},
		{"head_3", AttemptReport{Event: scheduler.AttemptEnded{ID: 43, Attempt: 1, Node: "shelf_a", Outcome: scheduler.Failed}}},
		{"head_3", Report{scheduler.TimerFired{}}},
		{"head_3", Stop{}},
	}
	for i, event := range batch.Events {
		if !reflect.DeepEqual(event, want[i]) {
			t.Errorf("event %d: got %+v, want %+v", i, event, want[i])
		}
	}
	if _, err := r.Read(); err != io.EOF {
		t.Errorf("at the end of the input: got %v, want EOF", err)
	}
}

// Verifies that malformed input is reported with its line number and, if a value is at fault, with the
// index of the value.
func TestReadMalformedInput(t *testing.T) {
	for _, c := range []struct{ name, input, want string }{
		{"no clock", "hello\n", "line 1: want a line of kind \"clock\" at the start of a batch"},
		{"clock is no number", "clock x 1\n", "line 1: value 1"},
		{"unknown message", "clock 1 1\nwhat head_1\n", "line 2: unknown message"},
		{"missing value", "clock 1 1\ndropped head_1\n", "line 2: dropped: value 2 is missing"},
		{"bad number", "clock 1 1\ndropped head_1 abc\n", "line 2: dropped: value 2"},
		{"too many values", "clock 1 1\ndropped head_1 2 3\n", "line 2: dropped: 1 values too many"},
		{"bad settings", "clock 1 1\nboot head_1 5 {\n", "line 2: boot: site settings"},
		{"missing item", "clock 1 1\nregistry head_1 F 1 1\nover_to_you\n", "line 3: expected an item"},
		{"truncated", "clock 1 1\nbell head_1 w\n", "line 3: input ends inside a batch"},
		{"cut inside a line", "clock 1 1\nbell hea", "line 2: input ends inside a batch"},
		{"bad report", "clock 1 1\nended head_3 43 0 s done 1 1 0 0 x:y\n", "line 2: ended: value 10"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := NewReader(strings.NewReader(c.input)).Read()
			if err == nil || !strings.HasPrefix(err.Error(), c.want) {
				t.Errorf("got %v, want %s...", err, c.want)
			}
		})
	}
}
