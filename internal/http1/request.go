package http1

import "bytes"

// Request is a parsed request header.
type Request struct {
	Message
	Method, Target []byte
	Host           []byte
	ExpectContinue bool // set if the client waits for a 100 response before it sends the body
}

// ParseRequest parses a request header into r. block ends where HeaderEnd or FindHeaderEnd found the end
// of the header. The memory of r.Fields is reused. The error is an *Error.
func ParseRequest(block []byte, r *Request, limits Limits) error {
	*r = Request{Message: Message{Fields: r.Fields[:0], ContentLength: -1}}
	if len(block) > limits.HeaderBytes {
		return errHeaderTooLong
	}
	line, rest, err := cutLine(block)
	if err != nil {
		return err
	}
	if err := r.parseRequestLine(line, limits); err != nil {
		return err
	}
	if err := r.parseFields(rest, limits); err != nil {
		return err
	}
	if err := r.applyRequestFields(); err != nil {
		return err
	}
	if !r.Chunked && r.ContentLength < 0 {
		r.ContentLength = 0 // RFC 9112 6.3: a request without a length has no body
	}
	return nil
}

// parseRequestLine parses METHOD SP TARGET SP VERSION.
func (r *Request) parseRequestLine(line []byte, limits Limits) (err error) {
	first := bytes.IndexByte(line, ' ')
	last := bytes.LastIndexByte(line, ' ')
	if first <= 0 || last <= first {
		return errRequestLine
	}
	r.Method, r.Target = line[:first], line[first+1:last]
	if !isToken(r.Method) || len(r.Target) == 0 {
		return errRequestLine
	}
	if r.MinorVersion, err = parseVersion(line[last+1:]); err != nil {
		return err
	}
	if len(r.Target) > limits.TargetBytes {
		return errTargetTooLong
	}
	for _, c := range r.Target {
		if c <= ' ' || c >= 0x7f || c == '#' {
			return errTarget
		}
	}
	return nil
}

// applyRequestFields sets Host and ExpectContinue from the fields.
func (r *Request) applyRequestFields() error {
	hosts := 0
	for i := range r.Fields {
		f := &r.Fields[i]
		switch {
		case EqualFold(f.Name, "host"):
			r.Host = f.Value
			hosts++
		case EqualFold(f.Name, "expect"):
			if !EqualFold(f.Value, "100-continue") {
				return errUnknownExpectation
			}
			r.ExpectContinue = r.MinorVersion == 1
		}
	}
	if hosts > 1 || (hosts == 0 && r.MinorVersion == 1) {
		return errHost
	}
	return nil
}
