package flood

import (
	"encoding/json"
	"errors"
	"net/http"
	"testing"
	"time"
)

// A flood in a process of its own prints its statistics as JSON, under keys that differ from the
// names of the fields.
func TestStatsJSON(t *testing.T) {
	stats := newStats()
	stats.Attempts, stats.Connected, stats.Served, stats.Rejected, stats.Closed, stats.Unreachable = 6, 5, 4, 3, 2, 1
	got, err := json.Marshal(stats)
	if err != nil {
		t.Fatal(err)
	}
	const want = `{"Tries":6,"Connected":5,"Served":4,"Refused":3,"Closed":2,"Unreached":1}`
	if string(got) != want {
		t.Errorf("%s, want %s", got, want)
	}
}

// A well-behaved client makes four attempts: one fails to connect, one is served, one is rejected,
// and the connection of one is lost before a response. Only the served one has a response time.
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
		t.Errorf("%d attempts, %d connected, %d unreachable", stats.Attempts, stats.Connected, stats.Unreachable)
	}
	if stats.Served != 1 || stats.Rejected != 1 || stats.Closed != 1 {
		t.Errorf("%d served, %d rejected, %d closed", stats.Served, stats.Rejected, stats.Closed)
	}
	if stats.ConnectTime.TotalCount() != 3 || stats.ResponseTime.TotalCount() != 1 {
		t.Errorf("%d connect times, %d response times", stats.ConnectTime.TotalCount(), stats.ResponseTime.TotalCount())
	}
}
