package dogconn

import (
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// maxUnansweredProbes is the number of probes of a closed window without an answer from
// which on the peer counts as silent. One may be on its way.
const maxUnansweredProbes = 1

// watcher closes the connection of a call with a long body if its peer becomes silent. The
// kernel would do so by itself, but it does not tell a silent peer from one that
// acknowledges everything and does not read on, whose window is closed.
type watcher struct {
	conn    net.Conn
	timeout time.Duration // Liveness.UnacknowledgedTimeout.
	start   time.Time

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	widened bool // The kernel's own timeout is off.
}

// watch starts a watcher of a connection on which a call starts. It returns nil if nothing
// is to be watched.
func (l Liveness) watch(c net.Conn) *watcher {
	if l.UnacknowledgedTimeout <= 0 {
		return nil
	}
	w := &watcher{conn: c, timeout: l.UnacknowledgedTimeout, start: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.timeout/2, w.check)
	return w
}

// stop ends the watch and reports whether the connection is as before.
func (w *watcher) stop() bool {
	if w == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return !w.widened
}

// check takes over from the kernel, or aborts the call if the peer is silent.
func (w *watcher) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	info, err := tcpInfo(w.conn)
	if err != nil || info.State != tcpEstablished || info.Rtt == 0 {
		return // The kernel tells nothing; its own timeout stays.
	}
	if !w.widened {
		if err := setUserTimeout(w.conn, 0); err != nil {
			return
		}
		w.widened = true
	}
	if time.Since(w.start) >= w.timeout && isSilent(info, w.timeout) {
		_ = w.conn.SetDeadline(pastDeadline)
		return
	}
	w.timer.Reset(w.timeout / 4)
}

// tcpEstablished is the kernel's number for the state of an open connection.
const tcpEstablished = 1

// isSilent reports whether a peer has acknowledged nothing for at least timeout, although
// it would have had to: bytes that were sent, or probes of its closed window. The interval
// of probes doubles, up to far above timeout.
func isSilent(info *unix.TCPInfo, timeout time.Duration) bool {
	quiet := time.Duration(info.Last_ack_recv) * time.Millisecond
	switch {
	case quiet < timeout:
		return false
	case info.Unacked == 0:
		return info.Probes > maxUnansweredProbes
	case info.Snd_wnd > 0:
		return true
	}
	// The window was closed after more had been sent, which is sent again as a probe.
	// After one lost probe, quiet is at most 1.5 times the next interval; after two it
	// gets to 1.75 times.
	return 5*quiet >= 8*time.Duration(info.Rto)*time.Microsecond
}
