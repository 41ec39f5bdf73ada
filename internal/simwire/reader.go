package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"

	"maddergap/scheduler"
)

// bufferSize is the size of the buffers for reading and writing, in bytes.
const bufferSize = 1 << 20

// Batch is the events of one moment.
type Batch struct {
	Time   scheduler.Time
	Number string
	Events []Event
}

// SyntaxError is a line that is not of the protocol.
type SyntaxError struct {
	Line int // from 1
	Err  error
}

func (e *SyntaxError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns what is wrong with the line.
func (e *SyntaxError) Unwrap() error { return e.Err }

// ErrTruncated is the error of input that ends inside a batch.
var ErrTruncated = errors.New("input ends inside a batch")

// Reader reads batches.
type Reader struct {
	input *bufio.Reader
	line  int // number of the last line read
}

// NewReader returns a reader of the simulator's output.
func NewReader(input io.Reader) *Reader {
	return &Reader{input: bufio.NewReaderSize(input, bufferSize)}
}

// Read returns the next batch, io.EOF at the end of the input, or a *SyntaxError.
func (r *Reader) Read() (Batch, error) {
	first, err := r.nextLine()
	if err == io.EOF {
		return Batch{}, err
	}
	var batch Batch
	if err == nil {
		batch, err = r.readBatch(first)
	}
	if err == io.EOF || errors.Is(err, io.ErrUnexpectedEOF) {
		return batch, &SyntaxError{Line: r.line + 1, Err: ErrTruncated}
	}
	if err != nil {
		return batch, &SyntaxError{Line: r.line, Err: err}
	}
	return batch, nil
}

// nextLine returns the next line, io.EOF at the end, or io.ErrUnexpectedEOF inside a line.
func (r *Reader) nextLine() (string, error) {
	line, err := r.input.ReadString('\n')
	if err == io.EOF && line != "" {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return "", err
	}
	r.line++
	return strings.TrimRight(line, "\r\n"), nil
}

func (r *Reader) readBatch(first string) (batch Batch, err error) {
	f := newFields(first)
	if f.text() != wordBatch {
		return batch, fmt.Errorf("a batch starts with clock, got %.40q", first)
	}
	batch.Time, batch.Number = f.duration(), f.text()
	if err := f.done(); err != nil {
		return batch, err
	}
	for {
		line, err := r.nextLine()
		if err != nil {
			return batch, err
		}
		if line == wordBatchEnd {
			return batch, nil
		}
		event, err := r.readEvent(line)
		if err != nil {
			return batch, err
		}
		batch.Events = append(batch.Events, event)
	}
}

// readEvent reads an event and the endpoint lines that follow it.
func (r *Reader) readEvent(line string) (Event, error) {
	event, endpoints, err := parseEvent(line)
	if err != nil || endpoints == 0 {
		return event, err
	}
	list, err := r.readEndpoints(endpoints)
	if err != nil {
		return event, err
	}
	update := event.Message.(Report).Event.(scheduler.EndpointUpdate) // alone has endpoint lines
	update.Endpoints = list
	event.Message = Report{update}
	return event, nil
}

func (r *Reader) readEndpoints(count int) (list []scheduler.Endpoint, err error) {
	for range count {
		line, err := r.nextLine()
		if err != nil {
			return nil, err
		}
		endpoint, err := parseEndpoint(line)
		if err != nil {
			return nil, err
		}
		list = append(list, endpoint)
	}
	return list, nil
}
