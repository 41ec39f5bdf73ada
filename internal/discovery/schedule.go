package discovery

import (
	"math"
	"math/rand/v2"
)

// never is a time that is never reached.
const never = Time(math.MaxInt64)

// callSchedule determines the time of the next call. Only its methods change that time and the
// backoff.
type callSchedule struct {
	policy     callPolicy
	rand       *rand.Rand
	nextCallAt Time // earliest time of the next call
	backoff    Time // backoff after the next failed call
}

// jitterStream is the second half of the seed of the random source. It makes the jitter independent
// of other random sources with the same seed.
const jitterStream = 0x64697363

// newCallSchedule returns a schedule whose first call may be made at once.
func newCallSchedule(policy callPolicy, seed uint64) callSchedule {
	return callSchedule{policy: policy, rand: rand.New(rand.NewPCG(seed, jitterStream)), backoff: policy.minBackoff}
}

// restart schedules the next call for now and resets the backoff.
func (s *callSchedule) restart(now Time) {
	s.nextCallAt = now
	s.backoff = s.policy.minBackoff
}

// callStarted schedules the call after one that starts now.
func (s *callSchedule) callStarted(now Time) {
	s.nextCallAt = never
	if s.policy.allowsOverlap() {
		s.nextCallAt = now + s.policy.maxCallAge
	}
}

// handleCallFailure schedules the retry of a call that started at the given time. If calls overlap, the
// failure never delays the next call. It can only make it earlier: one backoff after the start of
// the failed call, or now. If calls do not overlap, the retry waits for 0.5 to 1.5 times the
// backoff, so that instances whose calls failed together do not retry together.
func (s *callSchedule) handleCallFailure(now, startedAt Time) {
	backoff := s.backoff
	s.backoff = min(2*s.backoff, s.policy.maxBackoff)
	if s.policy.allowsOverlap() {
		s.nextCallAt = min(s.nextCallAt, max(now, startedAt+backoff))
		return
	}
	s.nextCallAt = now + backoff/2 + Time(s.rand.Int64N(int64(backoff)))
}

// callSucceeded resets the backoff.
func (s *callSchedule) callSucceeded() { s.backoff = s.policy.minBackoff }

// hold returns the time for which the server may hold the next watch, with jitter.
func (s *callSchedule) hold() Time {
	hold := s.policy.watchHold
	if s.policy.watchHoldJitter > 0 {
		hold += Time(s.rand.Int64N(int64(s.policy.watchHoldJitter)))
	}
	return hold
}

// timeout returns the time that a call may take from its request on. hold is the hold of a watch,
// and 0 for other requests.
func (s *callSchedule) timeout(kind requestKind, hold Time) Time {
	if kind == fullListRequest {
		return s.policy.listTimeout
	}
	return max(hold+s.policy.watchResponseTimeout, s.policy.listTimeout)
}

// mayStart reports whether another call may be made besides the calls under way.
func (s *callSchedule) mayStart(now Time, calls []*call) bool {
	if now < s.nextCallAt {
		return false
	}
	if !s.policy.allowsOverlap() {
		return len(calls) == 0
	}
	return now >= deferredUntil(calls)
}

// deferredUntil returns the time until which the responses being received defer another call: a
// response that makes progress is likely to be complete before another one could be. It returns 0
// if there is no such response.
func deferredUntil(calls []*call) (until Time) {
	for _, k := range calls {
		if k.state == receiving {
			until = max(until, min(k.firstByteAt+maxResponseDeferral, k.lastByteAt+responseStallTimeout))
		}
	}
	return until
}

// wakeAt returns the time at which the next call, request or deadline is due if no event comes first.
func (s *callSchedule) wakeAt(now Time, calls []*call) Time {
	at := never
	if s.policy.allowsOverlap() {
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
