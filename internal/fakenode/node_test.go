package fakenode

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// startNodeWithoutCleanup starts a node on a free port. The test itself has to close it.
func startNodeWithoutCleanup(t *testing.T, o Options) *Node {
	t.Helper()
	o.Listen = "127.0.0.1:0"
	o.Name = "n"
	node, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	return node
}

// startTestNode starts a node that is closed at the end of the test.
func startTestNode(t *testing.T, o Options) *Node {
	t.Helper()
	node := startNodeWithoutCleanup(t, o)
	t.Cleanup(func() { node.Close() })
	return node
}

// send sends a request on a new connection and returns the response and its body. headers lists
// header names and values alternately.
func send(node *Node, method, path, body string, headers ...string) (*http.Response, string, error) {
	request, err := http.NewRequest(method, "http://"+node.Addr()+path, strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

// waitFor waits until a condition holds and fails the test after 5 seconds. description names the
// condition in the failure message.
func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting: %s", description)
		}
	}
}

// Verifies that the record file has a line for each request, with the fields that identify the
// request, its units, and times in the order of processing. The requests are a write and a ranged
// read.
func TestRecordFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "record.jsonl")
	node := startNodeWithoutCleanup(t, Options{UnitBytes: 10, RecordFile: file})
	if response, _, err := send(node, "PUT", "/v/o", strings.Repeat("x", 35), "X-Request-Id", "r1", "Maddergap-Attempt", "2",
		"Traceparent", "trace", "Idempotency-Key", "k"); err != nil || response.StatusCode != http.StatusCreated {
		t.Fatal(response, err)
	}
	response, text, err := send(node, "GET", "/v/o", "", "Range", "bytes=0-19")
	if err != nil || response.StatusCode != http.StatusPartialContent || len(text) != 20 {
		t.Errorf("ranged GET: response %v, body %q, error %v; want status 206 and 20 bytes", response, text, err)
	}
	if got := response.Header.Get("endpoint-load-metrics"); got != "TEXT named_metrics.inflight=1" {
		t.Errorf("load report %q, want 1 request in flight", got)
	}
	if err := node.Close(); err != nil {
		t.Error(err)
	}
	entries := readRecord(t, file)
	if len(entries) != 2 {
		t.Fatalf("%+v", entries)
	}
	put, get := entries[0], entries[1]
	if put.Node != "n" || put.RequestID != "r1" || put.Attempt != 2 || put.Traceparent != "trace" || put.IdempotencyKey != "k" ||
		put.Method != "PUT" || put.Path != "/v/o" || put.Units != 4 || put.Status != 201 || put.Sequence != 1 {
		t.Errorf("%+v", put)
	}
	if get.Units != 2 || get.Sequence != 2 {
		t.Errorf("%+v", get)
	}
	for _, e := range entries {
		if e.ReceivedAt == 0 || e.StartedAt < e.ReceivedAt || e.ExecutedAt < e.StartedAt || e.RespondedAt < e.ExecutedAt {
			t.Errorf("times missing or out of order: %+v", e)
		}
	}
}

// readRecord returns the entries of a record file.
func readRecord(t *testing.T, name string) (entries []Entry) {
	t.Helper()
	file, err := os.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		var e Entry
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			t.Fatal(err)
		}
		entries = append(entries, e)
	}
	return entries
}

// Verifies that a request that arrives while the queue is full gets a 503 marked as not executed. A
// gateway may then send even a non-idempotent request to another node.
func TestQueueFull(t *testing.T) {
	node := startTestNode(t, Options{QueueLimit: 1, UnitTime: time.Second})
	go send(node, "PUT", "/v/first", "")
	waitFor(t, "the first request is processed", func() bool {
		entries := node.Entries()
		return len(entries) == 1 && entries[0].StartedAt > 0
	})
	response, _, err := send(node, "PUT", "/v/second", "")
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Maddergap-Ran") != "no" {
		t.Errorf("response %v, error %v; want status 503 with Maddergap-Ran: no", response, err)
	}
	for _, e := range node.Entries() {
		if e.Path == "/v/second" && (e.Status != 503 || e.ExecutedAt != 0) {
			t.Errorf("%+v", e)
		}
	}
}

// Verifies that a request is not executed if its body is larger than MaxBodyBytes or if the
// connection is closed before the end of the body.
func TestBodyNotExecuted(t *testing.T) {
	node := startTestNode(t, Options{MaxBodyBytes: 10})
	response, _, err := send(node, "PUT", "/v/large", strings.Repeat("x", 11))
	if err != nil || response.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("response %v, error %v; want status 413", response, err)
	}
	conn, err := net.Dial("tcp", node.Addr())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(conn, "PUT /v/half HTTP/1.1\r\nHost: n\r\nContent-Length: 10\r\n\r\nhalf")
	conn.Close()
	waitFor(t, "the node has recorded the incomplete body", func() bool {
		entries := node.Entries()
		return len(entries) == 2 && (entries[0].BodyIncomplete || entries[1].BodyIncomplete)
	})
	for _, e := range node.Entries() {
		if e.ExecutedAt != 0 {
			t.Errorf("%+v", e)
		}
	}
}

// Verifies that a node with the fault Silent or Reset executes a request and sends no response, so
// that the client does not know whether the request took effect.
func TestExecutedWithoutResponse(t *testing.T) {
	for _, fault := range []Fault{Silent, Reset} {
		node := startNodeWithoutCleanup(t, Options{Script: []Step{{Fault: fault, From: 0, To: time.Hour}}})
		result := make(chan error, 1)
		go func() {
			_, _, err := send(node, "PUT", "/v/o", "")
			result <- err
		}()
		waitFor(t, "the request is executed", func() bool {
			entries := node.Entries()
			return len(entries) == 1 && entries[0].ExecutedAt > 0
		})
		node.Close() // ends the request that a silent node leaves without a response
		if err := <-result; err == nil {
			t.Errorf("fault %v: the client got a response", fault)
		}
		if e := node.Entries()[0]; e.RespondedAt != 0 || e.Status != 0 {
			t.Errorf("fault %v: got entry %+v, want no response", fault, e)
		}
	}
}

// Verifies that a node refuses connections during a Refuse step and afterwards serves again at the
// same address with its objects kept.
func TestRefuse(t *testing.T) {
	const from, to = 500 * time.Millisecond, 700 * time.Millisecond
	started := time.Now()
	node := startTestNode(t, Options{Epoch: started, Script: []Step{{Fault: Refuse, From: from, To: to}}})
	if _, _, err := send(node, "PUT", "/v/o", "object"); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "a connection is refused", func() bool {
		_, _, err := send(node, "GET", "/v/o", "")
		return err != nil
	})
	if refused := time.Since(started); refused < from {
		t.Errorf("connection refused %v after the epoch, before the step begins", refused)
	}
	waitFor(t, "the node serves again", func() bool {
		_, text, err := send(node, "GET", "/v/o", "")
		return err == nil && text == "object"
	})
	if served := time.Since(started); served < to {
		t.Errorf("request served %v after the epoch, before the step ends", served)
	}
}

// Verifies the shortest time that a request of 100 ms may take: without a fault, during a pause
// and on a node that is three times slower.
func TestProcessingTime(t *testing.T) {
	for _, test := range []struct {
		name string
		step Step
		want time.Duration // minimum
	}{
		{"no fault", Step{Fault: Slow, From: time.Hour, To: 2 * time.Hour, Factor: 3}, 100 * time.Millisecond},
		{"pause", Step{Fault: Pause, From: 0, To: 300 * time.Millisecond}, 390 * time.Millisecond},
		{"slow", Step{Fault: Slow, From: 0, To: time.Hour, Factor: 3}, 300 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			started := time.Now()
			node := startTestNode(t, Options{Epoch: started, UnitTime: 100 * time.Millisecond, Script: []Step{test.step}})
			if _, _, err := send(node, "PUT", "/v/o", ""); err != nil {
				t.Fatal(err)
			}
			if took := time.Since(started); took < test.want {
				t.Errorf("request took %v, want at least %v", took, test.want)
			}
		})
	}
}

// Verifies that a node that is overloaded while it warms up fails permanently. It restarts with a
// tenth of its capacity and receives a request that would not overload it when warm; from then on
// it refuses connections.
func TestOverloadedWhileWarmingUp(t *testing.T) {
	node := startTestNode(t, Options{
		Script:          []Step{{Fault: Restart, From: 0, To: 50 * time.Millisecond}},
		UnitTime:        time.Millisecond,
		WarmupDuration:  time.Hour,
		InitialFraction: 0.1,
		OverloadFactor:  2,
		OverloadWindow:  10 * time.Millisecond, // at most 0.1 x 1000 units per second x 2 x 0.01 s = 2 units
		UnitBytes:       10,
	})
	waitFor(t, "the node serves after the restart", func() bool {
		_, _, err := send(node, "PUT", "/v/small", "")
		entries := node.Entries()
		return err == nil && entries[len(entries)-1].WarmingUp
	})
	time.Sleep(20 * time.Millisecond)
	send(node, "PUT", "/v/large", strings.Repeat("x", 30))
	overloaded := 0
	for _, e := range node.Entries() {
		if e.Overloaded {
			overloaded++
			if e.Path != "/v/large" || e.Units != 3 {
				t.Errorf("%+v", e)
			}
		}
	}
	if overloaded != 1 {
		t.Errorf("%d requests overloaded the node, want 1", overloaded)
	}
	waitFor(t, "the node refuses connections", func() bool {
		_, _, err := send(node, "GET", "/v/small", "")
		return err != nil
	})
	time.Sleep(50 * time.Millisecond)
	if _, _, err := send(node, "GET", "/v/small", ""); err == nil {
		t.Error("the node serves again after it has failed")
	}
}
