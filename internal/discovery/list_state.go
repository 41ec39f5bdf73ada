package discovery

import (
	"errors"
	"fmt"
	"slices"

	"maddergap/internal/membership"
	"maddergap/internal/nodelist"
)

// syncState says whether the client's list is known to match the server's. It determines the kind
// of the next request.
type syncState uint8

const (
	unsynced syncState = iota // no list to build on: request the full list
	stale                     // changes of the list may have been missed: request them without a hold
	current                   // no sign of missed changes: watch the list
)

func (s syncState) String() string { return [...]string{"unsynced", "stale", "current"}[s] }

// listState holds the version of the client's list, whether it matches the server's, and the update
// that the gateway has not taken yet.
type listState struct {
	sync    syncState
	version int64 // version of the list in effect; valid unless unsynced
	// resumedNodes is the list from before the start, until the first list is received or the full
	// list is required. The first update is always a full list: if the server sends changes, they
	// are applied to resumedNodes. nil if there is no such list.
	resumedNodes []nodelist.Node
	// pending combines the lists received since the last update was taken; nil if there are none.
	pending *membership.Update
}

// resume sets the list that is known from before the start.
func (s *listState) resume(version int64, nodes []nodelist.Node) {
	s.sync = stale
	s.version = version
	s.resumedNodes = nodes
}

// requireFullList makes the next request one for the full list. It keeps the pending update.
func (s *listState) requireFullList() {
	s.sync = unsynced
	s.resumedNodes = nil
}

// markStale makes the next request one for the changes, unless the full list is needed anyway.
func (s *listState) markStale() {
	if s.sync == current {
		s.sync = stale
	}
}

// nextRequest returns the kind of the next request.
func (s *listState) nextRequest() requestKind {
	switch s.sync {
	case current:
		return watchRequest
	case stale:
		return changesRequest
	}
	return fullListRequest
}

// handleCallFailure updates the state after a call that brought no usable list:
//   - A rejected call changes nothing, as the server sent no changes in response.
//   - A call without a complete response may have lost changes, unless its connection was lost
//     before the request was sent.
//   - After any other error, client and server may disagree, and the full list is required.
func (s *listState) handleCallFailure(requestSent bool, cause error) {
	switch {
	case isRejection(cause):
	case errors.Is(cause, ErrNoResponse):
		s.markStale()
	case errors.Is(cause, ErrConnectionLost):
		if requestSent {
			s.markStale()
		}
	default:
		s.requireFullList()
	}
}

// apply applies a list that was received in response to a request of the given kind. confirmedAt is
// the last time at which the previous list was known to be in effect, 0 if there was none. Errors
// wrap ErrUnexpectedList or ErrStaleIndex and leave the state unchanged.
func (s *listState) apply(kind requestKind, list endpointList, confirmedAt Time) error {
	if err := s.check(kind, &list); err != nil {
		return err
	}
	if s.resumedNodes != nil && !list.snapshot {
		list.nodes = applyChanges(s.resumedNodes, list.nodes)
		list.snapshot = true
	}
	s.sync = current
	s.version = list.index
	s.resumedNodes = nil
	if len(list.nodes) > 0 {
		s.addPending(list, confirmedAt)
	}
	return nil
}

// check reports why a list cannot be applied, or returns nil.
func (s *listState) check(kind requestKind, list *endpointList) error {
	switch {
	case !list.snapshot && kind == fullListRequest:
		return fmt.Errorf("%w: changes in response to a request for the full list", ErrUnexpectedList)
	case list.snapshot && len(list.nodes) == 0:
		// A server that lost its state would otherwise remove every node, and all requests would fail.
		return fmt.Errorf("%w: a full list without nodes", ErrUnexpectedList)
	case s.sync != unsynced && list.index < s.version:
		return fmt.Errorf("%w: got %d after %d", ErrStaleIndex, list.index, s.version)
	}
	return nil
}

// addPending adds changes to the pending update. A full list replaces the pending update.
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

// takePending returns the pending update and clears it. ok is false if there is none.
func (s *listState) takePending() (update membership.Update, ok bool) {
	if s.pending == nil {
		return membership.Update{}, false
	}
	update = *s.pending
	s.pending = nil
	return update, true
}

// applyChanges returns a list with changes applied. Removed nodes stay in it, with their state.
func applyChanges(list, changes []nodelist.Node) []nodelist.Node {
	changed := map[string]bool{}
	for _, node := range changes {
		changed[node.Name] = true
	}
	unchanged := slices.DeleteFunc(slices.Clone(list), func(n nodelist.Node) bool { return changed[n.Name] })
	return append(unchanged, changes...)
}
