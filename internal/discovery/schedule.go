package discovery

import (
	"math"
	"math/rand/v2"
)

// never is a time that does not come.
const never = Time(math.MaxInt64)

// callSchedule decides when the next call is made. Backoff and next call change together, and
// only here.
type callSchedule struct {
	policy     callPolicy
	rand       *rand.Rand
	nextCallAt Time
	backoff    Time // after the next call that fails
}

// jitterStream is the second half of the random source's seed. It keeps the jitter apart from
// what else is drawn by the same seed.
const jitterStream = 0x64697363

func newCallSchedule(policy callPolicy, seed uint64) callSchedule {
	return callSchedule{policy: policy, rand: rand.New(rand.NewPCG(seed, jitterStream)), backoff: policy.minBackoff}
}

// restart has the next call made now, as the first one.
func (s *callSchedule) restart(now Time) {
	s.nextCallAt = now
	s.backoff = s.policy.minBackoff
}

// callStarted plans the call behind one that starts now.
func (s *callSchedule) callStarted(now Time) {
	s.nextCallAt = never
	if s.policy.overlapping() {
		s.nextCallAt = now + s.policy.maxCallAge
	}
}

// callFailed plans the retry of a call that started at the given time. Where calls overlap, the
// failure never puts off the next call: it can only bring it forward, to a backoff after the
// failed one started. Where they do not, the retry waits for the backoff with a jitter of half
// of it to either side, so that instances which failed together do not retry together.
func (s *callSchedule) callFailed(now, startedAt Time) {
	backoff := s.backoff
	s.backoff = min(2*s.backoff, s.policy.maxBackoff)
	if s.policy.overlapping() {
		s.nextCallAt = min(s.nextCallAt, max(now, startedAt+backoff))
		return
	}
	s.nextCallAt = now + backoff/2 + Time(s.rand.Int64N(int64(backoff)))
}

// callSucceeded ends the backoff.
func (s *callSchedule) callSucceeded() { s.backoff = s.policy.minBackoff }

// hold draws how long the server may hold the next watch.
func (s *callSchedule) hold() Time {
	hold := s.policy.watchHold
	if s.policy.watchHoldJitter > 0 {
		hold += Time(s.rand.Int64N(int64(s.policy.watchHoldJitter)))
	}
	return hold
}

// timeout is how long a call may take from its request on, by what it asks for. hold is that of
// a watch.
func (s *callSchedule) timeout(kind requestKind, hold Time) Time {
	if kind == fullListRequest {
		return s.policy.listTimeout
	}
	return max(hold+s.policy.watchResponseTimeout, s.policy.listTimeout)
}

// mayStart reports whether another call may be made beside those under way.
func (s *callSchedule) mayStart(now Time, calls []*call) bool {
	if now < s.nextCallAt {
		return false
	}
	if !s.policy.overlapping() {
		return len(calls) == 0
	}
	return now >= deferredUntil(calls)
}

// deferredUntil is until when the responses that are being received put off another call: one
// that makes progress is likely to be complete before another could be.
func deferredUntil(calls []*call) (until Time) {
	for _, k := range calls {
		if k.state == receiving {
			until = max(until, min(k.firstByteAt+maxResponseDeferral, k.lastByteAt+responseStallTimeout))
		}
	}
	return until
}

// wakeAt is when something is due without an event: a call, a request or a deadline.
func (s *callSchedule) wakeAt(now Time, calls []*call) Time {
	at := never
	if s.policy.overlapping() {
		at = max(s.nextCallAt, deferredUntil(calls))
	} else if len(calls) == 0 {
		at = s.nextCallAt
	}
	for _, k := range calls {
		if k.state == ready {
			at = min(at, k.notBefore)
		} else {
			at = min(at, k.deadline)
		}
	}
	return max(at, now+1)
}
