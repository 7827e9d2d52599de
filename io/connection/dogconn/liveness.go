package dogconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Liveness determines when a connection to a silent peer is closed. A peer can
// become silent without a reset, for instance when its machine loses power.
type Liveness struct {
	// UnacknowledgedTimeout is the time after which sent bytes that are not
	// acknowledged close the connection. Zero uses the kernel's default.
	UnacknowledgedTimeout time.Duration
	// ProbeInterval is the time without traffic before the first TCP keep-alive
	// probe, and the interval between probes. Two lost probes close the
	// connection. Zero uses the defaults of package net.
	ProbeInterval time.Duration
}

// maxLostProbes is the number of lost keep-alive probes that close a
// connection. It is above one so that the loss of a single packet does not.
const maxLostProbes = 2

// HostResponded reports whether err shows that the machine of the peer is
// running: it refused, reset or closed a connection.
func HostResponded(err error) bool {
	return errors.Is(err, unix.ECONNREFUSED) || errors.Is(err, unix.ECONNRESET) || errors.Is(err, io.EOF) ||
		errors.Is(err, io.ErrUnexpectedEOF)
}

// Dialer returns a dialer with the given dial timeout, whose connections are
// closed as l determines.
func (l Liveness) Dialer(timeout time.Duration) *net.Dialer {
	d := &net.Dialer{Timeout: timeout}
	if l.ProbeInterval > 0 {
		d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: l.ProbeInterval, Interval: l.ProbeInterval, Count: maxLostProbes}
	}
	if l.UnacknowledgedTimeout > 0 {
		d.Control = l.setUserTimeout
	}
	return d
}

func (l Liveness) setUserTimeout(_, _ string, c syscall.RawConn) error {
	return controlSocket(c, func(fd int) error { return putUserTimeout(fd, l.UnacknowledgedTimeout) })
}

// setUserTimeout sets the time after which unacknowledged bytes close c; 0 is the kernel's
// default.
func setUserTimeout(c net.Conn, d time.Duration) error {
	return withSocket(c, func(fd int) error { return putUserTimeout(fd, d) })
}

func putUserTimeout(fd int, d time.Duration) error {
	if err := unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds())); err != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", err)
	}
	return nil
}

// tcpInfo returns what the kernel tells about a connection.
func tcpInfo(c net.Conn) (*unix.TCPInfo, error) {
	var info *unix.TCPInfo
	err := withSocket(c, func(fd int) (err error) {
		if info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err != nil {
			return fmt.Errorf("get TCP_INFO: %w", err)
		}
		return nil
	})
	return info, err
}

// withSocket calls f with the file descriptor of c.
func withSocket(c net.Conn, f func(fd int) error) error {
	s, ok := c.(syscall.Conn)
	if !ok {
		return fmt.Errorf("%T: %w", c, errors.ErrUnsupported)
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return fmt.Errorf("access socket: %w", err)
	}
	return controlSocket(raw, f)
}

func controlSocket(raw syscall.RawConn, f func(fd int) error) error {
	var socketErr error
	if err := raw.Control(func(fd uintptr) { socketErr = f(int(fd)) }); err != nil {
		return fmt.Errorf("access socket: %w", err)
	}
	return socketErr
}
