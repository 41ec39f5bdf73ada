package fakenode

import (
	"net/http"
	"path"
	"strings"
	"time"

	"golang.org/x/net/webdav"
)

// lock is a write lock.
type lock struct {
	token         string
	root          string // clean path of the locked resource
	infiniteDepth bool   // it covers the descendants of root as well
	shared        bool
	owner         string // XML, as the client sent it
	timeout       time.Duration
	expiresAt     time.Time
}

// covers reports whether the lock is on a resource, or on a collection above it with infinite
// depth.
func (l *lock) covers(name string) bool {
	return l.root == name || l.infiniteDepth && isBelow(name, l.root)
}

// refresh starts the timeout again.
func (l *lock) refresh(timeout time.Duration) {
	l.timeout = timeout
	l.expiresAt = time.Now().Add(timeout)
}

func (l *lock) expired() bool { return time.Now().After(l.expiresAt) }

// lockTable is the write locks of RFC 4918 sections 6 and 7, by token. The library has exclusive
// locks alone.
type lockTable map[string]*lock

// change is what a request changes beside a resource itself.
type change struct {
	membership  bool // the resource is added to its parent collection, or removed from it
	descendants bool // all of its descendants change as well
}

// affected returns the locks on what a change of a resource changes. It drops expired ones.
func (t lockTable) affected(name string, c change) []*lock {
	var locks []*lock
	for token, l := range t {
		switch {
		case l.expired():
			delete(t, token)
		case l.covers(name),
			c.membership && l.root == path.Dir(name),
			c.descendants && isBelow(l.root, name):
			locks = append(locks, l)
		}
	}
	return locks
}

// covers reports whether a token is that of a lock on a resource.
func (t lockTable) covers(token, name string) bool {
	l := t[token]
	return l != nil && !l.expired() && l.covers(name)
}

// allSubmitted reports whether a request may change what the locks are on, with the tokens of its
// If header. One token for each resource is enough, since each holder of a shared lock has one of
// its own.
func allSubmitted(locks []*lock, lists []conditionList) bool {
	submitted := map[string]bool{}
	for _, list := range lists {
		for _, c := range list.conditions {
			submitted[c.token] = true
		}
	}
	unlocked := map[string]bool{} // by root
	for _, l := range locks {
		unlocked[l.root] = unlocked[l.root] || submitted[l.token]
	}
	for _, ok := range unlocked {
		if !ok {
			return false
		}
	}
	return true
}

// unlock removes the lock of a Lock-Token header, and returns the status for it (RFC 4918 section
// 9.11).
func (t lockTable) unlock(name, header string) (status int) {
	token := strings.TrimSuffix(strings.TrimPrefix(strings.TrimSpace(header), "<"), ">")
	switch {
	case token == "":
		return http.StatusBadRequest
	case !t.covers(token, name):
		return http.StatusConflict
	}
	delete(t, token)
	return http.StatusNoContent
}

// remove drops the locks of a resource that was deleted or moved, and of its descendants. They do
// not move along (RFC 4918 sections 7.5 and 9.6).
func (t lockTable) remove(name string) {
	for token, l := range t {
		if l.root == name || isBelow(l.root, name) {
			delete(t, token)
		}
	}
}

// unlocked is a lock system that lets the library change everything: the locks were checked
// before.
type unlocked struct{}

// Confirm implements webdav.LockSystem.
func (unlocked) Confirm(time.Time, string, string, ...webdav.Condition) (release func(), err error) {
	return func() {}, nil
}

// Create implements webdav.LockSystem.
func (unlocked) Create(time.Time, webdav.LockDetails) (token string, err error) { return "", nil }

// Refresh implements webdav.LockSystem.
func (unlocked) Refresh(time.Time, string, time.Duration) (webdav.LockDetails, error) {
	return webdav.LockDetails{}, nil
}

// Unlock implements webdav.LockSystem.
func (unlocked) Unlock(time.Time, string) error { return nil }
