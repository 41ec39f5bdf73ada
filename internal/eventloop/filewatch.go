package eventloop

import (
	"encoding/binary"
	"fmt"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// fileWatch is an inotify descriptor that watches one file.
type fileWatch struct {
	fd   int    // noDescriptor if no file is watched
	name string // name of the file, without its directory
}

// WatchFile makes the loop call OnFileChange whenever the file is replaced or written.
// A loop watches one file only; WatchFile must not be called twice.
func (l *Loop) WatchFile(file string) error {
	fd, err := unix.InotifyInit1(unix.IN_CLOEXEC | unix.IN_NONBLOCK)
	if err == nil {
		// The directory is watched, as a replaced file has another inode.
		_, err = unix.InotifyAddWatch(fd, filepath.Dir(file), unix.IN_CLOSE_WRITE|unix.IN_MOVED_TO)
	}
	if err != nil {
		return fmt.Errorf("watch %s: %w", file, err)
	}
	l.fileWatch = fileWatch{fd: fd, name: filepath.Base(file)}
	l.descriptors[fd] = descriptorFileWatch
	return l.addToEpoll(fd, unix.EPOLLIN)
}

// serveFileWatch calls OnFileChange if the watched file may have changed.
func (l *Loop) serveFileWatch() {
	if l.fileWatch.readEvents(l.readBuffer) && l.OnFileChange != nil {
		l.OnFileChange()
	}
}

// readEvents reads all pending inotify events and reports whether the watched
// file may have changed. An overflow of the kernel's event queue counts as a change,
// as an event of the file may have been dropped.
func (w *fileWatch) readEvents(buffer []byte) (changed bool) {
	for {
		n, err := unix.Read(w.fd, buffer)
		if err != nil || n < unix.SizeofInotifyEvent {
			return changed
		}
		for p := buffer[:n]; len(p) >= unix.SizeofInotifyEvent; {
			var mask uint32
			var name []byte
			mask, name, p = nextInotifyEvent(p)
			if string(name) == w.name || mask&unix.IN_Q_OVERFLOW != 0 {
				changed = true
			}
		}
	}
}

// nextInotifyEvent decodes the first struct inotify_event (see inotify(7)) in p and returns the
// bytes after it as remaining.
func nextInotifyEvent(p []byte) (mask uint32, name, remaining []byte) {
	const maskOffset, nameLengthOffset = 4, 12
	mask = binary.NativeEndian.Uint32(p[maskOffset:])
	nameLength := int(binary.NativeEndian.Uint32(p[nameLengthOffset:]))
	end := min(unix.SizeofInotifyEvent+nameLength, len(p))
	name = p[unix.SizeofInotifyEvent:end]
	for len(name) > 0 && name[len(name)-1] == 0 { // padding
		name = name[:len(name)-1]
	}
	return mask, name, p[end:]
}
