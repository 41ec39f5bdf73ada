package fakenode

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path"
	"strings"
	"sync"

	"golang.org/x/net/webdav"

	gatewaydav "maddergap/internal/webdav"
)

// store is x/net/webdav's memory store with what RFC 4918 and 9110 ask beyond it:
// conditions by entity tag on writes, the If header, locks, and the status of a
// missing parent.
type store struct {
	mu    sync.Mutex // one request at a time, so that conditions hold with what they guard
	fs    webdav.FileSystem
	h     *webdav.Handler
	locks *locks
}

func newStore() *store {
	fs := webdav.NewMemFS()
	return &store{fs: fs, h: &webdav.Handler{FileSystem: fs, LockSystem: open{}}, locks: newLocks()}
}

func (s *store) size(p string) int64 {
	if fi, err := s.fs.Stat(context.Background(), p); err == nil {
		return fi.Size()
	}
	return 0
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx := context.Background()
	// The first segment is a volume: it is there before anything is put below it.
	if first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/"); first != "" {
		if _, err := s.fs.Stat(ctx, "/"+first); os.IsNotExist(err) {
			s.fs.Mkdir(ctx, "/"+first, 0o755)
		}
	}
	fi, err := s.fs.Stat(ctx, r.URL.Path)
	there := err == nil
	lists, status, reason := s.guard(ctx, r)
	if status == 0 {
		status, reason = s.check(ctx, r, fi, there)
	}
	if status != 0 {
		http.Error(w, reason, status)
		return
	}
	p := clean(r.URL.Path)
	switch r.Method {
	case "LOCK":
		s.locks.serve(w, r, lists, there, func() error {
			f, err := s.fs.OpenFile(ctx, r.URL.Path, os.O_CREATE|os.O_RDWR, 0o644)
			if err != nil {
				return err
			}
			return f.Close()
		})
		return
	case "UNLOCK":
		w.WriteHeader(s.locks.unlock(p, r.Header.Get("Lock-Token")))
		return
	}
	r.Header.Del("If")
	answer := &answer{header: w.Header()}
	s.h.ServeHTTP(answer, r)
	switch {
	case r.Method == "PUT" && there && answer.status == 201: // RFC 9110 9.3.4: nothing was created
		answer.status = 204
		answer.body.Reset()
		answer.header.Del("Content-Length")
	case (r.Method == "DELETE" || r.Method == "MOVE") && answer.status < 300:
		s.locks.moved(p)
	}
	w.WriteHeader(answer.status)
	w.Write(answer.body.Bytes())
}

// guard holds a write to the locks it meets and to its If header. A lock whose
// token is not submitted comes first: 423 tells more than 412.
func (s *store) guard(ctx context.Context, r *http.Request) (lists []ifList, status int, reason string) {
	if h := r.Header.Get("If"); h != "" {
		var ok bool
		if lists, ok = parseIf(h); !ok {
			return nil, 400, "the If header is malformed"
		}
	}
	p := clean(r.URL.Path)
	_, err := s.fs.Stat(ctx, p)
	var met []*lock
	switch r.Method {
	case "PUT", "MKCOL":
		met = s.locks.over(p, err != nil, false)
	case "PROPPATCH":
		met = s.locks.over(p, false, false)
	case "DELETE", "MOVE":
		met = s.locks.over(p, true, true)
	}
	if u, err := url.Parse(r.Header.Get("Destination")); err == nil && (r.Method == "MOVE" || r.Method == "COPY") {
		_, err := s.fs.Stat(ctx, u.Path)
		met = append(met, s.locks.over(clean(u.Path), err != nil, true)...)
	}
	if !free(met, lists) {
		return nil, 423, "locked"
	}
	if len(lists) > 0 && !s.locks.holds(lists, p, func(p string) string {
		fi, err := s.fs.Stat(ctx, p)
		if err != nil {
			return ""
		}
		return etag(fi)
	}) {
		return nil, 412, "no condition of the If header holds"
	}
	return lists, 0, ""
}

// etag is an entity tag as the library makes it.
func etag(fi os.FileInfo) string { return fmt.Sprintf(`"%x%x"`, fi.ModTime().UnixNano(), fi.Size()) }

// check returns the status of a request that must not reach the store.
func (s *store) check(ctx context.Context, r *http.Request, fi os.FileInfo, there bool) (int, string) {
	if status := conditions(r, fi, there); status != 0 {
		return status, "a condition does not hold"
	}
	missing := func(p string) bool {
		up, err := s.fs.Stat(ctx, path.Dir(strings.TrimSuffix(p, "/")))
		return err != nil || !up.IsDir()
	}
	switch r.Method {
	case "PROPFIND", "PROPPATCH":
		body, err := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		if err != nil || gatewaydav.BindsEmptyNamespace(body) {
			return 400, "the XML binds a prefix to no namespace"
		}
	case "PUT":
		switch {
		case there && fi.IsDir() || strings.HasSuffix(r.URL.Path, "/"):
			return 405, "a collection has no content"
		case missing(r.URL.Path):
			return 409, "the parent collection is missing"
		case r.Header.Get("Content-Range") != "": // RFC 9110 14.4
			return 400, "a part cannot be put"
		}
	case "LOCK":
		if !there && missing(r.URL.Path) {
			return 409, "the parent collection is missing"
		}
	case "COPY", "MOVE":
		if !there {
			return 404, "there is nothing here"
		}
		if r.Header.Get("Overwrite") == "" { // RFC 4918 10.6
			r.Header.Set("Overwrite", "T")
		}
		if u, err := url.Parse(r.Header.Get("Destination")); err == nil && missing(u.Path) {
			return 409, "the parent of the destination is missing"
		}
	}
	return 0, ""
}

// conditions checks If-Match and If-None-Match (RFC 9110 13.1) where the store
// does not: for all but GET and HEAD.
func conditions(r *http.Request, fi os.FileInfo, there bool) int {
	if r.Method == "GET" || r.Method == "HEAD" {
		return 0
	}
	tag := ""
	if there {
		tag = etag(fi)
	}
	matches := func(list string) bool {
		if strings.TrimSpace(list) == "*" {
			return there
		}
		for part := range strings.SplitSeq(list, ",") {
			if there && strings.TrimSpace(part) == tag {
				return true
			}
		}
		return false
	}
	if m := r.Header.Get("If-Match"); m != "" && !matches(m) {
		return 412
	}
	if m := r.Header.Get("If-None-Match"); m != "" && matches(m) {
		return 412
	}
	return 0
}
