package gateway

import "time"

// clock holds the last reading of the driver's monotonic clock. It never goes back: a
// reading that is earlier than the last one is ignored.
type clock struct {
	now    Time      // last reading
	origin time.Time // wall-clock time of Time zero

	date       []byte // the Date field for dateSecond; nil: not formatted yet
	dateSecond int64  // wall-clock second that date shows
}

// advance takes a reading of the driver's clock.
func (c *clock) advance(now Time) { c.now = max(c.now, now) }

// wallTime returns the wall-clock time of the last reading.
func (c *clock) wallTime() time.Time { return c.origin.Add(c.now) }

// unixSecond returns the wall-clock time of the last reading in seconds since the Unix epoch.
func (c *clock) unixSecond() int64 { return c.wallTime().Unix() }

// appendDate appends the Date header field (RFC 9110 section 6.6.1). The field is formatted
// at most once a second.
func (c *clock) appendDate(b []byte) []byte {
	if second := c.unixSecond(); second != c.dateSecond || c.date == nil {
		c.dateSecond = second
		c.date = c.wallTime().UTC().AppendFormat(append(c.date[:0], "Date: "...), "Mon, 02 Jan 2006 15:04:05 GMT\r\n")
	}
	return append(b, c.date...)
}
