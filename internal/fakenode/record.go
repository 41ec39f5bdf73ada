package fakenode

import (
	"bufio"
	"encoding/json"
	"errors"
	"os"
)

// Entry is one request as the node saw it, a line of its record. Times are microseconds of Unix
// time; 0: it did not come to that.
type Entry struct {
	Node           string  `json:"node"`
	RequestID      string  `json:"request"`         // X-Request-Id
	Attempt        int     `json:"attempt"`         // Maddergap-Attempt; 0: there was none
	Traceparent    string  `json:"trace,omitempty"` // or another id that the request carries
	Method         string  `json:"method"`
	Path           string  `json:"path"`
	IdempotencyKey string  `json:"key,omitempty"` // Idempotency-Key
	Units          float64 `json:"units"`
	ReceivedAt     int64   `json:"in"`              // its header was read
	ExecutedAt     int64   `json:"ran,omitempty"`   // it took effect
	StartedAt      int64   `json:"start,omitempty"` // a core began to process it
	RespondedAt    int64   `json:"out,omitempty"`   // its response was written
	Status         int     `json:"status,omitempty"`
	BodyIncomplete bool    `json:"half,omitempty"` // the connection ended within its body
	WarmingUp      bool    `json:"cold,omitempty"` // the node was, when it came
	Overloaded     bool    `json:"fell,omitempty"` // the node failed with it
	// Timeout is how long the gateway waits for the response, as it says in the request, in
	// microseconds; 0: it does not say.
	Timeout  int64  `json:"told,omitempty"`
	Sequence uint64 `json:"sequence"` // in the order of arrival, from 1
}

// recorder keeps the record of a node: of requests in progress in memory, of finished ones in a
// file or in memory. The caller locks it.
type recorder struct {
	discard    bool
	file       *os.File // nil: the record is kept in memory
	writer     *bufio.Writer
	finished   []Entry         // where there is no file
	inProgress map[*Entry]bool // nil: the recorder is closed
	sequence   uint64          // of the last request
}

func newRecorder(o *Options) (*recorder, error) {
	r := &recorder{discard: o.DiscardRecord, inProgress: map[*Entry]bool{}}
	if o.RecordFile == "" {
		return r, nil
	}
	file, err := os.Create(o.RecordFile)
	if err != nil {
		return nil, err
	}
	r.file = file
	r.writer = bufio.NewWriter(file)
	return r, nil
}

// begin numbers a request and adds it. Its entry may change until it is finished.
func (r *recorder) begin(e *Entry) {
	r.sequence++
	e.Sequence = r.sequence
	if r.inProgress != nil {
		r.inProgress[e] = true
	}
}

// finish writes the entry of a request, unless close has done so.
func (r *recorder) finish(e *Entry) {
	if !r.inProgress[e] {
		return
	}
	delete(r.inProgress, e)
	r.write(*e)
}

func (r *recorder) write(e Entry) {
	if r.discard {
		return
	}
	if r.writer == nil {
		r.finished = append(r.finished, e)
		return
	}
	line, _ := json.Marshal(e)                // an Entry has no value that JSON lacks
	_, _ = r.writer.Write(append(line, '\n')) // an error is kept for Flush
}

// entries returns the record, where there is no file, with the requests in progress.
func (r *recorder) entries() []Entry {
	entries := append([]Entry(nil), r.finished...)
	for e := range r.inProgress {
		entries = append(entries, *e)
	}
	return entries
}

// close writes the requests in progress as they are, and closes the file.
func (r *recorder) close() error {
	for e := range r.inProgress {
		r.write(*e)
	}
	r.inProgress = nil
	if r.file == nil {
		return nil
	}
	return errors.Join(r.writer.Flush(), r.file.Close())
}
