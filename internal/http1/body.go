package http1

import "bytes"

const (
	// maxSkippedBytes bounds the bytes of a chunked body that are read and dropped: chunk
	// sizes with their extensions, and the trailer.
	maxSkippedBytes = 4 << 10
	// maxHexDigits is how many digits of a chunk's size fit into an int64 whatever they are.
	maxHexDigits = 15
)

// bodyFraming is what marks the end of a body.
type bodyFraming uint8

const (
	byLength  bodyFraming = iota // after ContentLength bytes
	byChunks                     // after the last chunk and the trailer
	byClosing                    // at the end of the connection
)

// chunkState is where a decoder stands in a chunked body.
type chunkState uint8

const (
	atChunkSize chunkState = iota
	inChunkData
	afterChunkData // at the line break that ends a chunk
	inTrailer
)

// BodyDecoder takes a message's body out of the bytes of its connection. Reset begins one.
type BodyDecoder struct {
	framing bodyFraming
	done    bool
	left    int64 // bytes of the body, or of the present chunk
	chunk   chunkState
	line    []byte // of a chunk's size or the trailer, until it is complete
	skipped int    // bytes since the last chunk's data; see maxSkippedBytes
}

// Reset begins the body of a message.
func (b *BodyDecoder) Reset(m *Message) {
	*b = BodyDecoder{line: b.line[:0], left: m.ContentLength}
	switch {
	case m.Chunked:
		b.framing = byChunks
	case m.ContentLength < 0:
		b.framing = byClosing
	default:
		b.done = m.ContentLength == 0
	}
}

// Done tells whether the body is complete.
func (b *BodyDecoder) Done() bool { return b.done }

// UntilClose tells whether the body ends with the connection.
func (b *BodyDecoder) UntilClose() bool { return b.framing == byClosing }

// InputEnded reports the end of the connection and returns whether the body is complete.
func (b *BodyDecoder) InputEnded() bool {
	b.done = b.done || b.framing == byClosing
	return b.done
}

// Next returns the next bytes of the body in p, and the rest of p. Unless p is empty or the
// body done, it consumes some of p; data may be empty all the same. The error is an *Error.
func (b *BodyDecoder) Next(p []byte) (data, rest []byte, err error) {
	switch {
	case b.done:
		return nil, p, nil
	case b.framing == byClosing:
		return p, nil, nil
	case b.framing == byLength || b.chunk == inChunkData:
		data, rest = b.nextData(p)
		return data, rest, nil
	}
	rest, err = b.readChunkLines(p)
	return nil, rest, err
}

// nextData returns the bytes of p that are of the body, or of the present chunk.
func (b *BodyDecoder) nextData(p []byte) (data, rest []byte) {
	n := min(int64(len(p)), b.left)
	b.left -= n
	if b.left == 0 {
		b.done = b.framing == byLength
		b.chunk = afterChunkData
	}
	return p[:n], p[n:]
}

// readChunkLines reads what stands between the data of two chunks, or after the last one.
func (b *BodyDecoder) readChunkLines(p []byte) (rest []byte, err error) {
	for len(p) > 0 && !b.done && b.chunk != inChunkData {
		n := bytes.IndexByte(p, '\n') + 1
		complete := n > 0
		if !complete {
			n = len(p)
		}
		b.skipped += n
		if b.skipped > maxSkippedBytes {
			return p, errTrailerTooLong
		}
		b.line = append(b.line, p[:n]...)
		p = p[n:]
		if !complete {
			break
		}
		line := b.line[:len(b.line)-1]
		b.line = b.line[:0]
		if len(line) == 0 || line[len(line)-1] != '\r' || bytes.IndexByte(line[:len(line)-1], '\r') >= 0 {
			return p, errChunk
		}
		if err := b.applyLine(line[:len(line)-1]); err != nil {
			return p, err
		}
	}
	return p, nil
}

// applyLine takes a complete line, without its line break.
func (b *BodyDecoder) applyLine(line []byte) error {
	switch b.chunk {
	case afterChunkData:
		if len(line) != 0 {
			return errChunk
		}
		b.chunk, b.skipped = atChunkSize, 0
	case atChunkSize:
		return b.applyChunkSize(line)
	case inTrailer:
		b.done = len(line) == 0
	}
	return nil
}

// applyChunkSize takes a chunk's size; extensions are dropped. Size 0 is the last chunk.
func (b *BodyDecoder) applyChunkSize(line []byte) error {
	if i := bytes.IndexByte(line, ';'); i >= 0 {
		line = bytes.TrimRight(line[:i], optionalSpace)
	}
	size, ok := parseHex(line)
	if !ok {
		return errChunk
	}
	b.left, b.chunk = size, inChunkData
	if size == 0 {
		b.chunk = inTrailer
	}
	return nil
}

func parseHex(digits []byte) (n int64, ok bool) {
	if len(digits) == 0 || len(digits) > maxHexDigits {
		return 0, false
	}
	for _, c := range digits {
		switch c = toLower(c); {
		case '0' <= c && c <= '9':
			n = n<<4 | int64(c-'0')
		case 'a' <= c && c <= 'f':
			n = n<<4 | int64(c-'a'+10)
		default:
			return 0, false
		}
	}
	return n, true
}
