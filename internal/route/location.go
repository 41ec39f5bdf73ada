package route

import (
	"errors"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Kind is what a path names.
type Kind int

// Kinds of locations.
const (
	Root       Kind = iota // "/", the list of volumes
	VolumeRoot             // "/volume/", sharded over all shards of the volume
	Unit                   // a placement unit or something below it, on one shard
)

// Location is where a path is stored.
type Location struct {
	Kind   Kind
	Volume int    // index of the configuration's volumes; not for Root
	Unit   string // the placement unit's name, decoded; only for Unit
	Shard  int    // only for Unit
	Path   string // decoded
}

// Errors of targets and paths.
var (
	// ErrMalformedPath is a path that could be read in two ways, or that is not valid.
	ErrMalformedPath = errors.New("the path is malformed: a bad escape, an empty or a dot segment, an escaped slash or a control character")
	// ErrUnknownVolume is a path below a volume that is not configured.
	ErrUnknownVolume = errors.New("there is no such volume")
	// ErrTargetForm is a request target in neither origin nor absolute form.
	ErrTargetForm = errors.New("the target is neither a path nor an http URL")
)

// SplitTarget takes path and authority out of a request target in origin or absolute form
// (RFC 9112 3.2). authority is empty for origin form. The query is dropped, as no resource
// has one. The error is ErrTargetForm.
func SplitTarget(target string) (path, authority string, err error) {
	if !strings.HasPrefix(target, "/") {
		rest, ok := cutScheme(target)
		if !ok {
			return "", "", ErrTargetForm
		}
		authority, target, _ = strings.Cut(rest, "/")
		target = "/" + target
		if authority == "" {
			return "", "", ErrTargetForm
		}
	}
	path, _, _ = strings.Cut(target, "?")
	return path, authority, nil
}

// cutScheme cuts off "http://" or "https://", in any case, if something follows it.
func cutScheme(s string) (rest string, ok bool) {
	for _, scheme := range [...]string{"http://", "https://"} {
		if len(s) > len(scheme) && strings.EqualFold(s[:len(scheme)], scheme) {
			return s[len(scheme):], true
		}
	}
	return "", false
}

// DecodePath decodes percent escapes and rejects a path that has more than one reading.
// Guards against two names for one resource, which would be placed on two shards. The error
// is ErrMalformedPath.
func DecodePath(path string) (string, error) {
	path, err := unescape(path)
	if err != nil {
		return "", err
	}
	if err := checkSegments(path); err != nil {
		return "", err
	}
	return path, nil
}

// unescape decodes percent escapes. An escaped slash is an error, as it would be read as
// the end of a segment.
func unescape(path string) (string, error) {
	if strings.IndexByte(path, '%') < 0 {
		return path, nil
	}
	b := make([]byte, 0, len(path))
	for i := 0; i < len(path); i++ {
		c := path[i]
		if c == '%' {
			if i+2 >= len(path) {
				return "", ErrMalformedPath
			}
			high, low := hexDigit(path[i+1]), hexDigit(path[i+2])
			if high < 0 || low < 0 {
				return "", ErrMalformedPath
			}
			c = byte(high<<4 | low)
			if c == '/' || c == 0 {
				return "", ErrMalformedPath
			}
			i += 2
		}
		b = append(b, c)
	}
	return string(b), nil
}

// hexDigit is the value of a hexadecimal digit, -1 for another character.
func hexDigit(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c|0x20 && c|0x20 <= 'f':
		return int(c|0x20-'a') + 10
	}
	return -1
}

// checkSegments rejects control characters, backslashes, and empty and dot segments. The
// last segment may be empty.
func checkSegments(path string) error {
	for i := 0; i < len(path); i++ {
		if path[i] < ' ' || path[i] == 0x7f || path[i] == '\\' {
			return ErrMalformedPath
		}
		if path[i] != '/' || i == len(path)-1 {
			continue
		}
		segment, _, _ := strings.Cut(path[i+1:], "/")
		if segment == "" || segment == "." || segment == ".." {
			return ErrMalformedPath
		}
	}
	return nil
}

// Locate finds the location of a path as SplitTarget returns it. The errors are
// ErrMalformedPath and ErrUnknownVolume.
func (t *Table) Locate(path string) (Location, error) {
	path, err := DecodePath(path)
	if err != nil {
		return Location{}, err
	}
	location := Location{Path: path}
	volumeName, rest, _ := strings.Cut(path[1:], "/")
	if volumeName == "" {
		return location, nil
	}
	volume, ok := t.volumes[volumeName]
	if !ok {
		return location, ErrUnknownVolume
	}
	location.Kind, location.Volume = VolumeRoot, volume
	if rest == "" {
		return location, nil
	}
	location.Kind = Unit
	location.Unit, _, _ = strings.Cut(rest, "/")
	location.Shard = selectShard(location.Unit, t.config.Volumes[volume].Shards)
	return location, nil
}

// selectShard selects the shard of a unit by rendezvous hashing: that with the highest hash
// of unit and shard. So a shard more or less moves only the units that are then on it. The
// result must never change for the same input, as stored data is found by it.
func selectShard(unit string, shards []int) (selected int) {
	unitHash := xxhash.Sum64String(unit)
	highest := uint64(0)
	for i, shard := range shards {
		hash := mixHash(unitHash ^ uint64(shard+1)*0x9e3779b97f4a7c15)
		if i == 0 || hash > highest {
			selected, highest = shard, hash
		}
	}
	return selected
}

// mixHash spreads each bit over the whole word, with the constants of MurmurHash3's finalizer.
func mixHash(x uint64) uint64 {
	x *= 0xff51afd7ed558ccd
	x ^= x >> 32
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 29
	return x
}
