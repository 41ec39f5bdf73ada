package http1

import "strconv"

// AppendStatus appends the status line of a response.
func AppendStatus(dst []byte, status int) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, StatusText(status)...)
	return append(dst, "\r\n"...)
}

// AppendField appends a field line.
func AppendField(dst []byte, name string, value []byte) []byte {
	dst = append(dst, name...)
	dst = append(dst, ": "...)
	dst = append(dst, value...)
	return append(dst, "\r\n"...)
}

// AppendIntField appends a field line whose value is a decimal integer.
func AppendIntField(dst []byte, name string, n int64) []byte {
	dst = append(dst, name...)
	dst = append(dst, ": "...)
	dst = strconv.AppendInt(dst, n, 10)
	return append(dst, "\r\n"...)
}

// AppendEndToEndFields appends the field lines of a message that are to be forwarded. Hop-by-hop fields
// and the excluded names are left out.
func AppendEndToEndFields(dst []byte, m *Message, excluded ...string) []byte {
	connection := m.Get("connection")
	for i := range m.Fields {
		f := &m.Fields[i]
		if IsHopByHop(f.Name, connection) || equalFoldAny(f.Name, excluded) {
			continue
		}
		dst = append(dst, f.Name...)
		dst = append(dst, ": "...)
		dst = append(dst, f.Value...)
		dst = append(dst, "\r\n"...)
	}
	return dst
}

// equalFoldAny reports whether a field name equals one of the names, regardless of case.
func equalFoldAny(name []byte, names []string) bool {
	for _, candidate := range names {
		if EqualFold(name, candidate) {
			return true
		}
	}
	return false
}

// AppendChunk appends data as one chunk of a chunked body. It appends nothing for empty data, since an
// empty chunk would end the body.
func AppendChunk(dst, data []byte) []byte {
	if len(data) == 0 {
		return dst
	}
	dst = strconv.AppendInt(dst, int64(len(data)), 16)
	dst = append(dst, "\r\n"...)
	dst = append(dst, data...)
	return append(dst, "\r\n"...)
}

// AppendLastChunk appends the last chunk and an empty trailer, which end a chunked body.
func AppendLastChunk(dst []byte) []byte { return append(dst, "0\r\n\r\n"...) }
