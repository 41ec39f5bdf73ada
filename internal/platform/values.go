package platform

import (
	"bytes"
	"cmp"
	"strconv"
	"time"

	"maddergap/internal/http1"
)

const (
	maxIDBytes       = 64
	keyHexDigits     = 16 // length of a key and of a volume
	maxDecimalBytes  = 18 // longer than any value of the protocol
	maxTimeRemaining = time.Hour
	// maxShards bounds shard numbers if the settings do not contain the number of shards.
	maxShards = 1 << 20
)

// isID reports whether b is a valid request ID: 1 to maxIDBytes letters, digits, dashes and underscores.
func isID(b []byte) bool {
	for _, c := range b {
		if !('0' <= c && c <= '9' || 'a' <= c|0x20 && c|0x20 <= 'z' || c == '-' || c == '_') {
			return false
		}
	}
	return len(b) > 0 && len(b) <= maxIDBytes
}

// isHexKey reports whether b has the form of a key or volume: keyHexDigits hexadecimal digits.
func isHexKey(b []byte) bool {
	for _, c := range b {
		if !('0' <= c && c <= '9' || 'a' <= c|0x20 && c|0x20 <= 'f') {
			return false
		}
	}
	return len(b) == keyHexDigits
}

// parseDecimal parses digits with an optional fraction. Unlike strconv.ParseFloat, it accepts no sign,
// exponent, NaN or infinity.
func parseDecimal(b []byte) (x float64, ok bool) {
	if len(b) == 0 || len(b) > maxDecimalBytes || b[0] == '.' || b[len(b)-1] == '.' {
		return 0, false
	}
	for i, c := range b {
		if (c < '0' || c > '9') && (c != '.' || bytes.IndexByte(b[:i], '.') >= 0) {
			return 0, false
		}
	}
	x, err := strconv.ParseFloat(string(b), 64)
	return x, err == nil
}

// parseTimeRemaining parses a decimal with its unit, m for milliseconds or u for microseconds. The time
// must be in the range of 1 ns to maxTimeRemaining.
func parseTimeRemaining(b []byte) (time.Duration, bool) {
	if len(b) < 2 {
		return 0, false
	}
	x, ok := parseDecimal(b[:len(b)-1])
	switch b[len(b)-1] {
	case 'm':
		x *= float64(time.Millisecond)
	case 'u':
		x *= float64(time.Microsecond)
	default:
		return 0, false
	}
	return time.Duration(x), ok && x >= 1 && x <= float64(maxTimeRemaining)
}

// ioInfo is the parsed value of headerIOInfo.
type ioInfo struct {
	volume    string
	units     float64
	shard     int // -1 for a new object
	instances int // number of instances that receive requests of the volume
}

// parseIOInfo parses the four members of headerIOInfo, each of which is required exactly once. Unknown
// members are ignored, since later versions of the protocol may add some.
func parseIOInfo(b []byte, limits requestLimits) (info ioInfo, ok bool) {
	var seen struct{ volume, units, shard, instances bool }
	for member := range http1.ListElements(b) {
		name, value, found := bytes.Cut(member, []byte("="))
		if !found {
			return info, false
		}
		var duplicate *bool
		switch string(name) {
		case ioInfoVolume:
			duplicate, ok = &seen.volume, isHexKey(value)
			info.volume = string(value)
		case ioInfoUnits:
			duplicate = &seen.units
			info.units, ok = parseDecimal(value)
			ok = ok && info.units > 0 && info.units <= limits.units
		case ioInfoShard:
			duplicate = &seen.shard
			info.shard, ok = parseShard(value, limits.shards)
		case ioInfoInstances:
			duplicate = &seen.instances
			info.instances, ok = parseInstances(value, limits.instances)
		default:
			continue
		}
		if !ok || *duplicate {
			return info, false
		}
		*duplicate = true
	}
	return info, seen.volume && seen.units && seen.shard && seen.instances
}

// parseShard parses a shard number: -1, or a number from 0 to below limit. A limit of 0 means that the
// number of shards is unknown.
func parseShard(value []byte, limit int) (shard int, ok bool) {
	if string(value) == newObjectShard {
		return -1, true
	}
	n, ok := http1.ParseDecimal(value)
	return int(n), ok && n < int64(cmp.Or(limit, maxShards))
}

// parseInstances parses a number from 1 to limit.
func parseInstances(value []byte, limit int) (instances int, ok bool) {
	n, ok := http1.ParseDecimal(value)
	return int(n), ok && n >= 1 && n <= int64(limit)
}
