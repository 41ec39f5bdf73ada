package discovery

import (
	"errors"
	"fmt"
)

// Errors of a failed call, for use with errors.Is. Status.LastError wraps one of them, a
// *StatusError, or the error of a response that is not valid HTTP/1.1.
var (
	// ErrNoResponse means that the connection was not established, or the response not complete,
	// by the call's deadline.
	ErrNoResponse = errors.New("no response in time")
	// ErrConnectionLost means that the connection was refused, or closed by the server.
	ErrConnectionLost = errors.New("connection lost")
	// ErrUnsolicitedData means that the server sent data before a request was written.
	ErrUnsolicitedData = errors.New("data received before a request was sent")
	// ErrMalformedList means that the response is not an endpoint list, or that an endpoint in
	// it is unusable.
	ErrMalformedList = errors.New("malformed endpoint list")
	// ErrListTooLarge means that the list exceeds a limit on its bytes or its number of nodes.
	ErrListTooLarge = errors.New("endpoint list too large")
	// ErrStaleIndex means that the list has a lower index than the list in effect.
	ErrStaleIndex = errors.New("stale index of the endpoint list")
	// ErrUnexpectedList means that the list does not fit the request (changes in response to a
	// request for the full list), or is a full list without nodes.
	ErrUnexpectedList = errors.New("unexpected endpoint list")
	// ErrTooManyInterim means that too many interim (1xx) responses preceded the response.
	ErrTooManyInterim = errors.New("too many interim responses")
)

// StatusError is the error of a response with a status other than 200.
type StatusError struct {
	Status int // HTTP status code
}

func (e *StatusError) Error() string { return fmt.Sprintf("response with status %d", e.Status) }

// statusRejected is the HTTP status with which an overloaded service rejects a call.
const statusRejected = 503

// isRejection reports whether an error means that an overloaded service rejected the call. The
// service has done no work for such a call.
func isRejection(err error) bool {
	var status *StatusError
	return errors.As(err, &status) && status.Status == statusRejected
}

// malformed returns an error that wraps ErrMalformedList and gives the details.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %w", ErrMalformedList, fmt.Errorf(format, args...))
}

// tooLarge returns an error that wraps ErrListTooLarge and gives the details.
func tooLarge(format string, args ...any) error {
	return fmt.Errorf("%w: %w", ErrListTooLarge, fmt.Errorf(format, args...))
}
