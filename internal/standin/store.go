package standin

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path"
	"strings"
	"sync"

	"golang.org/x/net/webdav"
)

// store is webdav's memory store with what RFC 4918 and 9110 ask beyond it:
// conditions by entity tag on writes, and the status of a missing parent.
type store struct {
	mu sync.Mutex // one request at a time, so that conditions hold with what they guard
	fs webdav.FileSystem
	h  *webdav.Handler
}

func newStore() *store {
	fs := webdav.NewMemFS()
	return &store{fs: fs, h: &webdav.Handler{FileSystem: fs, LockSystem: webdav.NewMemLS()}}
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
	if status, reason := s.check(ctx, r); status != 0 {
		http.Error(w, reason, status)
		return
	}
	s.h.ServeHTTP(w, r)
}

// check returns the status of a request that must not reach the store.
func (s *store) check(ctx context.Context, r *http.Request) (int, string) {
	fi, err := s.fs.Stat(ctx, r.URL.Path)
	there := err == nil
	if status := conditions(r, fi, there); status != 0 {
		return status, "a condition does not hold"
	}
	missing := func(p string) bool {
		up, err := s.fs.Stat(ctx, path.Dir(strings.TrimSuffix(p, "/")))
		return err != nil || !up.IsDir()
	}
	switch r.Method {
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
		tag = fmt.Sprintf(`"%x%x"`, fi.ModTime().UnixNano(), fi.Size()) // as the store makes it
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
