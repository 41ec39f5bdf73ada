package http1

import "fmt"

// Error reports why a message is rejected.
type Error struct {
	Status int    // status of the response to the client
	Reason string // sent to the client in the body of that response
}

func (e *Error) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Reason) }

// Errors of parsing. They are allocated once, so that a flood of malformed requests causes no
// allocations.
var (
	errBareLineBreak      = &Error{400, "a bare CR or LF in the header"}
	errRequestLine        = &Error{400, "the request line is not METHOD SP TARGET SP VERSION"}
	errStatusLine         = &Error{502, "the status line is malformed"}
	errVersion            = &Error{505, "only HTTP/1.0 and HTTP/1.1 are spoken"}
	errTarget             = &Error{400, "the request target is malformed"}
	errTargetTooLong      = &Error{414, "the request target is too long"}
	errFoldedLine         = &Error{400, "a folded header line (obs-fold)"}
	errField              = &Error{400, "a header field is malformed"}
	errTooManyFields      = &Error{431, "too many header fields"}
	errHeaderTooLong      = &Error{431, "the header is too long"}
	errHost               = &Error{400, "want exactly one Host"}
	errContentLength      = &Error{400, "two lengths that differ, or a length that is no number"}
	errLengthAndCoding    = &Error{400, "both Content-Length and Transfer-Encoding"}
	errUnknownCoding      = &Error{501, "the only transfer coding known is chunked"}
	errCodingInHTTP10     = &Error{400, "Transfer-Encoding in HTTP/1.0"}
	errUnknownExpectation = &Error{417, "the only expectation known is 100-continue"}
	errChunk              = &Error{400, "a chunk is malformed"}
	errTrailerTooLong     = &Error{431, "the trailer is too long"}
)
