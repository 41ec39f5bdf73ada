package fakenode

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"path"
	"strings"

	gatewaywebdav "maddergap/internal/webdav"
)

// rejection is the response to a request that must not be executed.
type rejection struct {
	status int
	reason string // for the body
}

// checkLocks checks a request against the locks on what it changes and against its If header,
// which it returns. A missing lock token is reported first: 423 says more than 412.
func (s *store) checkLocks(r *http.Request, info os.FileInfo) ([]conditionList, *rejection) {
	var lists []conditionList
	if header := r.Header.Get("If"); header != "" {
		var ok bool
		if lists, ok = parseIf(header); !ok {
			return nil, &rejection{http.StatusBadRequest, "the If header is malformed"}
		}
	}
	if !allSubmitted(s.affectedLocks(r, info), lists) {
		return nil, &rejection{http.StatusLocked, "locked"}
	}
	if len(lists) > 0 && !s.anyHolds(lists, cleanPath(r.URL.Path)) {
		return nil, &rejection{http.StatusPreconditionFailed, "no condition of the If header holds"}
	}
	return lists, nil
}

// affectedLocks returns the locks on what a request changes. info is nil where the resource does
// not exist.
func (s *store) affectedLocks(r *http.Request, info os.FileInfo) []*lock {
	name := cleanPath(r.URL.Path)
	var locks []*lock
	switch r.Method {
	case http.MethodPut, methodMkcol:
		locks = s.locks.affected(name, change{membership: info == nil})
	case methodProppatch:
		locks = s.locks.affected(name, change{})
	case http.MethodDelete, methodMove:
		locks = s.locks.affected(name, change{membership: true, descendants: true})
	}
	if target, ok := destination(r); ok {
		missing := s.stat(target) == nil
		locks = append(locks, s.locks.affected(cleanPath(target), change{membership: missing, descendants: true})...)
	}
	return locks
}

// anyHolds reports whether one of the lists of an If header holds. name is the request's path.
func (s *store) anyHolds(lists []conditionList, name string) bool {
	for _, list := range lists {
		resource := name
		if list.resource != "" {
			resource = list.resource
		}
		if s.allHold(list.conditions, resource) {
			return true
		}
	}
	return false
}

func (s *store) allHold(conditions []condition, resource string) bool {
	for _, c := range conditions {
		holds := c.etag != "" && c.etag == etag(s.stat(resource))
		if c.token != "" {
			holds = s.locks.covers(c.token, resource)
		}
		if holds == c.negated {
			return false
		}
	}
	return true
}

// etag is the entity tag that the library gives a resource; "" for nil.
func etag(info os.FileInfo) string {
	if info == nil {
		return ""
	}
	return fmt.Sprintf(`"%x%x"`, info.ModTime().UnixNano(), info.Size())
}

// checkRequest checks what the library does not, or with another status. info is nil where the
// resource does not exist.
func (s *store) checkRequest(r *http.Request, info os.FileInfo) *rejection {
	if !entityTagsMatch(r, info) {
		return &rejection{http.StatusPreconditionFailed, "a condition does not hold"}
	}
	switch r.Method {
	case methodPropfind, methodProppatch:
		return checkXML(r)
	case http.MethodPut:
		return s.checkPut(r, info)
	case methodLock:
		if info == nil && s.parentMissing(r.URL.Path) {
			return &rejection{http.StatusConflict, "the parent collection is missing"}
		}
	case methodCopy, methodMove:
		return s.checkCopy(r, info)
	}
	return nil
}

// checkXML rejects a body that binds a prefix to the empty namespace, which XML forbids and the
// library accepts.
func checkXML(r *http.Request) *rejection {
	body, err := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	if err != nil || gatewaywebdav.BindsEmptyNamespace(body) {
		return &rejection{http.StatusBadRequest, "the XML binds a prefix to no namespace"}
	}
	return nil
}

func (s *store) checkPut(r *http.Request, info os.FileInfo) *rejection {
	switch {
	case info != nil && info.IsDir() || strings.HasSuffix(r.URL.Path, "/"):
		return &rejection{http.StatusMethodNotAllowed, "a collection has no content"}
	case s.parentMissing(r.URL.Path):
		return &rejection{http.StatusConflict, "the parent collection is missing"}
	case r.Header.Get("Content-Range") != "": // RFC 9110 section 14.4
		return &rejection{http.StatusBadRequest, "a part cannot be put"}
	}
	return nil
}

// checkCopy checks a COPY or MOVE, and gives it the default of its Overwrite header.
func (s *store) checkCopy(r *http.Request, info os.FileInfo) *rejection {
	if info == nil {
		return &rejection{http.StatusNotFound, "there is nothing here"}
	}
	if r.Header.Get("Overwrite") == "" { // RFC 4918 section 10.6
		r.Header.Set("Overwrite", "T")
	}
	if target, ok := destination(r); ok && s.parentMissing(target) {
		return &rejection{http.StatusConflict, "the parent of the destination is missing"}
	}
	return nil
}

func (s *store) parentMissing(name string) bool {
	parent := s.stat(path.Dir(strings.TrimSuffix(name, "/")))
	return parent == nil || !parent.IsDir()
}

// entityTagsMatch checks If-Match and If-None-Match (RFC 9110 section 13.1) for all methods but
// GET and HEAD, which the library does itself.
func entityTagsMatch(r *http.Request, info os.FileInfo) bool {
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		return true
	}
	if list := r.Header.Get("If-Match"); list != "" && !inEntityTags(list, info) {
		return false
	}
	if list := r.Header.Get("If-None-Match"); list != "" && inEntityTags(list, info) {
		return false
	}
	return true
}

// inEntityTags reports whether a resource exists and a list of entity tags, or "*", has its own.
func inEntityTags(list string, info os.FileInfo) bool {
	if info == nil {
		return false
	}
	if strings.TrimSpace(list) == "*" {
		return true
	}
	tag := etag(info)
	for part := range strings.SplitSeq(list, ",") {
		if strings.TrimSpace(part) == tag {
			return true
		}
	}
	return false
}
