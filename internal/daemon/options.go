package daemon

import (
	"time"

	"maddergap/internal/gateway"
	"maddergap/scheduler"
)

// Option changes how a Daemon is built.
type Option func(*options)

type options struct {
	newScheduler      SchedulerFactory
	nodeStateInterval time.Duration
}

func newOptions(opts []Option) *options {
	o := &options{newScheduler: defaultScheduler}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// SchedulerFactory makes the scheduler of a gateway. Its error is one of the settings.
type SchedulerFactory func(s scheduler.Settings, seed uint64, now scheduler.Time) (gateway.Scheduler, error)

func defaultScheduler(s scheduler.Settings, seed uint64, now scheduler.Time) (gateway.Scheduler, error) {
	return scheduler.New(s, seed, now)
}

// WithScheduler replaces the scheduler, for comparisons and tests; nil is the default one.
func WithScheduler(f SchedulerFactory) Option {
	return func(o *options) {
		if f != nil {
			o.newScheduler = f
		}
	}
}

// WithNodeStateLog logs at this interval what the scheduler holds of each node beside what is
// on its sockets; 0 (the default) never does. Only an instance of a platform does it.
func WithNodeStateLog(interval time.Duration) Option {
	return func(o *options) { o.nodeStateInterval = interval }
}
