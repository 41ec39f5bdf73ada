package http1

// Response is a parsed response header.
type Response struct {
	Message
	Status int
}

// ParseResponse parses a response header into r. method is the method of the request, on which the
// length of the body depends. block ends where HeaderEnd or FindHeaderEnd found the end of the header.
// The memory of r.Fields is reused. The error is an *Error.
func ParseResponse(block []byte, r *Response, method string, limits Limits) error {
	*r = Response{Message: Message{Fields: r.Fields[:0], ContentLength: -1}}
	if len(block) > limits.HeaderBytes {
		return errHeaderTooLong
	}
	line, rest, err := cutLine(block)
	if err != nil {
		return err
	}
	if err := r.parseStatusLine(line); err != nil {
		return err
	}
	if err := r.parseFields(rest, limits); err != nil {
		return err
	}
	// RFC 9112 6.3: these responses have no body, whatever their fields say.
	if method == "HEAD" || r.Status < 200 || r.Status == 204 || r.Status == 304 {
		r.ContentLength, r.Chunked = 0, false
	}
	if r.ContentLength < 0 && !r.Chunked {
		r.Close = true // the body ends with the connection
	}
	return nil
}

// parseStatusLine parses VERSION SP STATUS [SP REASON].
func (r *Response) parseStatusLine(line []byte) (err error) {
	const versionEnd, statusStart, statusEnd = 8, 9, 12
	if len(line) < statusEnd || line[versionEnd] != ' ' || (len(line) > statusEnd && line[statusEnd] != ' ') {
		return errStatusLine
	}
	if r.MinorVersion, err = parseVersion(line[:versionEnd]); err != nil {
		return errStatusLine
	}
	for _, c := range line[statusStart:statusEnd] {
		if c < '0' || c > '9' {
			return errStatusLine
		}
		r.Status = 10*r.Status + int(c-'0')
	}
	if r.Status < 100 {
		return errStatusLine
	}
	return nil
}

// StatusText returns the reason phrase of a status, or "Status" if there is none.
func StatusText(status int) string {
	if text := statusTexts[status]; text != "" {
		return text
	}
	return "Status"
}

var statusTexts = map[int]string{
	100: "Continue", 200: "OK", 201: "Created", 204: "No Content", 206: "Partial Content",
	207: "Multi-Status", 301: "Moved Permanently", 304: "Not Modified", 400: "Bad Request",
	403: "Forbidden", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
	409: "Conflict", 411: "Length Required", 412: "Precondition Failed", 413: "Content Too Large",
	414: "URI Too Long", 415: "Unsupported Media Type", 416: "Range Not Satisfiable",
	417: "Expectation Failed", 423: "Locked", 424: "Failed Dependency",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
	502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout",
	505: "HTTP Version Not Supported", 507: "Insufficient Storage",
}
