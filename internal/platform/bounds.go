package platform

import "fmt"

// Bounds divide the platform's resource limits among the gateway's uses of them.
type Bounds struct {
	// RuntimeMemoryBytes is the memory limit of the Go runtime.
	RuntimeMemoryBytes int64
	// DescriptorLimit is the platform's limit of open descriptors; the counts below stay within it.
	DescriptorLimit int
	// MaxClientConns is the number of admitted client connections.
	MaxClientConns int
	// IdlePressureConns is the number of client connections above which idle ones are closed soon,
	// after idleTimeoutUnderPressure.
	IdlePressureConns int
	// MaxRejectionConns is the number of rejected connections that are open at a time, to take the
	// response that says so.
	MaxRejectionConns int
	// MaxNodeConns is the number of connections to nodes.
	MaxNodeConns int
	// ReservedDescriptors are for everything that is not a client's or node's connection.
	ReservedDescriptors int
	// ClientBufferBytes is the memory for what clients sent and have to be sent.
	ClientBufferBytes int64
	// MaxResponseBytes is the size of one response. Nodes send some that are larger than the
	// protocol says.
	MaxResponseBytes int64
	// MaxBufferedResponseBytes is the size of all responses that are buffered until they are
	// complete.
	MaxBufferedResponseBytes int64
}

const (
	// acceptMargin is the number of connections that are accepted beyond MaxClientConns: each is
	// rejected, or admitted in place of another.
	acceptMargin = 8
	// maxRejectionConns is Bounds.MaxRejectionConns.
	maxRejectionConns = 8
	// reservedDescriptors are the listener, the standard streams, those of the event loop and the
	// runtime's poller, and discovery's connections.
	reservedDescriptors = 24
	// minConnDescriptors and minMemoryMB are what a gateway needs to serve at all.
	minConnDescriptors = 32
	minMemoryMB        = 16
	// runtimeMemoryFraction is the runtime's share of the platform's memory limit. The rest is for
	// what the runtime does not count, and for its overshoot: beyond the platform's limit the
	// process is killed.
	runtimeMemoryFraction = 0.6
	// Clients' buffers, all buffered responses and one response have this part of the runtime's
	// memory each: one in so many. Four of the largest responses fit at a time.
	clientBufferPart      = 4
	bufferedResponsesPart = 4
	oneResponsePart       = 16
	// idlePressurePart is the part of the descriptors above which idle client connections are
	// closed soon. The platform lets its clients hold a third, so that it has to be less.
	idlePressurePart = 4
	// minConnBufferBytes is the buffer that each client connection can have at any time.
	minConnBufferBytes = 4 << 10
)

// newBounds divides the limits: descriptors is the platform's of open descriptors, memoryMB that
// of memory, in MiB. The error says that they are too low to serve.
func newBounds(descriptors int, memoryMB float64) (Bounds, error) {
	b := Bounds{
		RuntimeMemoryBytes:  int64(memoryMB * runtimeMemoryFraction * (1 << 20)),
		DescriptorLimit:     descriptors,
		MaxRejectionConns:   maxRejectionConns,
		ReservedDescriptors: reservedDescriptors,
	}
	connDescriptors := descriptors - reservedDescriptors - acceptMargin - maxRejectionConns
	if connDescriptors < minConnDescriptors || memoryMB < minMemoryMB {
		return b, fmt.Errorf("limits: %d sockets and %v MB are less than a gateway needs", descriptors, memoryMB)
	}
	// Clients have the larger part: a node connection is used only while an attempt is in flight, a
	// client's also by requests that wait and between requests.
	b.MaxClientConns = connDescriptors * 3 / 5
	b.MaxNodeConns = connDescriptors - b.MaxClientConns
	b.IdlePressureConns = descriptors / idlePressurePart
	b.MaxResponseBytes = b.RuntimeMemoryBytes / oneResponsePart
	b.MaxBufferedResponseBytes = b.RuntimeMemoryBytes / bufferedResponsesPart
	b.ClientBufferBytes = max(b.RuntimeMemoryBytes/clientBufferPart, int64(b.MaxClientConns)*minConnBufferBytes)
	return b, nil
}

// RequiredDescriptors returns how many descriptors are open with every bound reached.
func (b Bounds) RequiredDescriptors() int {
	return b.MaxAcceptedConns() + b.MaxRejectionConns + b.MaxNodeConns + b.ReservedDescriptors
}

// MaxAcceptedConns returns how many client connections may be open, those included that were
// accepted and are not admitted yet.
func (b Bounds) MaxAcceptedConns() int { return b.MaxClientConns + acceptMargin }
