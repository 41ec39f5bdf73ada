package flood

import (
	"encoding/json"
	"errors"
	"net/http"
	"testing"
	"time"
)

// Verifies the JSON keys of the statistics, which differ from the field names. A flood in a separate
// process passes its statistics to its parent in this form.
func TestStatsJSON(t *testing.T) {
	stats := newStats()
	stats.Attempts, stats.Connected, stats.Served, stats.Rejected, stats.Closed, stats.Unreachable = 6, 5, 4, 3, 2, 1
	got, err := json.Marshal(stats)
	if err != nil {
		t.Fatal(err)
	}
	const want = `{"Tries":6,"Connected":5,"Served":4,"Refused":3,"Closed":2,"Unreached":1}`
	if string(got) != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// Verifies the statistics of a well-behaved client with four attempts: one fails to connect, one is
// served, one is rejected, and one loses its connection before the response. Only the served request has
// a response time.
func TestStatsOfClient(t *testing.T) {
	stats := newStats()
	stats.addUnreachable()
	for _, response := range []struct {
		status int
		err    error
	}{
		{http.StatusOK, nil},
		{http.StatusServiceUnavailable, nil},
		{0, errors.New("connection reset")},
	} {
		stats.addConnected(time.Millisecond)
		stats.addResponse(response.status, response.err, time.Millisecond)
	}
	if stats.Attempts != 4 || stats.Connected != 3 || stats.Unreachable != 1 {
		t.Errorf("got %d attempts, %d connected, %d unreachable; want 4, 3 and 1", stats.Attempts, stats.Connected, stats.Unreachable)
	}
	if stats.Served != 1 || stats.Rejected != 1 || stats.Closed != 1 {
		t.Errorf("got %d served, %d rejected, %d closed; want 1 of each", stats.Served, stats.Rejected, stats.Closed)
	}
	if stats.ConnectTime.TotalCount() != 3 || stats.ResponseTime.TotalCount() != 1 {
		t.Errorf("got %d connect times, %d response times; want 3 and 1", stats.ConnectTime.TotalCount(), stats.ResponseTime.TotalCount())
	}
}
