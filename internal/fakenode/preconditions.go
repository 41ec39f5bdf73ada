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
	reason string // body of the response
}

// checkLocks checks a request against the locks on the resources that it changes and against its If
// header, whose lists it returns. A missing lock token is reported (423) before an If header that
// does not hold (412), since 423 tells the client more.
func (s *store) checkLocks(r *http.Request, info os.FileInfo) ([]conditionList, *rejection) {
	var lists []conditionList
	if header := r.Header.Get("If"); header != "" {
		var ok bool
		if lists, ok = parseIf(header); !ok {
			return nil, &rejection{http.StatusBadRequest, "the If header is malformed"}
		}
	}
	if !hasRequiredTokens(s.affectedLocks(r, info), lists) {
		return nil, &rejection{http.StatusLocked, "locked"}
	}
	if len(lists) > 0 && !s.anyListHolds(lists, cleanPath(r.URL.Path)) {
		return nil, &rejection{http.StatusPreconditionFailed, "no condition of the If header holds"}
	}
	return lists, nil
}

// affectedLocks returns the locks on the resources that a request changes. info is nil if the
// resource of the request does not exist.
func (s *store) affectedLocks(r *http.Request, info os.FileInfo) []*lock {
	name := cleanPath(r.URL.Path)
	var locks []*lock
	switch r.Method {
	case http.MethodPut, methodMkcol:
		locks = s.locks.affected(name, changeScope{membership: info == nil})
	case methodProppatch:
		locks = s.locks.affected(name, changeScope{})
	case http.MethodDelete, methodMove:
		locks = s.locks.affected(name, changeScope{membership: true, descendants: true})
	}
	if target, ok := destination(r); ok {
		missing := s.stat(target) == nil
		locks = append(locks, s.locks.affected(cleanPath(target), changeScope{membership: missing, descendants: true})...)
	}
	return locks
}

// anyListHolds reports whether at least one list of an If header holds. name is the clean path of
// the request, to which lists without a resource tag apply.
func (s *store) anyListHolds(lists []conditionList, name string) bool {
	for _, list := range lists {
		resource := name
		if list.resource != "" {
			resource = list.resource
		}
		if s.allConditionsHold(list.conditions, resource) {
			return true
		}
	}
	return false
}

func (s *store) allConditionsHold(conditions []condition, resource string) bool {
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

// etag returns the entity tag that the library computes for a resource, or "" if info is nil.
func etag(info os.FileInfo) string {
	if info == nil {
		return ""
	}
	return fmt.Sprintf(`"%x%x"`, info.ModTime().UnixNano(), info.Size())
}

// checkRequest rejects requests that the library would execute although it must not, or would
// reject with the wrong status. info is nil if the resource does not exist.
func (s *store) checkRequest(r *http.Request, info os.FileInfo) *rejection {
	if !entityTagConditionsHold(r, info) {
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
		return s.checkCopyOrMove(r, info)
	}
	return nil
}

// checkXML rejects a body that binds a prefix to the empty namespace. XML forbids that, but the
// library accepts it.
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

// checkCopyOrMove checks a COPY or MOVE. It sets the Overwrite header to its default if it is
// missing.
func (s *store) checkCopyOrMove(r *http.Request, info os.FileInfo) *rejection {
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

// entityTagConditionsHold reports whether If-Match and If-None-Match hold (RFC 9110 section 13.1).
// It returns true for GET and HEAD, for which the library evaluates them.
func entityTagConditionsHold(r *http.Request, info os.FileInfo) bool {
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		return true
	}
	if list := r.Header.Get("If-Match"); list != "" && !matchesEntityTags(list, info) {
		return false
	}
	if list := r.Header.Get("If-None-Match"); list != "" && matchesEntityTags(list, info) {
		return false
	}
	return true
}

// matchesEntityTags reports whether a resource exists and its entity tag is in a list. A list of
// "*" matches any existing resource.
func matchesEntityTags(list string, info os.FileInfo) bool {
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
