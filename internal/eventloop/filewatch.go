package eventloop

import (
	"encoding/binary"
	"fmt"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// fileWatch is an inotify descriptor that watches one file.
type fileWatch struct {
	fd   int    // noDescriptor: no file is watched
	name string // without its directory
}

// WatchFile has OnFileChange called whenever the file is replaced or written.
// It watches one file only.
func (l *Loop) WatchFile(file string) error {
	fd, err := unix.InotifyInit1(unix.IN_CLOEXEC | unix.IN_NONBLOCK)
	if err == nil {
		// The directory is watched, as a replaced file is another inode.
		_, err = unix.InotifyAddWatch(fd, filepath.Dir(file), unix.IN_CLOSE_WRITE|unix.IN_MOVED_TO)
	}
	if err != nil {
		return fmt.Errorf("watch %s: %w", file, err)
	}
	l.fileWatch = fileWatch{fd: fd, name: filepath.Base(file)}
	l.descriptors[fd] = descriptorFileWatch
	return l.addToEpoll(fd, unix.EPOLLIN)
}

func (l *Loop) serveFileWatch() {
	if l.fileWatch.readEvents(l.readBuffer) && l.OnFileChange != nil {
		l.OnFileChange()
	}
}

// readEvents reads all pending inotify events and returns whether the watched
// file may have changed. An overflow of the kernel's queue counts as a change,
// as the file's event may be the one that was dropped.
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

// nextInotifyEvent cuts one struct inotify_event (inotify(7)) off the bytes read.
func nextInotifyEvent(p []byte) (mask uint32, name, rest []byte) {
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
