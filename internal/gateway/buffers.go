package gateway

// Free buffers and requests are kept for reuse up to these limits. What is above them is
// left to the garbage collector, so that the memory of a surge is not kept for good.
const (
	maxPooled          = 256      // buffers, and requests
	maxPooledBuffer    = 64 << 10 // bytes; a larger buffer is not kept
	initialBufferBytes = 2 << 10
)

// bufferPool has the free buffers, and counts the bytes in use that are limited over all
// connections.
type bufferPool struct {
	free [][]byte

	clientBytes   int64 // held for all client connections; see accountClientBytes
	responseBytes int64 // of responses that are buffered until they are complete
}

// get returns an empty buffer; put takes it back.
func (p *bufferPool) get() []byte {
	if n := len(p.free); n > 0 {
		b := p.free[n-1]
		p.free = p.free[:n-1]
		return b
	}
	return make([]byte, 0, initialBufferBytes)
}

// orNew returns b, or an empty buffer if b is nil.
func (p *bufferPool) orNew(b []byte) []byte {
	if b == nil {
		return p.get()
	}
	return b
}

// put takes back a buffer that is no longer in use. A nil buffer is ignored.
func (p *bufferPool) put(b []byte) {
	if cap(b) > 0 && cap(b) <= maxPooledBuffer && len(p.free) < maxPooled {
		p.free = append(p.free, b[:0])
	}
}
