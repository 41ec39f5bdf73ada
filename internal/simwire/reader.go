package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"

	"maddergap/scheduler"
)

// bufferSize is the size of the read buffer and of the write buffer, in bytes.
const bufferSize = 1 << 20

// Batch holds the events of one point in simulated time.
type Batch struct {
	Time   scheduler.Time
	Number string // sent back at the end of the reply, see Writer.EndBatch
	Events []Event
}

// SyntaxError reports input that does not follow the protocol.
type SyntaxError struct {
	Line int // line number, from 1
	Err  error
}

func (e *SyntaxError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the error without the line number.
func (e *SyntaxError) Unwrap() error { return e.Err }

// ErrTruncated is wrapped in the SyntaxError for input that ends inside a batch.
var ErrTruncated = errors.New("input ends inside a batch")

// Reader reads the batches that the simulator sends.
type Reader struct {
	input *bufio.Reader
	line  int // number of the last complete line that was read
}

// NewReader returns a Reader of the simulator's output.
func NewReader(input io.Reader) *Reader {
	return &Reader{input: bufio.NewReaderSize(input, bufferSize)}
}

// Read returns the next batch. It returns io.EOF if the input ends after a complete batch. Any other
// error is a *SyntaxError; if the input cannot be read, it wraps the error of the read.
func (r *Reader) Read() (Batch, error) {
	firstLine, err := r.nextLine()
	if err == io.EOF {
		return Batch{}, err
	}
	var batch Batch
	if err == nil {
		batch, err = r.readBatch(firstLine)
	}
	if err == io.EOF || errors.Is(err, io.ErrUnexpectedEOF) {
		return batch, &SyntaxError{Line: r.line + 1, Err: ErrTruncated}
	}
	if err != nil {
		return batch, &SyntaxError{Line: r.line, Err: err}
	}
	return batch, nil
}

// nextLine returns the next line without its line break. The error is io.EOF at the end of the input,
// or io.ErrUnexpectedEOF if the last line has no line break.
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

// readBatch reads the rest of the batch that begins with firstLine.
func (r *Reader) readBatch(firstLine string) (batch Batch, err error) {
	f := newFields(firstLine)
	if f.text() != kindBatch {
		return batch, fmt.Errorf("want a line of kind \"clock\" at the start of a batch, got %.40q", firstLine)
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
		if line == kindBatchEnd {
			return batch, nil
		}
		event, err := r.readEvent(line)
		if err != nil {
			return batch, err
		}
		batch.Events = append(batch.Events, event)
	}
}

// readEvent parses an event line and reads the endpoint lines that follow it.
func (r *Reader) readEvent(line string) (Event, error) {
	event, endpoints, err := parseEvent(line)
	if err != nil || endpoints == 0 {
		return event, err
	}
	list, err := r.readEndpoints(endpoints)
	if err != nil {
		return event, err
	}
	update := event.Message.(Report).Event.(scheduler.EndpointUpdate) // no other event has endpoint lines
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
