package fakenode

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/xml"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	maxLockTimeout = time.Hour // also used for a request without a timeout
	maxLocks       = 4096      // most locks at the same time, over all resources
)

// lockInfo is the body of a LOCK request (RFC 4918 section 14.11).
type lockInfo struct {
	XMLName   xml.Name  `xml:"DAV: lockinfo"`
	Exclusive *struct{} `xml:"lockscope>exclusive"`
	Shared    *struct{} `xml:"lockscope>shared"`
	Write     *struct{} `xml:"locktype>write"`
	Owner     struct {
		Inner string `xml:",innerxml"`
	} `xml:"owner"`
}

// lock serves LOCK (RFC 4918 section 9.10). lists is the parsed If header; info is nil if the
// resource does not exist.
func (s *store) lock(w http.ResponseWriter, r *http.Request, lists []conditionList, info os.FileInfo) {
	body, _ := io.ReadAll(r.Body) // the body is already in memory, so reading it cannot fail
	if len(bytes.TrimSpace(body)) == 0 {
		s.refreshLock(w, r, lists)
		return
	}
	requested, rejection := parseLock(r, body)
	if rejection == nil {
		rejection = s.checkLockable(requested)
	}
	if rejection != nil {
		http.Error(w, rejection.reason, rejection.status)
		return
	}
	status := http.StatusOK
	if info == nil {
		if err := s.createEmptyFile(r.URL.Path); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		status = http.StatusCreated
	}
	requested.token = newLockToken()
	requested.refresh(requested.timeout)
	s.locks[requested.token] = requested
	w.Header().Set("Lock-Token", "<"+requested.token+">")
	requested.writeResponse(w, status)
}

// refreshLock serves a LOCK without a body: it refreshes the first lock on the resource whose token
// is in the If header (RFC 4918 section 9.10.2).
func (s *store) refreshLock(w http.ResponseWriter, r *http.Request, lists []conditionList) {
	name := cleanPath(r.URL.Path)
	for _, list := range lists {
		for _, c := range list.conditions {
			if l := s.locks[c.token]; l != nil && l.covers(name) {
				l.refresh(parseTimeout(r.Header.Get("Timeout")))
				l.writeResponse(w, http.StatusOK)
				return
			}
		}
	}
	http.Error(w, "no lock of this resource is named", http.StatusPreconditionFailed)
}

// parseLock returns the lock that a LOCK request with a body asks for. The token and the expiry
// time are not set yet.
func parseLock(r *http.Request, body []byte) (*lock, *rejection) {
	var info lockInfo
	if err := xml.Unmarshal(body, &info); err != nil || info.Write == nil || (info.Exclusive == nil) == (info.Shared == nil) {
		return nil, &rejection{http.StatusBadRequest, "the lockinfo is malformed"}
	}
	depth := strings.ToLower(r.Header.Get("Depth"))
	if depth != "" && depth != "0" && depth != "infinity" {
		return nil, &rejection{http.StatusBadRequest, "Depth of a LOCK is 0 or infinity"}
	}
	return &lock{
		root:          cleanPath(r.URL.Path),
		infiniteDepth: depth != "0",
		shared:        info.Shared != nil,
		owner:         info.Owner.Inner,
		timeout:       parseTimeout(r.Header.Get("Timeout")),
	}, nil
}

// checkLockable checks a new lock against the existing ones: only shared locks may overlap (RFC
// 4918 section 6.2).
func (s *store) checkLockable(requested *lock) *rejection {
	for _, other := range s.locks.affected(requested.root, changeScope{descendants: requested.infiniteDepth}) {
		if !requested.shared || !other.shared {
			return &rejection{http.StatusLocked, "locked"}
		}
	}
	if len(s.locks) >= maxLocks {
		return &rejection{http.StatusInsufficientStorage, "too many locks"}
	}
	return nil
}

// createEmptyFile creates an empty resource, as LOCK must do if the resource does not exist (RFC
// 4918 section 9.10.4).
func (s *store) createEmptyFile(name string) error {
	file, err := s.files.OpenFile(context.Background(), name, os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return err
	}
	return file.Close()
}

// parseTimeout returns the first valid "Second-N" value of a Timeout header, at most
// maxLockTimeout. It returns maxLockTimeout if there is none.
func parseTimeout(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "Second-")
		if !ok {
			continue
		}
		if seconds, err := strconv.ParseUint(text, 10, 32); err == nil {
			return min(time.Duration(seconds)*time.Second, maxLockTimeout)
		}
	}
	return maxLockTimeout
}

// newLockToken returns the URN of a random UUID (RFC 9562 section 5.4).
func newLockToken() string {
	var id [16]byte
	_, _ = rand.Read(id[:]) // never fails
	id[6] = id[6]&0x0f | 0x40
	id[8] = id[8]&0x3f | 0x80
	return fmt.Sprintf("urn:uuid:%x-%x-%x-%x-%x", id[:4], id[4:6], id[6:8], id[8:10], id[10:])
}

// writeResponse writes the response to a LOCK, with a body that describes the lock.
func (l *lock) writeResponse(w http.ResponseWriter, status int) {
	w.Header().Set("Content-Type", "application/xml; charset=utf-8")
	w.WriteHeader(status)
	fmt.Fprintf(w, `<?xml version="1.0" encoding="utf-8"?>`+"\n"+`<D:prop xmlns:D="DAV:"><D:lockdiscovery>%s</D:lockdiscovery></D:prop>`, l.activeLock())
}

// activeLock returns the lock as an activelock element (RFC 4918 section 14.1).
func (l *lock) activeLock() string {
	scope, depth := "exclusive", "0"
	if l.shared {
		scope = "shared"
	}
	if l.infiniteDepth {
		depth = "infinity"
	}
	var root bytes.Buffer
	_ = xml.EscapeText(&root, []byte((&url.URL{Path: l.root}).EscapedPath())) // writes to a Buffer never fail
	return fmt.Sprintf("<D:activelock><D:locktype><D:write/></D:locktype><D:lockscope><D:%s/></D:lockscope><D:depth>%s</D:depth>"+
		"<D:owner>%s</D:owner><D:timeout>Second-%d</D:timeout><D:locktoken><D:href>%s</D:href></D:locktoken>"+
		"<D:lockroot><D:href>%s</D:href></D:lockroot></D:activelock>", scope, depth, l.owner, int(l.timeout.Seconds()), l.token, root.String())
}
