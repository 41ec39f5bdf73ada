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
	infiniteDepth bool   // set if the lock also covers the descendants of root
	shared        bool   // set for a shared lock, not set for an exclusive one
	owner         string // content of the owner element, as the client sent it
	timeout       time.Duration
	expiresAt     time.Time
}

// covers reports whether the lock is on a resource itself, or with infinite depth on a collection
// above it.
func (l *lock) covers(name string) bool {
	return l.root == name || l.infiniteDepth && isBelow(name, l.root)
}

// refresh makes the lock expire after a timeout from now.
func (l *lock) refresh(timeout time.Duration) {
	l.timeout = timeout
	l.expiresAt = time.Now().Add(timeout)
}

func (l *lock) expired() bool { return time.Now().After(l.expiresAt) }

// lockTable holds the write locks of a store by token (RFC 4918 sections 6 and 7). The library's
// own lock system is not used since it supports exclusive locks only.
type lockTable map[string]*lock

// changeScope tells what a request changes in addition to a resource itself.
type changeScope struct {
	membership  bool // set if the resource is added to its parent collection or removed from it
	descendants bool // set if all descendants of the resource change as well
}

// affected returns the locks that a change of a resource is subject to. It deletes expired locks
// from the table.
func (t lockTable) affected(name string, c changeScope) []*lock {
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

// covers reports whether the token belongs to a lock that has not expired and covers a resource.
func (t lockTable) covers(token, name string) bool {
	l := t[token]
	return l != nil && !l.expired() && l.covers(name)
}

// hasRequiredTokens reports whether the If header of a request has a token for each resource that
// the locks are on. If a resource has several shared locks, the token of one of them is enough,
// since each holder of a shared lock knows only its own token.
func hasRequiredTokens(locks []*lock, lists []conditionList) bool {
	submitted := map[string]bool{}
	for _, list := range lists {
		for _, c := range list.conditions {
			submitted[c.token] = true
		}
	}
	hasToken := map[string]bool{} // by the root of the lock
	for _, l := range locks {
		hasToken[l.root] = hasToken[l.root] || submitted[l.token]
	}
	for _, ok := range hasToken {
		if !ok {
			return false
		}
	}
	return true
}

// unlock serves UNLOCK (RFC 4918 section 9.11): it removes the lock whose token is in a Lock-Token
// header and returns the status of the response. name is the clean path of the request.
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

// remove deletes the locks on a resource that was deleted or moved and on its descendants. Locks do
// not move with their resource (RFC 4918 sections 7.5 and 9.6).
func (t lockTable) remove(name string) {
	for token, l := range t {
		if l.root == name || isBelow(l.root, name) {
			delete(t, token)
		}
	}
}

// noopLockSystem is a webdav.LockSystem that grants everything. The store has checked the locks
// before it calls the library.
type noopLockSystem struct{}

// Confirm implements webdav.LockSystem.
func (noopLockSystem) Confirm(time.Time, string, string, ...webdav.Condition) (release func(), err error) {
	return func() {}, nil
}

// Create implements webdav.LockSystem.
func (noopLockSystem) Create(time.Time, webdav.LockDetails) (token string, err error) { return "", nil }

// Refresh implements webdav.LockSystem.
func (noopLockSystem) Refresh(time.Time, string, time.Duration) (webdav.LockDetails, error) {
	return webdav.LockDetails{}, nil
}

// Unlock implements webdav.LockSystem.
func (noopLockSystem) Unlock(time.Time, string) error { return nil }
