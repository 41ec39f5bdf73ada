package admission

// The limits on the memory of all buffers; see Buffers.

// shortRequestsDivisor is the part of the buffers that is kept for requests without a long body, so that
// clients with long ones do not keep all others from being served.
const shortRequestsDivisor = 4

// maxBuffered returns the size of all buffers, in bytes, from which on no further request may
// begin. The share of the reserved connections is for known clients only.
func (a *Admission) maxBuffered(known, long bool) int64 {
	total := a.config.Buffers.TotalBytes
	if !known {
		total = total / int64(a.config.MaxConns) * int64(a.config.MaxConns-a.config.Reserve)
	}
	if long {
		total -= total / shortRequestsDivisor
	}
	return total
}

// BufferAllowance returns how many bytes one connection may buffer: bound, or at most
// MinConnBytes if buffered, the size of the buffers of all connections in bytes, has reached
// TotalBytes. The minimum keeps connections from waiting for each other's buffers in a deadlock.
func (a *Admission) BufferAllowance(buffered int64, bound int) int {
	b := &a.config.Buffers
	if b.TotalBytes > 0 && buffered >= b.TotalBytes {
		return min(bound, b.MinConnBytes)
	}
	return bound
}

// Limits on the size of all buffers, as multiples of Buffers.TotalBytes. Memory for requests that are
// still arriving is the first to run out: such a request can be rejected without harm. Memory for
// responses is the last, since their requests have run.
const (
	receivingDivisor = 2
	responseMultiple = 2
)

// ReceivingExceeded reports whether the requests that are still arriving occupy too much memory, so that
// the caller has to reject the oldest of them. They get a part of TotalBytes only, so that slow clients
// do not keep others from beginning a request.
func (a *Admission) ReceivingExceeded(receiving int64) bool {
	total := a.config.Buffers.TotalBytes
	return total > 0 && receiving > total/receivingDivisor
}

// MayBufferPipelined reports whether requests that follow the one under way may be buffered, given the
// size of all buffers in bytes.
func (a *Admission) MayBufferPipelined(buffered int64) bool {
	total := a.config.Buffers.TotalBytes
	return total <= 0 || buffered < total
}

// MayBufferResponse reports whether a node's response may be buffered further, given the size of all
// buffers in bytes.
func (a *Admission) MayBufferResponse(buffered int64) bool {
	total := a.config.Buffers.TotalBytes
	return total <= 0 || buffered <= responseMultiple*total
}
