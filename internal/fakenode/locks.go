package fakenode

import (
	"bytes"
	"crypto/rand"
	"encoding/xml"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"path"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/webdav"
)

// locks are write locks as RFC 4918 6 and 7 have them, shared ones too, and the
// conditions of the If header (10.4). The webdav library below has exclusive locks
// alone and takes an entity tag in an If header for true.
type locks struct {
	by  map[string]*lock // by token
	now func() time.Time
}

type lock struct {
	token    string
	root     string // path, without a slash at its end
	infinite bool
	shared   bool
	owner    string // as XML
	timeout  time.Duration
	until    time.Time
}

const (
	lockMost  = time.Hour
	locksMost = 4096
)

func newLocks() *locks { return &locks{by: map[string]*lock{}, now: time.Now} }

func clean(p string) string { return path.Clean("/" + p) }

func below(p, root string) bool { return root == "/" || strings.HasPrefix(p, root+"/") }

// over returns the locks that a change of p meets: on it, on a collection above it
// with depth infinity, on its parent where a member comes or goes, and on what is
// below it where all of that goes.
func (l *locks) over(p string, member, whole bool) (out []*lock) {
	now := l.now()
	for token, k := range l.by {
		switch {
		case now.After(k.until):
			delete(l.by, token)
		case k.root == p, k.infinite && below(p, k.root), member && k.root == path.Dir(p), whole && below(k.root, p):
			out = append(out, k)
		}
	}
	return out
}

// condition is one of an If header: a state token or an entity tag.
type condition struct {
	not        bool
	token, tag string
}

// ifList is a list of conditions that must all hold; resource is what it is of,
// "" for the request's own.
type ifList struct {
	resource string
	all      []condition
}

// parseIf reads an If header (RFC 4918 10.4.2).
func parseIf(s string) (lists []ifList, ok bool) {
	resource, tagged := "", false
	for s = strings.TrimSpace(s); s != ""; s = strings.TrimSpace(s) {
		switch s[0] {
		case '<':
			end := strings.IndexByte(s, '>')
			if end < 0 || len(lists) > 0 && !tagged {
				return nil, false
			}
			u, err := url.Parse(s[1:end])
			if err != nil {
				return nil, false
			}
			resource, tagged, s = clean(u.Path), true, s[end+1:]
		case '(':
			l := ifList{resource: resource}
			for s = strings.TrimSpace(s[1:]); ; s = strings.TrimSpace(s) {
				var c condition
				if rest, not := strings.CutPrefix(s, "Not"); not {
					c.not, s = true, strings.TrimSpace(rest)
				}
				if s == "" {
					return nil, false
				}
				if s[0] == ')' && !c.not && len(l.all) > 0 {
					s = s[1:]
					break
				}
				end := strings.IndexByte(s, map[byte]byte{'<': '>', '[': ']'}[s[0]])
				if end < 1 || s[0] != '<' && s[0] != '[' {
					return nil, false
				}
				if s[0] == '<' {
					c.token = s[1:end]
				} else {
					c.tag = s[1:end]
				}
				l.all, s = append(l.all, c), s[end+1:]
			}
			lists = append(lists, l)
		default:
			return nil, false
		}
	}
	return lists, len(lists) > 0
}

// holds tells whether one of the lists does; tag gives a resource's entity tag.
func (l *locks) holds(lists []ifList, own string, tag func(string) string) bool {
	for _, list := range lists {
		p := own
		if list.resource != "" {
			p = list.resource
		}
		all := true
		for _, c := range list.all {
			is := c.tag != "" && c.tag == tag(p)
			if k := l.by[c.token]; c.token != "" && k != nil {
				is = !l.now().After(k.until) && (k.root == p || k.infinite && below(p, k.root))
			}
			all = all && is != c.not
		}
		if all {
			return true
		}
	}
	return false
}

// free tells whether the locks that a change meets were all submitted: of each
// resource's locks one token is enough, as shared locks have one for each holder.
func free(met []*lock, lists []ifList) bool {
	submitted := map[string]bool{}
	for _, list := range lists {
		for _, c := range list.all {
			submitted[c.token] = true
		}
	}
	need, have := map[string]bool{}, map[string]bool{}
	for _, k := range met {
		need[k.root] = true
		have[k.root] = have[k.root] || submitted[k.token]
	}
	for root := range need {
		if !have[root] {
			return false
		}
	}
	return true
}

type lockInfo struct {
	XMLName   xml.Name  `xml:"DAV: lockinfo"`
	Exclusive *struct{} `xml:"lockscope>exclusive"`
	Shared    *struct{} `xml:"lockscope>shared"`
	Write     *struct{} `xml:"locktype>write"`
	Owner     struct {
		Inner string `xml:",innerxml"`
	} `xml:"owner"`
}

func timeout(s string) time.Duration {
	for part := range strings.SplitSeq(s, ",") {
		if n, ok := strings.CutPrefix(strings.TrimSpace(part), "Second-"); ok {
			if secs, err := strconv.ParseUint(n, 10, 32); err == nil {
				return min(time.Duration(secs)*time.Second, lockMost)
			}
		}
	}
	return lockMost
}

// serve is LOCK (RFC 4918 9.10) of a resource that is there, or is made by create.
func (l *locks) serve(w http.ResponseWriter, r *http.Request, lists []ifList, there bool, create func() error) {
	p := clean(r.URL.Path)
	body, _ := io.ReadAll(r.Body)
	if len(bytes.TrimSpace(body)) == 0 { // a refresh (9.10.2)
		for _, list := range lists {
			for _, c := range list.all {
				if k := l.by[c.token]; k != nil && (k.root == p || k.infinite && below(p, k.root)) {
					k.timeout = timeout(r.Header.Get("Timeout"))
					k.until = l.now().Add(k.timeout)
					k.write(w, 200)
					return
				}
			}
		}
		http.Error(w, "no lock of this resource is named", http.StatusPreconditionFailed)
		return
	}
	var info lockInfo
	if err := xml.Unmarshal(body, &info); err != nil || info.Write == nil || (info.Exclusive == nil) == (info.Shared == nil) {
		http.Error(w, "the lockinfo is malformed", http.StatusBadRequest)
		return
	}
	depth := strings.ToLower(r.Header.Get("Depth"))
	if depth != "" && depth != "0" && depth != "infinity" {
		http.Error(w, "Depth of a LOCK is 0 or infinity", http.StatusBadRequest)
		return
	}
	k := &lock{root: p, infinite: depth != "0", shared: info.Shared != nil, owner: info.Owner.Inner, timeout: timeout(r.Header.Get("Timeout"))}
	for _, other := range l.over(p, false, k.infinite) {
		if !k.shared || !other.shared { // 6.2: only shared ones stand beside each other
			http.Error(w, "locked", http.StatusLocked)
			return
		}
	}
	if len(l.by) >= locksMost {
		http.Error(w, "too many locks", http.StatusInsufficientStorage)
		return
	}
	status := 200
	if !there {
		if err := create(); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		status = 201
	}
	var id [16]byte
	rand.Read(id[:])
	id[6], id[8] = id[6]&0x0f|0x40, id[8]&0x3f|0x80 // RFC 9562 5.4
	k.token = fmt.Sprintf("urn:uuid:%x-%x-%x-%x-%x", id[:4], id[4:6], id[6:8], id[8:10], id[10:])
	k.until = l.now().Add(k.timeout)
	l.by[k.token] = k
	w.Header().Set("Lock-Token", "<"+k.token+">")
	k.write(w, status)
}

// active is a lock as its discovery has it (RFC 4918 14.1).
func (k *lock) active() string {
	scope, depth := "exclusive", "0"
	if k.shared {
		scope = "shared"
	}
	if k.infinite {
		depth = "infinity"
	}
	var root bytes.Buffer
	xml.EscapeText(&root, []byte((&url.URL{Path: k.root}).EscapedPath()))
	return fmt.Sprintf("<D:activelock><D:locktype><D:write/></D:locktype><D:lockscope><D:%s/></D:lockscope><D:depth>%s</D:depth>"+
		"<D:owner>%s</D:owner><D:timeout>Second-%d</D:timeout><D:locktoken><D:href>%s</D:href></D:locktoken>"+
		"<D:lockroot><D:href>%s</D:href></D:lockroot></D:activelock>", scope, depth, k.owner, int(k.timeout.Seconds()), k.token, root.String())
}

func (k *lock) write(w http.ResponseWriter, status int) {
	w.Header().Set("Content-Type", "application/xml; charset=utf-8")
	w.WriteHeader(status)
	fmt.Fprintf(w, `<?xml version="1.0" encoding="utf-8"?>`+"\n"+`<D:prop xmlns:D="DAV:"><D:lockdiscovery>%s</D:lockdiscovery></D:prop>`, k.active())
}

// unlock is UNLOCK (RFC 4918 9.11).
func (l *locks) unlock(p, header string) int {
	token := strings.TrimSuffix(strings.TrimPrefix(strings.TrimSpace(header), "<"), ">")
	k := l.by[token]
	switch {
	case token == "":
		return 400
	case k == nil, l.now().After(k.until), k.root != p && !(k.infinite && below(p, k.root)):
		return 409
	}
	delete(l.by, token)
	return 204
}

// moved forgets the locks of what is gone (7.5, 9.6): they do not move along.
func (l *locks) moved(p string) {
	for token, k := range l.by {
		if k.root == p || below(k.root, p) {
			delete(l.by, token)
		}
	}
}

// open lets the library below do everything: what is locked was decided above it.
type open struct{}

func (open) Confirm(time.Time, string, string, ...webdav.Condition) (func(), error) {
	return func() {}, nil
}
func (open) Create(time.Time, webdav.LockDetails) (string, error) { return "", nil }
func (open) Refresh(time.Time, string, time.Duration) (webdav.LockDetails, error) {
	return webdav.LockDetails{}, nil
}
func (open) Unlock(time.Time, string) error { return nil }
