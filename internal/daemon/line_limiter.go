package daemon

import "golang.org/x/time/rate"

// lineLimiter limits the rate of one kind of log line, so that a burst of client connections does not
// flood the log. The number of suppressed lines is reported with the next line that is logged.
type lineLimiter struct {
	limiter    *rate.Limiter
	suppressed int
}

// newLineLimiter returns a limiter that allows perSecond lines per second, and bursts of that size.
func newLineLimiter(perSecond int) lineLimiter {
	return lineLimiter{limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond)}
}

// allow reports whether a line may be logged now, and if so, the number of lines suppressed since the
// last one that was allowed.
func (l *lineLimiter) allow() (suppressed int, ok bool) {
	if !l.limiter.Allow() {
		l.suppressed++
		return 0, false
	}
	suppressed = l.suppressed
	l.suppressed = 0
	return suppressed, true
}
