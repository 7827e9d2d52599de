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

// Liveness says when a connection whose other side stays silent is given up.
// A connection can go silent without a reset, for instance when the machine
// behind it loses power.
type Liveness struct {
	// Unacknowledged is the time after which bytes that were sent and not
	// acknowledged end the connection. Zero leaves it to the kernel.
	Unacknowledged time.Duration
	// Probe is the time without traffic before the first keep-alive probe, and
	// between probes. Two lost probes end the connection. Zero leaves it to
	// the kernel.
	Probe time.Duration
}

// probesLost is the number of lost keep-alive probes that end a connection.
// With one, the loss of a single packet would.
const probesLost = 2

// Refused reports whether err shows that the machine at the other side lives:
// it refused or reset a connection.
func Refused(err error) bool {
	return errors.Is(err, unix.ECONNREFUSED) || errors.Is(err, unix.ECONNRESET) || errors.Is(err, io.EOF) ||
		errors.Is(err, io.ErrUnexpectedEOF)
}

// Dialer returns a dialer whose connections are given up as l says.
func (l Liveness) Dialer(timeout time.Duration) *net.Dialer {
	d := &net.Dialer{Timeout: timeout}
	if l.Probe > 0 {
		d.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: l.Probe, Interval: l.Probe, Count: probesLost}
	}
	if l.Unacknowledged > 0 {
		d.Control = l.control
	}
	return d
}

func (l Liveness) control(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(l.Unacknowledged.Milliseconds()))
	})
	if err == nil {
		err = failed
	}
	if err != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", err)
	}
	return nil
}
