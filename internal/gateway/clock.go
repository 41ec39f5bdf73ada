package gateway

import "time"

// clock is the gateway's reading of the driver's monotonic clock. It never goes
// back: an earlier reading than the last one is ignored.
type clock struct {
	now    Time
	origin time.Time // wall-clock time of Time zero

	date   []byte // the Date field for the wall-clock second dateOf
	dateOf int64
}

// advance takes a reading of the driver's clock.
func (c *clock) advance(now Time) { c.now = max(c.now, now) }

// wallTime returns the wall-clock time of the last reading.
func (c *clock) wallTime() time.Time { return c.origin.Add(c.now) }

// dateSecond returns the wall-clock second that the Date field of a response made
// now has.
func (c *clock) dateSecond() int64 { return c.wallTime().Unix() }

// appendDate appends the Date header field (RFC 9110 section 6.6.1). The field is
// formatted once a second.
func (c *clock) appendDate(b []byte) []byte {
	if second := c.dateSecond(); second != c.dateOf || c.date == nil {
		c.dateOf = second
		c.date = c.wallTime().UTC().AppendFormat(append(c.date[:0], "Date: "...), "Mon, 02 Jan 2006 15:04:05 GMT\r\n")
	}
	return append(b, c.date...)
}
