package discovery

import (
	"errors"
	"fmt"
	"slices"

	"maddergap/internal/membership"
	"maddergap/internal/nodelist"
)

// syncState is how far the list that the client has is in step with the server's. It decides
// what the next call asks for.
type syncState uint8

const (
	unsynced syncState = iota // no usable list: the full list is asked for
	stale                     // a list, and changes of it may have been missed: they are asked for at once
	current                   // a list, and no sign of missed changes: it is watched
)

func (s syncState) String() string { return [...]string{"unsynced", "stale", "current"}[s] }

// listState is the list that the client has: its version, whether it can be built upon, and
// the update that nobody has taken yet.
type listState struct {
	sync    syncState
	version int64 // of the list in force; valid unless unsynced
	// resumed is a list from before the start, which was not given out. The first list that comes
	// is given out in full, with these nodes under it if it only has changes. nil: none.
	resumed []nodelist.Node
	// pending sums up the lists since the last update was taken; nil: there were none.
	pending *membership.Update
}

// resume takes a list that is known from before the start.
func (s *listState) resume(version int64, nodes []nodelist.Node) {
	s.sync = stale
	s.version = version
	s.resumed = nodes
}

// discard has the full list asked for next. The update that is pending stays.
func (s *listState) discard() {
	s.sync = unsynced
	s.resumed = nil
}

// missedChanges has the changes asked for next, if there is a list that they could belong to.
func (s *listState) missedChanges() {
	if s.sync == current {
		s.sync = stale
	}
}

// request is what the next call asks for.
func (s *listState) request() requestKind {
	switch s.sync {
	case current:
		return watchRequest
	case stale:
		return changesRequest
	}
	return fullListRequest
}

// callFailed sets what is asked for after a call that brought no list.
//   - A rejected call did nothing, and no change was sent on it.
//   - A call that did not respond or broke may have taken changes with it, unless it was not sent.
//   - Any other response shows that client and server disagree: they start anew.
func (s *listState) callFailed(sent bool, cause error) {
	switch {
	case rejected(cause):
	case errors.Is(cause, ErrNoResponse):
		s.missedChanges()
	case errors.Is(cause, ErrConnectionLost):
		if sent {
			s.missedChanges()
		}
	default:
		s.discard()
	}
}

// apply takes the list that came in response to a request. confirmedAt is when the list before
// it was known to be in force, 0: there was none. Errors are ErrUnexpectedList and
// ErrStaleIndex; the state is then unchanged.
func (s *listState) apply(kind requestKind, list endpointList, confirmedAt Time) error {
	if err := s.check(kind, &list); err != nil {
		return err
	}
	if s.resumed != nil && !list.snapshot {
		list.nodes = applyChanges(s.resumed, list.nodes)
		list.snapshot = true
	}
	s.sync = current
	s.version = list.index
	s.resumed = nil
	if len(list.nodes) > 0 {
		s.addPending(list, confirmedAt)
	}
	return nil
}

func (s *listState) check(kind requestKind, list *endpointList) error {
	switch {
	case !list.snapshot && kind == fullListRequest:
		return fmt.Errorf("%w: changes in response to a call for the full list", ErrUnexpectedList)
	case list.snapshot && len(list.nodes) == 0:
		// A server that lost its state would remove every node, and all requests would fail.
		return fmt.Errorf("%w: a full list without a node", ErrUnexpectedList)
	case s.sync != unsynced && list.index < s.version:
		return fmt.Errorf("%w: %d after %d", ErrStaleIndex, list.index, s.version)
	}
	return nil
}

// addPending adds a list to the pending update, in place of it if the list is full.
func (s *listState) addPending(list endpointList, confirmedAt Time) {
	if s.pending == nil {
		s.pending = &membership.Update{PreviousConfirmedAt: confirmedAt}
	}
	if list.snapshot {
		s.pending.Full = true
		s.pending.Nodes = nil
	}
	s.pending.Nodes = append(s.pending.Nodes, list.nodes...)
}

// takePending returns the pending update, once.
func (s *listState) takePending() (update membership.Update, ok bool) {
	if s.pending == nil {
		return membership.Update{}, false
	}
	update = *s.pending
	s.pending = nil
	return update, true
}

// applyChanges returns a list with changes applied. Removed nodes stay on it as such.
func applyChanges(list, changes []nodelist.Node) []nodelist.Node {
	changed := map[string]bool{}
	for _, node := range changes {
		changed[node.Name] = true
	}
	unchanged := slices.DeleteFunc(slices.Clone(list), func(n nodelist.Node) bool { return changed[n.Name] })
	return append(unchanged, changes...)
}
