package route

import (
	"errors"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Kind is the kind of resource that a path names.
type Kind int

// Kinds of locations.
const (
	Root          Kind = iota // "/", the list of volumes
	VolumeRoot                // "/volume/", whose content is distributed over all shards of the volume
	PlacementUnit             // a placement unit or a resource below it, on one shard
)

// Location is the place where the resource of a path is stored.
type Location struct {
	Kind          Kind
	Volume        int    // index of the volume in the configuration; not set for Root
	PlacementUnit string // decoded name of the placement unit; set for kind PlacementUnit only
	Shard         int    // shard of the placement unit; set for kind PlacementUnit only
	Path          string // decoded path
}

// Errors of targets and paths.
var (
	// ErrMalformedPath is returned for a path that is invalid or ambiguous.
	ErrMalformedPath = errors.New("the path is malformed: a bad escape, an empty or a dot segment, an escaped slash or a control character")
	// ErrUnknownVolume is returned for a path whose volume is not configured.
	ErrUnknownVolume = errors.New("there is no such volume")
	// ErrTargetForm is returned for a request target that is neither in origin nor in absolute form.
	ErrTargetForm = errors.New("the target is neither a path nor an http URL")
)

// SplitTarget returns the path and the authority of a request target in origin or absolute form
// (RFC 9112 3.2). authority is empty for origin form. The query is dropped, since no resource has one.
// The error is ErrTargetForm.
func SplitTarget(target string) (path, authority string, err error) {
	if !strings.HasPrefix(target, "/") {
		withoutScheme, ok := trimScheme(target)
		if !ok {
			return "", "", ErrTargetForm
		}
		authority, target, _ = strings.Cut(withoutScheme, "/")
		target = "/" + target
		if authority == "" {
			return "", "", ErrTargetForm
		}
	}
	path, _, _ = strings.Cut(target, "?")
	return path, authority, nil
}

// trimScheme removes "http://" or "https://", regardless of case. ok is false if s does not begin with
// one of them or nothing follows.
func trimScheme(s string) (remaining string, ok bool) {
	for _, scheme := range [...]string{"http://", "https://"} {
		if len(s) > len(scheme) && strings.EqualFold(s[:len(scheme)], scheme) {
			return s[len(scheme):], true
		}
	}
	return "", false
}

// DecodePath decodes the percent escapes of a path and rejects an ambiguous path. Otherwise one resource
// could have two names, which would be placed on two shards. The error is ErrMalformedPath.
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

// unescape decodes percent escapes. An escaped slash is an error, since it would become the end of a
// segment. So is an escaped NUL.
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

// hexDigit returns the value of a hexadecimal digit, or -1 for any other character.
func hexDigit(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c|0x20 && c|0x20 <= 'f':
		return int(c|0x20-'a') + 10
	}
	return -1
}

// checkSegments rejects control characters, backslashes, empty segments and dot segments. The last
// segment may be empty.
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

// Locate returns the location of a path that SplitTarget returned. The error is ErrMalformedPath or
// ErrUnknownVolume.
func (t *Table) Locate(path string) (Location, error) {
	path, err := DecodePath(path)
	if err != nil {
		return Location{}, err
	}
	location := Location{Path: path}
	volumeName, unitPath, _ := strings.Cut(path[1:], "/")
	if volumeName == "" {
		return location, nil
	}
	volume, ok := t.volumes[volumeName]
	if !ok {
		return location, ErrUnknownVolume
	}
	location.Kind, location.Volume = VolumeRoot, volume
	if unitPath == "" {
		return location, nil
	}
	location.Kind = PlacementUnit
	location.PlacementUnit, _, _ = strings.Cut(unitPath, "/")
	location.Shard = selectShard(location.PlacementUnit, t.config.Volumes[volume].Shards)
	return location, nil
}

// selectShard selects the shard of a placement unit by rendezvous hashing: the shard with the highest
// hash of unit and shard. Adding a shard moves only the units that are then on the new shard, removing
// one only the units that were on it. The result must never change for the same input, since it is used
// to find stored data.
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

// mixHash mixes the bits of x, with the multipliers of MurmurHash3's finalizer.
func mixHash(x uint64) uint64 {
	x *= 0xff51afd7ed558ccd
	x ^= x >> 32
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 29
	return x
}
