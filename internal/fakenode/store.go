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

// WebDAV methods, for which net/http has no constants.
const (
	methodCopy      = "COPY"
	methodLock      = "LOCK"
	methodMkcol     = "MKCOL"
	methodMove      = "MOVE"
	methodPropfind  = "PROPFIND"
	methodProppatch = "PROPPATCH"
	methodUnlock    = "UNLOCK"
)

// store is the in-memory WebDAV server of golang.org/x/net/webdav ("the library"). It adds what RFC
// 4918 and RFC 9110 require and the library does not implement: If-Match and If-None-Match on
// writes, entity tags in the If header, shared locks, and the right status if a parent is missing.
// It is safe for concurrent use.
type store struct {
	mu      sync.Mutex // locked during a whole request, so that checked preconditions still hold at execution
	files   webdav.FileSystem
	handler *webdav.Handler
	locks   lockTable
}

func newStore() *store {
	files := webdav.NewMemFS()
	return &store{
		files:   files,
		handler: &webdav.Handler{FileSystem: files, LockSystem: noopLockSystem{}},
		locks:   lockTable{},
	}
}

// size returns the size of a resource in bytes, or 0 if it does not exist.
func (s *store) size(name string) int64 {
	if info := s.stat(name); info != nil {
		return info.Size()
	}
	return 0
}

// stat returns the file information of a resource, or nil if it does not exist.
func (s *store) stat(name string) os.FileInfo {
	info, err := s.files.Stat(context.Background(), name)
	if err != nil {
		return nil
	}
	return info
}

// ServeHTTP executes a request, or rejects it if a lock or a precondition does not permit it.
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
		s.serveWithLibrary(w, r, info)
	}
}

// createVolume creates the top-level collection of a path if it does not exist: volumes exist
// before the first write to them.
func (s *store) createVolume(name string) {
	volume, _, _ := strings.Cut(strings.TrimPrefix(name, "/"), "/")
	if volume == "" {
		return
	}
	ctx := context.Background()
	if _, err := s.files.Stat(ctx, "/"+volume); os.IsNotExist(err) {
		_ = s.files.Mkdir(ctx, "/"+volume, 0o755) // after a failure, requests find the parent missing
	}
}

// serveWithLibrary lets the library execute a request whose locks and preconditions were checked.
// It corrects the response to a PUT and deletes the locks on a deleted or moved resource. info is
// nil if the resource did not exist.
func (s *store) serveWithLibrary(w http.ResponseWriter, r *http.Request, info os.FileInfo) {
	r.Header.Del("If") // already checked; the library does not compare entity tags in it
	response := newBufferedResponse(w.Header())
	s.handler.ServeHTTP(response, r)
	switch {
	case r.Method == http.MethodPut && info != nil && response.status == http.StatusCreated:
		// The library responds 201 also when a resource is replaced; RFC 9110 section 9.3.4 allows
		// 201 only for a new resource.
		response.status = http.StatusNoContent
		response.body.Reset()
		response.header.Del("Content-Length")
	case (r.Method == http.MethodDelete || r.Method == methodMove) && response.status < http.StatusMultipleChoices:
		s.locks.remove(cleanPath(r.URL.Path))
	}
	w.WriteHeader(response.status)
	_, _ = w.Write(response.body.Bytes()) // w is a bufferedResponse, so writing cannot fail
}

// destination returns the path in the Destination header of a COPY or MOVE, as the client sent it.
// ok is false for other methods and for a malformed header.
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

// cleanPath returns the path in the form in which locks and conditions compare paths.
func cleanPath(name string) string { return path.Clean("/" + name) }

// isBelow reports whether name is the path of a descendant of root. Both paths are clean.
func isBelow(name, root string) bool { return root == "/" || strings.HasPrefix(name, root+"/") }
