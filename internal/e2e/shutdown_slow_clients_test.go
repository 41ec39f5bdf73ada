package e2e

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"maddergap/internal/fakenode"
	"maddergap/internal/scriptednode"
)

// slowWriters sends requests slowly while an instance stops: the last pieces of them arrive one after the
// other around the time at which the instance aborts the remaining requests.
type slowWriters struct {
	instance *testInstance
	request  func(n int) string
	abortsIn time.Duration // from the stop to the abort of the remaining requests

	mu       sync.Mutex
	statuses map[int]int // number of responses by their status, 0 for none
}

const (
	slowWriterCount = 40
	// slowWritersLead is how long before the abort the first request is complete, and
	// slowWriterInterval the time between the ends of two requests.
	slowWritersLead    = 100 * time.Millisecond
	slowWriterInterval = 5 * time.Millisecond
	slowWriterPieces   = 4
)

// run stops the instance while the requests are being written, and returns after the last response.
func (w *slowWriters) run() {
	w.statuses = map[int]int{}
	begin := time.Now()
	end := begin.Add(w.abortsIn - slowWritersLead)
	var running sync.WaitGroup
	for n := range slowWriterCount {
		running.Go(func() { w.write(n, begin, end.Add(time.Duration(n)*slowWriterInterval)) })
	}
	time.Sleep(20 * time.Millisecond)
	w.instance.stop()
	running.Wait()
}

// write sends a request in pieces, the last one at end, and counts the response.
func (w *slowWriters) write(n int, begin, end time.Time) {
	c, responses := w.instance.send("")
	request := w.request(n)
	for piece := range slowWriterPieces {
		time.Sleep(time.Until(begin.Add(end.Sub(begin) * time.Duration(piece) / (slowWriterPieces - 1))))
		from, to := len(request)*piece/slowWriterPieces, len(request)*(piece+1)/slowWriterPieces
		if _, err := io.WriteString(c, request[from:to]); err != nil {
			break // the response may have come before
		}
	}
	status := 0
	if response, _, err := readResponse(responses, http.MethodPut); err == nil {
		status = response.StatusCode
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.statuses[status]++
}

// Regression test: a request that became complete in the last moments of a shutdown was sent to a node, and the
// process exited before it had a response.
func TestShutdownAnswersRequestsThatArriveSlowly(t *testing.T) {
	body := strings.Repeat("x", 2<<10)
	t.Run("platform", func(t *testing.T) {
		node := startPlatformNode(t, func(*http.Request) scriptednode.Response {
			time.Sleep(40 * time.Millisecond)
			return okResponse("fine")
		})
		instance := startPlatformReady(t, startDiscovery(t, node), platformOptions{})
		wantEachAnswered(t, &slowWriters{
			instance: instance.testInstance,
			// 0.5 s of draining, the longest deadline and 0.05 s.
			abortsIn: 500*time.Millisecond + 1500*time.Millisecond + 50*time.Millisecond,
			request: func(int) string {
				text := instance.newWrite(0, "1500m").text
				return strings.Replace(text, "Content-Length: 7\r\n\r\npayload", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body), 1)
			},
		}, http.StatusOK)
	})
	t.Run("WebDAV", func(t *testing.T) {
		_, addrs := startNodes(t, 1, fakenode.Options{UnitTime: 40 * time.Millisecond})
		instance := startWebDAVWithConfig(t, strings.Replace(webdavConfig, "stop-time 5s", "stop-time 300ms", 1), addrs...)
		wantEachAnswered(t, &slowWriters{
			instance: instance.testInstance,
			abortsIn: 300 * time.Millisecond,
			request:  func(n int) string { return putRequest(fmt.Sprint("/feed-a/", n), body) },
		}, http.StatusCreated)
	})
}

// wantEachAnswered runs the writers and checks that each got a response, some with the status of a request
// that was served, and some a rejection.
func wantEachAnswered(t *testing.T, w *slowWriters, served int) {
	t.Helper()
	w.run()
	if w.statuses[0] > 0 || w.statuses[served] == 0 || w.statuses[http.StatusServiceUnavailable] == 0 {
		t.Errorf("responses by status %v; want none without a response (0), some %d and some 503", w.statuses, served)
	}
}
