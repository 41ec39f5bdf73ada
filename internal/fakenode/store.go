package fakenode

import (
	"context"
	"net/http"
	"net/url"
	"os"
	"path"
	"strings"
	"sync"

	"golang.org/x/net/webdav"
)

// WebDAV's methods, which net/http has no constants for.
const (
	methodCopy      = "COPY"
	methodLock      = "LOCK"
	methodMkcol     = "MKCOL"
	methodMove      = "MOVE"
	methodPropfind  = "PROPFIND"
	methodProppatch = "PROPPATCH"
	methodUnlock    = "UNLOCK"
)

// store is the library's memory store with what RFC 4918 and RFC 9110 ask beyond it: conditions
// by entity tag on writes, the If header, shared locks, and the status of a missing parent. It is
// safe for concurrent use.
type store struct {
	mu      sync.Mutex // locked for a whole request, so that its preconditions hold while it is executed
	files   webdav.FileSystem
	handler *webdav.Handler
	locks   lockTable
}

func newStore() *store {
	files := webdav.NewMemFS()
	return &store{
		files:   files,
		handler: &webdav.Handler{FileSystem: files, LockSystem: unlocked{}},
		locks:   lockTable{},
	}
}

// size is that of a resource in bytes, 0 if there is none.
func (s *store) size(name string) int64 {
	if info := s.stat(name); info != nil {
		return info.Size()
	}
	return 0
}

// stat returns nil if there is no such resource.
func (s *store) stat(name string) os.FileInfo {
	info, err := s.files.Stat(context.Background(), name)
	if err != nil {
		return nil
	}
	return info
}

// ServeHTTP executes a request, or responds with what keeps it from being executed.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.createVolume(r.URL.Path)
	info := s.stat(r.URL.Path)
	lists, rejection := s.checkLocks(r, info)
	if rejection == nil {
		rejection = s.checkRequest(r, info)
	}
	if rejection != nil {
		http.Error(w, rejection.reason, rejection.status)
		return
	}
	switch r.Method {
	case methodLock:
		s.lock(w, r, lists, info)
	case methodUnlock:
		w.WriteHeader(s.locks.unlock(cleanPath(r.URL.Path), r.Header.Get("Lock-Token")))
	default:
		s.serveLibrary(w, r, info)
	}
}

// createVolume creates the collection of the first segment of a path: a volume is there before
// anything is put into it.
func (s *store) createVolume(name string) {
	volume, _, _ := strings.Cut(strings.TrimPrefix(name, "/"), "/")
	if volume == "" {
		return
	}
	ctx := context.Background()
	if _, err := s.files.Stat(ctx, "/"+volume); os.IsNotExist(err) {
		_ = s.files.Mkdir(ctx, "/"+volume, 0o755) // a failure shows as a missing parent
	}
}

// serveLibrary has the library execute a request whose preconditions were checked.
func (s *store) serveLibrary(w http.ResponseWriter, r *http.Request, info os.FileInfo) {
	r.Header.Del("If") // the library takes an entity tag in it for true
	response := newBufferedResponse(w.Header())
	s.handler.ServeHTTP(response, r)
	switch {
	case r.Method == http.MethodPut && info != nil && response.status == http.StatusCreated:
		// RFC 9110 section 9.3.4: what was replaced was not created.
		response.status = http.StatusNoContent
		response.body.Reset()
		response.header.Del("Content-Length")
	case (r.Method == http.MethodDelete || r.Method == methodMove) && response.status < http.StatusMultipleChoices:
		s.locks.remove(cleanPath(r.URL.Path))
	}
	w.WriteHeader(response.status)
	_, _ = w.Write(response.body.Bytes()) // into a bufferedResponse
}

// destination returns the path that a COPY or MOVE goes to, as the request has it.
func destination(r *http.Request) (name string, ok bool) {
	if r.Method != methodCopy && r.Method != methodMove {
		return "", false
	}
	u, err := url.Parse(r.Header.Get("Destination"))
	if err != nil {
		return "", false
	}
	return u.Path, true
}

func cleanPath(name string) string { return path.Clean("/" + name) }

// isBelow reports whether a clean path is that of a descendant of root.
func isBelow(name, root string) bool { return root == "/" || strings.HasPrefix(name, root+"/") }
