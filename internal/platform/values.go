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
	keyBytes         = 16 // hex digits of a key and of a volume
	maxDecimalBytes  = 18 // more digits than any value of the protocol needs
	maxTimeRemaining = time.Hour
	// maxShards bounds shard numbers where the settings do not.
	maxShards = 1 << 20
)

// isID reports whether b is a request ID: 1 to maxIDBytes letters, digits, dashes and underscores.
func isID(b []byte) bool {
	for _, c := range b {
		if !('0' <= c && c <= '9' || 'a' <= c|0x20 && c|0x20 <= 'z' || c == '-' || c == '_') {
			return false
		}
	}
	return len(b) > 0 && len(b) <= maxIDBytes
}

// isHexKey reports whether b is a key or a volume.
func isHexKey(b []byte) bool {
	for _, c := range b {
		if !('0' <= c && c <= '9' || 'a' <= c|0x20 && c|0x20 <= 'f') {
			return false
		}
	}
	return len(b) == keyBytes
}

// parseDecimal reads digits and, if any, a fraction: no sign, exponent, NaN or infinity, which
// strconv would take.
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

// parseTimeRemaining reads a decimal and its unit, m for milliseconds or u for microseconds. It
// has to be 1 ns to maxTimeRemaining.
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

// ioInfo is the content of headerIOInfo.
type ioInfo struct {
	volume    string
	units     float64
	shard     int // -1: a new object
	instances int // through which the volume's requests come
}

// parseIOInfo reads the four members, each of which has to be there once. Others, of a later
// version of the protocol, are ignored.
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

// parseShard reads a shard number below a limit, or -1. limit 0: not known.
func parseShard(value []byte, limit int) (shard int, ok bool) {
	if string(value) == newObjectShard {
		return -1, true
	}
	n, ok := http1.ParseDecimal(value)
	return int(n), ok && n < int64(cmp.Or(limit, maxShards))
}

// parseInstances reads a number from 1 to a limit.
func parseInstances(value []byte, limit int) (instances int, ok bool) {
	n, ok := http1.ParseDecimal(value)
	return int(n), ok && n >= 1 && n <= int64(limit)
}
