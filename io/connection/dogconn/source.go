package dogconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// errUnusable means that an idle connection was closed by the server or has unread bytes.
// Bytes that belong to no call would be read as the next response.
var errUnusable = errors.New("idle connection is unusable")

// source is the reading side of a connection.
type source struct {
	conn *conn
	raw  syscall.RawConn // nil if the connection is not one of the operating system.
	// beforeWait, if set, is called once by the next Read before it waits for bytes. If
	// there are bytes already, or the connection is closed, Read returns errUnusable and
	// does not call it. Read returns its error.
	beforeWait func() error

	poll func(fd uintptr) bool // The method pollOnce, allocated once.
	look look
}

// look is the state of a Read that calls beforeWait.
type look struct {
	p         []byte
	n         int
	readErr   error
	called    bool // beforeWait was called.
	beforeErr error
}

func newSource(c *conn) *source {
	s := &source{conn: c}
	s.poll = s.pollOnce
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			s.raw = raw
		}
	}
	return s
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if s.beforeWait == nil {
		return s.conn.Read(p)
	}
	if s.raw != nil {
		return s.lookAndRead(p)
	}
	if err := s.takeBeforeWait()(); err != nil {
		return 0, err
	}
	return s.conn.Read(p)
}

func (s *source) takeBeforeWait() func() error {
	f := s.beforeWait
	s.beforeWait = nil
	return f
}

// lookAndRead is Read for connections of the operating system. The first of its system
// calls is the look.
func (s *source) lookAndRead(p []byte) (int, error) {
	s.look = look{p: p}
	err := s.raw.Read(s.poll)
	l := s.look
	s.look = look{} // Keeps no reference to p.
	switch {
	case l.beforeErr != nil:
		return 0, l.beforeErr
	case err != nil:
		return 0, err
	case !l.called:
		s.beforeWait = nil
		return 0, errUnusable
	case l.readErr != nil:
		return 0, fmt.Errorf("read from server: %w", l.readErr)
	case l.n == 0:
		return 0, io.EOF
	}
	return l.n, nil
}

// pollOnce tries to read and reports whether the read has ended.
func (s *source) pollOnce(fd uintptr) bool {
	l := &s.look
	l.n, l.readErr = readSocket(int(fd), l.p)
	if l.readErr != unix.EAGAIN {
		return true
	}
	if !l.called {
		l.called = true
		l.beforeErr = s.takeBeforeWait()()
	}
	return l.beforeErr != nil
}

// readSocket reads from a socket, again if a signal interrupts it.
func readSocket(fd int, p []byte) (int, error) {
	for {
		n, err := unix.Read(fd, p)
		if err != unix.EINTR {
			return n, err
		}
	}
}
