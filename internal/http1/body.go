package http1

import "bytes"

const (
	// maxSkippedBytes limits the bytes between the data of two chunks, and after the last chunk. These
	// bytes are discarded: line breaks, chunk sizes with their extensions, and the trailer.
	maxSkippedBytes = 4 << 10
	// maxHexDigits is the maximum length of a chunk size. Any number of 15 digits fits into an int64.
	maxHexDigits = 15
)

// bodyFraming is the way in which the end of a body is determined.
type bodyFraming uint8

const (
	framedByLength bodyFraming = iota // after ContentLength bytes
	framedByChunks                    // after the last chunk and the trailer
	framedByClose                     // at the end of the connection
)

// chunkState is the position of a decoder within a chunked body.
type chunkState uint8

const (
	atChunkSize chunkState = iota
	inChunkData
	afterChunkData // at the line break after the data of a chunk
	inTrailer
)

// BodyDecoder extracts the body of a message from the bytes received on its connection. Reset must be
// called before each body.
type BodyDecoder struct {
	framing      bodyFraming
	done         bool       // set when the body is complete
	remaining    int64      // number of bytes that remain of the body, or of the data of the current chunk
	chunk        chunkState // valid for framedByChunks
	line         []byte     // beginning of an incomplete line: a chunk size or a line of the trailer
	skippedBytes int        // number of bytes since the data of the last chunk; see maxSkippedBytes
}

// Reset prepares the decoder for the body of a message.
func (b *BodyDecoder) Reset(m *Message) {
	*b = BodyDecoder{line: b.line[:0], remaining: m.ContentLength}
	switch {
	case m.Chunked:
		b.framing = framedByChunks
	case m.ContentLength < 0:
		b.framing = framedByClose
	default:
		b.done = m.ContentLength == 0
	}
}

// Done reports whether the body is complete.
func (b *BodyDecoder) Done() bool { return b.done }

// UntilClose reports whether the body ends with the connection.
func (b *BodyDecoder) UntilClose() bool { return b.framing == framedByClose }

// InputEnded must be called when the peer has ended the connection. It reports whether the body is
// complete.
func (b *BodyDecoder) InputEnded() bool {
	b.done = b.done || b.framing == framedByClose
	return b.done
}

// Next decodes the next part of p. It returns data, the bytes of the body in this part, and
// unconsumed, the bytes of p after it. Unless p is empty or the body is complete, it consumes at least
// one byte; data can still be empty. The error is an *Error.
func (b *BodyDecoder) Next(p []byte) (data, unconsumed []byte, err error) {
	switch {
	case b.done:
		return nil, p, nil
	case b.framing == framedByClose:
		return p, nil, nil
	case b.framing == framedByLength || b.chunk == inChunkData:
		data, unconsumed = b.nextData(p)
		return data, unconsumed, nil
	}
	unconsumed, err = b.readChunkLines(p)
	return nil, unconsumed, err
}

// nextData splits p at the end of the body or of the current chunk.
func (b *BodyDecoder) nextData(p []byte) (data, unconsumed []byte) {
	n := min(int64(len(p)), b.remaining)
	b.remaining -= n
	if b.remaining == 0 {
		b.done = b.framing == framedByLength
		b.chunk = afterChunkData
	}
	return p[:n], p[n:]
}

// readChunkLines parses the lines before the data of a chunk, and the trailer. A line may be
// split over several calls.
func (b *BodyDecoder) readChunkLines(p []byte) (unconsumed []byte, err error) {
	for len(p) > 0 && !b.done && b.chunk != inChunkData {
		n := bytes.IndexByte(p, '\n') + 1
		complete := n > 0
		if !complete {
			n = len(p)
		}
		b.skippedBytes += n
		if b.skippedBytes > maxSkippedBytes {
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

// applyLine processes a complete line, given without its line break.
func (b *BodyDecoder) applyLine(line []byte) error {
	switch b.chunk {
	case afterChunkData:
		if len(line) != 0 {
			return errChunk
		}
		b.chunk, b.skippedBytes = atChunkSize, 0
	case atChunkSize:
		return b.applyChunkSize(line)
	case inTrailer:
		b.done = len(line) == 0
	}
	return nil
}

// applyChunkSize processes the line with the size of a chunk. Extensions are ignored. The chunk of size
// 0 is the last one.
func (b *BodyDecoder) applyChunkSize(line []byte) error {
	if i := bytes.IndexByte(line, ';'); i >= 0 {
		line = bytes.TrimRight(line[:i], optionalSpace)
	}
	size, ok := parseHex(line)
	if !ok {
		return errChunk
	}
	b.remaining, b.chunk = size, inChunkData
	if size == 0 {
		b.chunk = inTrailer
	}
	return nil
}

// parseHex parses a hexadecimal number of up to maxHexDigits digits.
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
