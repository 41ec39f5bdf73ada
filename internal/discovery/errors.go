package discovery

import (
	"errors"
	"fmt"
)

// Errors of a call, for errors.Is. Status.LastError wraps one of them, a *StatusError, or the
// error of a response that is not HTTP/1.1.
var (
	// ErrNoResponse is a connection that did not come up, or a response that was not complete,
	// by the call's deadline.
	ErrNoResponse = errors.New("no response in time")
	// ErrConnectionLost is a connection that was refused, or closed by the other end.
	ErrConnectionLost = errors.New("connection lost")
	// ErrUnsolicitedData is data on a connection that carries no request.
	ErrUnsolicitedData = errors.New("data without a request")
	// ErrMalformedList is a response that is not an endpoint list, or lists an endpoint that
	// cannot be used.
	ErrMalformedList = errors.New("malformed endpoint list")
	// ErrListTooLarge is a list over one of the bounds on its bytes or its number of nodes.
	ErrListTooLarge = errors.New("endpoint list too large")
	// ErrStaleIndex is a list with a lower index than the one in force.
	ErrStaleIndex = errors.New("stale index of the endpoint list")
	// ErrUnexpectedList is a list that does not fit the call: changes in response to a call for
	// the full list, or a full list without any node.
	ErrUnexpectedList = errors.New("unexpected endpoint list")
	// ErrTooManyInterim is a response preceded by too many interim (1xx) responses.
	ErrTooManyInterim = errors.New("too many interim responses")
)

// StatusError is a response with a status other than 200.
type StatusError struct {
	Status int // as in the status line
}

func (e *StatusError) Error() string { return fmt.Sprintf("response with status %d", e.Status) }

// statusRejected is the status by which an overloaded service rejects a call.
const statusRejected = 503

// rejected reports whether an error is the rejection of a call by an overloaded service, which
// did no work for it.
func rejected(err error) bool {
	var status *StatusError
	return errors.As(err, &status) && status.Status == statusRejected
}

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %w", ErrMalformedList, fmt.Errorf(format, args...))
}

func tooLarge(format string, args ...any) error {
	return fmt.Errorf("%w: %w", ErrListTooLarge, fmt.Errorf(format, args...))
}
