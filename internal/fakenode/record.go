package fakenode

import (
	"bufio"
	"encoding/json"
	"errors"
	"os"
)

// Entry is the record of one request as the node received it, a line of the record file. Times are
// microseconds of Unix time; 0 means that the event did not occur.
type Entry struct {
	Node           string  `json:"node"`
	RequestID      string  `json:"request"`         // X-Request-Id
	Attempt        int     `json:"attempt"`         // Maddergap-Attempt; 0 if missing
	Traceparent    string  `json:"trace,omitempty"` // Traceparent, or another ID that the request carries
	Method         string  `json:"method"`
	Path           string  `json:"path"`
	IdempotencyKey string  `json:"key,omitempty"` // Idempotency-Key
	Units          float64 `json:"units"`
	ReceivedAt     int64   `json:"in"`              // when the header had been read
	ExecutedAt     int64   `json:"ran,omitempty"`   // when the request had taken effect
	StartedAt      int64   `json:"start,omitempty"` // when a core began to process the request
	RespondedAt    int64   `json:"out,omitempty"`   // when the response had been written
	Status         int     `json:"status,omitempty"`
	BodyIncomplete bool    `json:"half,omitempty"` // set if the body could not be read to its end
	WarmingUp      bool    `json:"cold,omitempty"` // set if the node was warming up when it had read the request
	Overloaded     bool    `json:"fell,omitempty"` // set if the request overloaded the node, which then failed
	// Timeout is the time for which the gateway waits for the response, as announced in the
	// request, in microseconds; 0 if it is not announced.
	Timeout  int64  `json:"told,omitempty"`
	Sequence uint64 `json:"sequence"` // number in the order of arrival, from 1
}

// recorder keeps the record of a node. Entries of requests in progress are in memory, those of
// finished requests in a file or in memory. It is not safe for concurrent use: the node calls it
// with its mutex locked.
type recorder struct {
	discard      bool
	file         *os.File // nil if the record is kept in memory
	writer       *bufio.Writer
	finished     []Entry         // finished requests, if there is no file
	inProgress   map[*Entry]bool // nil once the recorder is closed
	lastSequence uint64          // sequence number of the last request
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

// begin adds a request to the requests in progress and sets its sequence number. Its entry may
// change until finish is called.
func (r *recorder) begin(e *Entry) {
	r.lastSequence++
	e.Sequence = r.lastSequence
	if r.inProgress != nil {
		r.inProgress[e] = true
	}
}

// finish writes the entry of a request, unless close has already written it.
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
	line, _ := json.Marshal(e)                // every value of an Entry can be encoded
	_, _ = r.writer.Write(append(line, '\n')) // Flush returns the error of an earlier Write
}

// entries returns the entries kept in memory: of the finished requests if there is no file, then of
// the requests in progress.
func (r *recorder) entries() []Entry {
	entries := append([]Entry(nil), r.finished...)
	for e := range r.inProgress {
		entries = append(entries, *e)
	}
	return entries
}

// close writes the entries of the requests in progress as they are and closes the file.
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
