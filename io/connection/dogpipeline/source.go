package dogpipeline

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// source is the reading side of a connection. It bounds the bytes of a head and
// records when the last bytes arrived.
type source struct {
	conn    net.Conn
	raw     syscall.RawConn // nil if conn has none.
	inHead  bool
	allowed int                 // Bytes that may still be read in the head.
	grow    func(p []byte) bool // Reports whether the head may grow by p.
	last    time.Time           // Time of the last read.
	err     error               // Error of the last read.
	// beforeWait, if set, is called before Read waits for bytes: if there are none yet
	// and the connection is open, as far as this can be told without waiting.
	beforeWait func()

	poll    func(fd uintptr) bool // The method pollOnce, allocated once.
	p       []byte                // What pollOnce reads into.
	n       int                   // Result of pollOnce.
	readErr error                 // Result of pollOnce.
}

var (
	errHeadTooLong = errors.New("request head too long")
	// errHeadTooCostly means that the head would take more memory than there is for it.
	errHeadTooCostly = errors.New("request head takes too much memory")
)

func newSource(c net.Conn) *source {
	s := &source{conn: c}
	s.poll = s.pollOnce
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			s.raw = raw
		}
	}
	return s
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if s.inHead {
		if s.allowed <= 0 {
			return 0, errHeadTooLong
		}
		p = p[:min(len(p), s.allowed)]
	}
	n, err := s.read(p)
	s.last, s.err = time.Now(), err
	s.allowed -= n
	if s.inHead && n > 0 && !s.grow(p[:n]) {
		return 0, errHeadTooCostly
	}
	return n, err
}

func (s *source) read(p []byte) (int, error) {
	if s.beforeWait == nil {
		return s.conn.Read(p)
	}
	if s.raw == nil {
		s.beforeWait()
		return s.conn.Read(p)
	}
	return s.readOrNotify(p)
}

// readOrNotify is read for connections of the operating system. It costs one system
// call if bytes are there, as net.Conn.Read does.
func (s *source) readOrNotify(p []byte) (int, error) {
	s.p = p
	err := s.raw.Read(s.poll)
	n, readErr := s.n, s.readErr
	s.p, s.n, s.readErr = nil, 0, nil
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, fmt.Errorf("read from client: %w", readErr)
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// pollOnce tries to read and reports whether the read has ended.
func (s *source) pollOnce(fd uintptr) bool {
	for {
		s.n, s.readErr = unix.Read(int(fd), s.p)
		if s.readErr != unix.EINTR {
			break
		}
	}
	if s.readErr == unix.EAGAIN {
		s.beforeWait()
		return false
	}
	return true
}
