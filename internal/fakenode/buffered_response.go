package fakenode

import (
	"bytes"
	"net/http"
)

// bufferedResponse is an http.ResponseWriter that keeps the response in memory, so that it can be
// changed, delayed or dropped.
type bufferedResponse struct {
	header http.Header
	status int // 0 until WriteHeader or Write is called
	body   bytes.Buffer
}

func newBufferedResponse(header http.Header) *bufferedResponse {
	return &bufferedResponse{header: header}
}

// Header implements http.ResponseWriter.
func (b *bufferedResponse) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *bufferedResponse) WriteHeader(status int) {
	if b.status == 0 {
		b.status = status
	}
}

// Write implements http.ResponseWriter.
func (b *bufferedResponse) Write(p []byte) (int, error) {
	b.WriteHeader(http.StatusOK)
	return b.body.Write(p)
}
