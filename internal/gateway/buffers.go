package gateway

// Limits on the free buffers and requests that are kept for reuse. Anything beyond them is
// left to the garbage collector, so that memory allocated under peak load is released.
const (
	maxPooled          = 256      // number of free buffers, and of free requests
	maxPooledBuffer    = 64 << 10 // capacity in bytes of the largest buffer that is kept
	initialBufferBytes = 2 << 10  // capacity of a new buffer
)

// bufferPool holds the free buffers. It also counts the buffered bytes for which there is a
// limit over all connections.
type bufferPool struct {
	free [][]byte

	clientBytes   int64 // bytes buffered for all client connections; see accountClientBytes
	responseBytes int64 // bytes of the responses that are buffered until they are complete
}

// get returns an empty buffer. The caller returns it with put.
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

// put returns a buffer that is no longer in use to the pool. A nil buffer is ignored.
func (p *bufferPool) put(b []byte) {
	if cap(b) > 0 && cap(b) <= maxPooledBuffer && len(p.free) < maxPooled {
		p.free = append(p.free, b[:0])
	}
}
