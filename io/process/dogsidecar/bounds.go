package dogsidecar

import (
	"log/slog"
	"net/http"
	"time"

	"dogwoodford/io/connection/dogpipeline"
	"dogwoodford/io/process/doglog"
	"dogwoodford/io/process/dogmetric"
	"dogwoodford/io/process/dogserve"
)

const (
	// reservedFiles is the number of descriptors that are left for files.
	reservedFiles = 200
	// auxiliaryConns bounds the connections to each listener for readiness, control and
	// metrics. Each of them has a handful of clients.
	auxiliaryConns = 32
	// auxiliaryHeadBytes bounds the heads at these listeners, to which net/http adds 4 KB.
	auxiliaryHeadBytes = 4 << 10
	// auxiliaryBodyBytes bounds the bodies at these listeners. Heartbeats have less than
	// a kilobyte.
	auxiliaryBodyBytes = 64 << 10
	// auxiliaryTimeout bounds the time of a head, a request and a response at these listeners.
	// Their clients are on the same machine or near.
	auxiliaryTimeout = 5 * time.Second
	// callerConnsDivisor and peerConnsDivisor are the parts of the descriptors, as divisors,
	// for the connections of callers and of other nodes. The rest is for those that the
	// process opens. Each of the other nodes keeps several connections, whereas the
	// callers are those of one machine.
	callerConnsDivisor = 4
	peerConnsDivisor   = 2
	// connBytes is the memory of a connection and of the part of a head that no budget
	// bounds.
	connBytes = 32 << 10
	// connMemoryDivisor is the part of the memory, as a divisor, that the connections to
	// one listener may take.
	connMemoryDivisor = 4
	// headMemoryDivisor is the part of the memory, as a divisor, that long heads may take.
	headMemoryDivisor = 8
	// headMargin is what a head may have beyond the limit of the configuration. Entries
	// add headers of their own to what callers send.
	headMargin = 16 << 10
	// headTimeoutFactor is the factor by which a head may exceed the timeout of the
	// configuration, for delays of this process.
	headTimeoutFactor = 2
	// defaultStallTimeout applies if the configuration names no idle timeout.
	defaultStallTimeout = 30 * time.Second
)

// maxConns returns the bound of the connections to a listener for requests, which has a part
// of the descriptors, 0 if there is none.
func (s Settings) maxConns(divisor int) int {
	var out int
	if s.MaxFiles > 0 {
		const others = reservedFiles + auxiliaryListeners*auxiliaryConns
		out = max(1, (s.MaxFiles-others)/divisor)
	}
	if s.MemoryBytes > 0 {
		byMemory := max(1, int(s.MemoryBytes/(connMemoryDivisor*connBytes)))
		if out == 0 || byMemory < out {
			out = byMemory
		}
	}
	return out
}

// aheadDivisor is the part of the requests in progress, as a divisor, that may run ahead of
// responses.
const aheadDivisor = 4

// auxiliaryListeners is the number of listeners for readiness, control and metrics.
const auxiliaryListeners = 3

// newBudget returns the budget for long heads, nil if the memory is unknown.
func (s Settings) newBudget() *dogpipeline.Budget {
	if s.MemoryBytes == 0 {
		return nil
	}
	return dogpipeline.NewBudget(s.MemoryBytes / headMemoryDivisor)
}

// clientLimits returns the limits on clients that follow from the configuration in force.
func (n *node) clientLimits() dogpipeline.Limits {
	out := dogpipeline.Limits{HeadTimeout: headTimeout, StallTimeout: defaultStallTimeout}
	table := n.configs.tables.Table()
	if table == nil {
		return out
	}
	limits := table.Limits()
	if limits.HeaderBytes > 0 {
		out.HeadBytes = limits.HeaderBytes + headMargin
	}
	if limits.HeaderTimeout > 0 {
		out.HeadTimeout = headTimeoutFactor * limits.HeaderTimeout
	}
	if limits.IdleTimeout > 0 {
		out.StallTimeout = limits.IdleTimeout
	}
	return out
}

// reject records that a client of the named listener was rejected.
func (n *node) reject(listener string, r dogpipeline.Reason) {
	n.metrics.AddTo(dogmetric.ClientsRejected, string(r), 1)
	n.log.event(doglog.ClientRejected, slog.String("listener", listener), slog.String("reason", string(r)))
}

// newServer returns a server for short requests without much load.
func (n *node) newServer(name, addr string, h http.Handler) *dogserve.Server {
	s := dogserve.New(name, addr, &http.Server{
		Handler: http.MaxBytesHandler(h, auxiliaryBodyBytes), MaxHeaderBytes: auxiliaryHeadBytes,
		ReadHeaderTimeout: auxiliaryTimeout, ReadTimeout: auxiliaryTimeout, WriteTimeout: auxiliaryTimeout, IdleTimeout: callerIdleTimeout,
		DisableGeneralOptionsHandler: true,
	})
	s.SetMaxConns(auxiliaryConns, func() { n.reject(name, dogpipeline.ReasonConnBound) })
	return s
}
