package platform

import "fmt"

// Bounds are the limits of an instance on descriptors and memory. newBounds derives them from the
// platform's limits.
type Bounds struct {
	// RuntimeMemoryBytes is the memory limit of the Go runtime.
	RuntimeMemoryBytes int64
	// DescriptorLimit is the platform's limit on open descriptors. The descriptors of all connections
	// and ReservedDescriptors together stay within it.
	DescriptorLimit int
	// MaxClientConns is the maximum number of admitted client connections.
	MaxClientConns int
	// IdlePressureConns is the number of client connections above which idle connections are closed
	// after idleTimeoutUnderPressure.
	IdlePressureConns int
	// MaxRejectionConns is the maximum number of rejected connections that are kept open until their
	// client has received the rejection response.
	MaxRejectionConns int
	// MaxNodeConns is the maximum number of connections to nodes.
	MaxNodeConns int
	// ReservedDescriptors is the number of descriptors for anything but client and node connections.
	ReservedDescriptors int
	// ClientBufferBytes is the capacity of all buffers from which on no further request begins. Responses
	// may take as much again; see admission.Buffers.
	ClientBufferBytes int64
	// MaxResponseBytes is the maximum size of one response. It has to be larger than the protocol
	// specifies, since nodes send responses that exceed that size.
	MaxResponseBytes int64
	// MaxBufferedResponseBytes is the maximum total size of the responses that are being buffered.
	// A response is buffered until it is complete.
	MaxBufferedResponseBytes int64
}

const (
	// acceptMargin is the number of connections that may be accepted beyond MaxClientConns. Each of
	// them is either rejected or admitted in place of another connection.
	acceptMargin = 8
	// maxRejectionConns is the value of Bounds.MaxRejectionConns.
	maxRejectionConns = 8
	// reservedDescriptors covers the listener, the standard streams, the descriptors of the event loop
	// and of the runtime's poller, and the connections to discovery.
	reservedDescriptors = 24
	// minConnDescriptors and minMemoryMB are the smallest values with which a gateway can serve.
	minConnDescriptors = 32
	minMemoryMB        = 16
	// runtimeMemoryFraction is the Go runtime's fraction of the platform's memory limit. The rest
	// covers memory that the runtime does not count, and times at which the runtime exceeds its own
	// limit. The platform kills a process that exceeds the platform's limit.
	runtimeMemoryFraction = 0.6
	// The runtime's memory divided by these is the limit of all client buffers, of all buffered
	// responses and of one response. Four responses of the largest size can be buffered at a time.
	clientBufferDivisor      = 4
	bufferedResponsesDivisor = 4
	maxResponseDivisor       = 16
	// idlePressureDivisor sets IdlePressureConns to a quarter of the descriptors. The platform lets
	// its clients occupy a third of them, so IdlePressureConns has to be lower.
	idlePressureDivisor = 4
	// minConnBufferBytes is the buffer space that each client connection can use at any time.
	minConnBufferBytes = 4 << 10
)

// newBounds derives the bounds from the platform's limits on open descriptors and on memory, in MiB.
// It returns an error if the limits are too low for a gateway to serve.
func newBounds(descriptors int, memoryMB float64) (Bounds, error) {
	b := Bounds{
		RuntimeMemoryBytes:  int64(memoryMB * runtimeMemoryFraction * (1 << 20)),
		DescriptorLimit:     descriptors,
		MaxRejectionConns:   maxRejectionConns,
		ReservedDescriptors: reservedDescriptors,
	}
	connDescriptors := descriptors - reservedDescriptors - acceptMargin - maxRejectionConns
	if connDescriptors < minConnDescriptors || memoryMB < minMemoryMB {
		return b, fmt.Errorf("limits: %d sockets or %v MB is less than a gateway needs", descriptors, memoryMB)
	}
	// Clients get the larger part: a node connection is in use only while an attempt is in flight, a
	// client connection also while a request waits and between requests.
	b.MaxClientConns = connDescriptors * 3 / 5
	b.MaxNodeConns = connDescriptors - b.MaxClientConns
	b.IdlePressureConns = descriptors / idlePressureDivisor
	b.MaxResponseBytes = b.RuntimeMemoryBytes / maxResponseDivisor
	b.MaxBufferedResponseBytes = b.RuntimeMemoryBytes / bufferedResponsesDivisor
	b.ClientBufferBytes = max(b.RuntimeMemoryBytes/clientBufferDivisor, int64(b.MaxClientConns)*minConnBufferBytes)
	return b, nil
}

// RequiredDescriptors returns the number of descriptors that are open when every bound is reached.
func (b Bounds) RequiredDescriptors() int {
	return b.MaxAcceptedConns() + b.MaxRejectionConns + b.MaxNodeConns + b.ReservedDescriptors
}

// MaxAcceptedConns returns the maximum number of open client connections. It includes connections
// that were accepted and are not yet admitted.
func (b Bounds) MaxAcceptedConns() int { return b.MaxClientConns + acceptMargin }
