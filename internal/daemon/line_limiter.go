package daemon

import "golang.org/x/time/rate"

// lineLimiter bounds how often one kind of line is logged, so that a flood of clients does not
// become one of the log. Lines that are left out are counted in the next one.
type lineLimiter struct {
	limiter    *rate.Limiter
	suppressed int
}

func newLineLimiter(perSecond int) lineLimiter {
	return lineLimiter{limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond)}
}

// allow reports whether a line may be logged now, and how many were left out since the last one.
func (l *lineLimiter) allow() (suppressed int, ok bool) {
	if !l.limiter.Allow() {
		l.suppressed++
		return 0, false
	}
	suppressed = l.suppressed
	l.suppressed = 0
	return suppressed, true
}
