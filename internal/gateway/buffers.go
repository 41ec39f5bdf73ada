package gateway

import (
	"unsafe"

	"maddergap/internal/http1"
)

// Limits on the free buffers and requests that are kept for reuse. Anything beyond them is
// left to the garbage collector, so that memory allocated under peak load is released.
const (
	maxPooled          = 256      // number of free buffers of each class, and of free requests
	maxPooledBuffer    = 64 << 10 // capacity in bytes of the largest buffer that is kept
	maxSmallBuffer     = 8 << 10  // capacity in bytes of the largest buffer of the class for headers and small messages
	initialBufferBytes = 2 << 10  // capacity of a new buffer
	maxFreeBytes       = 16 << 20 // capacity in bytes of all free buffers
	freeBytesDivisor   = 8        // fraction of the limit on all buffers that may be free
	fieldBytes         = int64(unsafe.Sizeof(http1.Field{}))
)

// bufferPool owns the buffers of all connections, requests and responses, in both directions. It counts
// their capacity, which is the memory that they occupy, whatever is in them. A buffer is counted while
// it is in use, which is from set to release, and while it is free.
//
// There are two classes of free buffers. Without them, a header of some hundred bytes could occupy a
// buffer that a body had grown.
type bufferPool struct {
	small, large [][]byte
	freeBytes    int64 // capacity of small and large
	maxFreeBytes int64

	usedBytes     int64 // capacity of the buffers in use
	responseBytes int64 // capacity of the responses that are buffered until they are complete
}

// setLimit sets the limit on all buffers, on which the size of the free ones depends; 0: no limit.
func (p *bufferPool) setLimit(totalBytes int64) {
	p.maxFreeBytes = maxFreeBytes
	if totalBytes > 0 {
		p.maxFreeBytes = min(p.maxFreeBytes, totalBytes/freeBytesDivisor)
	}
}

// totalBytes returns the capacity of all buffers, in use and free.
func (p *bufferPool) totalBytes() int64 { return p.usedBytes + p.freeBytes }

// get returns an empty buffer for size bytes. It counts once it is passed to set.
func (p *bufferPool) get(size int) []byte {
	free := p.classFor(size)
	if n := len(*free); n > 0 && cap((*free)[n-1]) >= size {
		b := (*free)[n-1]
		*free = (*free)[:n-1]
		p.freeBytes -= int64(cap(b))
		return b
	}
	return make([]byte, 0, max(size, initialBufferBytes))
}

// orNew returns b, or an empty buffer for about size bytes if b is nil.
func (p *bufferPool) orNew(b []byte, size int) []byte {
	if b == nil {
		return p.get(size)
	}
	return b
}

// set assigns a buffer to a variable of its user, and counts the change of the variable's capacity.
func (p *bufferPool) set(variable *[]byte, b []byte) {
	p.usedBytes += int64(cap(b)) - int64(cap(*variable))
	*variable = b
}

// append adds data to the buffer of a variable. A buffer that is too small is replaced by one of at least
// twice its capacity, and reused, so that a long message that comes in many pieces leaves little garbage.
// expected is the length that the message will have; -1: not known.
func (p *bufferPool) append(variable *[]byte, data []byte, expected int64) {
	needed := len(*variable) + len(data)
	if needed > cap(*variable) {
		size := 2 * cap(*variable)
		if expected >= 0 {
			size = int(min(int64(size), expected))
		}
		grown := append(p.get(max(needed, size)), *variable...)
		p.release(variable)
		p.set(variable, grown)
	}
	p.set(variable, append(*variable, data...))
}

// release takes back the buffer of a variable, and sets the variable to nil.
func (p *bufferPool) release(variable *[]byte) {
	b := *variable
	p.set(variable, nil)
	capacity := cap(b)
	if capacity == 0 || capacity > maxPooledBuffer || p.freeBytes+int64(capacity) > p.maxFreeBytes {
		return
	}
	if free := p.classFor(capacity); len(*free) < maxPooled {
		*free = append(*free, b[:0])
		p.freeBytes += int64(capacity)
	}
}

// classFor returns the free buffers for a size or capacity.
func (p *bufferPool) classFor(size int) *[][]byte {
	if size <= maxSmallBuffer {
		return &p.small
	}
	return &p.large
}

// countFields counts the field table of a message. counted is what was counted for it before.
func (p *bufferPool) countFields(counted *int64, fields []http1.Field) {
	size := int64(cap(fields)) * fieldBytes
	p.usedBytes += size - *counted
	*counted = size
}
