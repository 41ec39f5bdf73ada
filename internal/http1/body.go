package http1

import (
	"bytes"
	"strconv"
)

// maxTrailer bounds chunk extensions and trailer fields; they are read and dropped.
const maxTrailer = 4 << 10

// BodyDecoder takes a message's body out of the bytes of its connection.
type BodyDecoder struct {
	left    int64 // of the body, or of the present chunk
	chunked bool
	toEnd   bool // it ends with the connection
	state   int
	line    []byte // a chunk's size or a trailer line, until it is complete
	skipped int
	done    bool
}

const (
	atSize = iota
	inData
	afterData
	inTrailer
)

// Reset makes the body that of a message.
func (b *BodyDecoder) Reset(m *Message) {
	*b = BodyDecoder{line: b.line[:0], left: m.ContentLength, chunked: m.Chunked, toEnd: !m.Chunked && m.ContentLength < 0}
	b.done = !b.chunked && m.ContentLength == 0
}

// Done tells whether the whole body was seen.
func (b *BodyDecoder) Done() bool { return b.done }

// UntilClose tells whether the connection's end is the body's.
func (b *BodyDecoder) UntilClose() bool { return b.toEnd }

// InputEnded tells the body that the connection ended, and returns whether it was whole.
func (b *BodyDecoder) InputEnded() bool {
	b.done = b.done || b.toEnd
	return b.done
}

// Next returns the next bytes of the body in p and what follows them. It makes
// progress whenever p is not empty and the body not done; data may be empty.
func (b *BodyDecoder) Next(p []byte) (data, rest []byte, err error) {
	switch {
	case b.done:
		return nil, p, nil
	case b.toEnd:
		return p, nil, nil
	case !b.chunked || b.state == inData:
		n := min(int64(len(p)), b.left)
		b.left -= n
		if b.left == 0 {
			b.done, b.state = !b.chunked, afterData
		}
		return p[:n], p[n:], nil
	}
	for len(p) > 0 && !b.done && b.state != inData {
		i := bytes.IndexByte(p, '\n')
		n := i + 1
		if i < 0 {
			n = len(p)
		}
		if b.skipped += n; b.skipped > maxTrailer {
			return nil, p, errTrailer
		}
		b.line = append(b.line, p[:n]...)
		if p = p[n:]; i < 0 {
			break
		}
		l := b.line[:len(b.line)-1]
		b.line = b.line[:0]
		if len(l) == 0 || l[len(l)-1] != '\r' || bytes.IndexByte(l[:len(l)-1], '\r') >= 0 {
			return nil, p, errChunk
		}
		if err := b.atLine(l[:len(l)-1]); err != nil {
			return nil, p, err
		}
	}
	return nil, p, nil
}

func (b *BodyDecoder) atLine(l []byte) error {
	switch b.state {
	case afterData:
		if len(l) != 0 {
			return errChunk
		}
		b.state, b.skipped = atSize, 0
	case atSize:
		if i := bytes.IndexByte(l, ';'); i >= 0 {
			l = bytes.TrimRight(l[:i], " \t")
		}
		size, ok := hex(l)
		if !ok {
			return errChunk
		}
		if b.left, b.state = size, inData; size == 0 {
			b.state = inTrailer
		}
	case inTrailer:
		b.done = len(l) == 0
	}
	return nil
}

func hex(l []byte) (n int64, ok bool) {
	if len(l) == 0 || len(l) > 15 {
		return 0, false
	}
	for _, c := range l {
		switch c = lower(c); {
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

// AppendChunk appends data as a chunk; no data appends nothing, as an empty
// chunk would end the body.
func AppendChunk(dst, data []byte) []byte {
	if len(data) == 0 {
		return dst
	}
	dst = strconv.AppendInt(dst, int64(len(data)), 16)
	dst = append(append(dst, "\r\n"...), data...)
	return append(dst, "\r\n"...)
}

// AppendLastChunk ends a chunked body.
func AppendLastChunk(dst []byte) []byte { return append(dst, "0\r\n\r\n"...) }

// AppendStatus appends a response's status line.
func AppendStatus(dst []byte, status int) []byte {
	dst = strconv.AppendInt(append(dst, "HTTP/1.1 "...), int64(status), 10)
	return append(append(append(dst, ' '), StatusText(status)...), "\r\n"...)
}

// AppendField appends a field line.
func AppendField(dst []byte, name string, value []byte) []byte {
	dst = append(append(dst, name...), ": "...)
	return append(append(dst, value...), "\r\n"...)
}

// AppendIntField appends a field line with a number.
func AppendIntField(dst []byte, name string, n int64) []byte {
	dst = strconv.AppendInt(append(append(dst, name...), ": "...), n, 10)
	return append(dst, "\r\n"...)
}

// AppendEndToEndFields appends the fields of a message that are not of one connection alone, nor
// of those named.
func AppendEndToEndFields(dst []byte, m *Message, but ...string) []byte {
	listed := m.Get("connection")
next:
	for i := range m.Fields {
		f := &m.Fields[i]
		if HopByHop(f.Name, listed) {
			continue
		}
		for _, name := range but {
			if EqualFold(f.Name, name) {
				continue next
			}
		}
		dst = append(append(append(dst, f.Name...), ": "...), f.Value...)
		dst = append(dst, "\r\n"...)
	}
	return dst
}
