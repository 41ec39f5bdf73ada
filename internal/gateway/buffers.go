package gateway

// buffer returns an empty buffer; done with it, release takes it back.
func (h *Gateway) buffer() []byte {
	if n := len(h.bufferPool); n > 0 {
		b := h.bufferPool[n-1]
		h.bufferPool = h.bufferPool[:n-1]
		return b
	}
	return make([]byte, 0, 2048)
}

// Buffers kept for use again: few and small, lest a surge's memory stay for good.
const (
	keepBufs = 256
	keepSize = 64 << 10
)

func (h *Gateway) release(b []byte) {
	if cap(b) > 0 && cap(b) <= keepSize && len(h.bufferPool) < keepBufs {
		h.bufferPool = append(h.bufferPool, b[:0])
	}
}
