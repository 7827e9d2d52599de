package dogsidecar

import (
	"context"
	"net/http"
	"time"

	"dogwoodford/core/process/dogtarget"
	"dogwoodford/core/version/dogtable"
	"dogwoodford/io/request/dogrelay"
)

// Settings configure a node. The retry budget and Grace can change while it
// runs.
type Settings struct {
	Node       string
	Service    string
	DataCentre string

	Outbound string // Listen address for callers on the same machine.
	Inbound  string // Listen address for other nodes.
	Ready    string // Listen address for readiness checks.
	Control  string // Listen address for heartbeats of the target.
	Metrics  string // Listen address for metrics; none if empty.
	// Advertised is the address at which other nodes reach Inbound.
	Advertised string

	Target    string        // Address of the target beside the node.
	Heartbeat time.Duration // Usual interval between two heartbeats.

	RetryRatio  float64       // Retries per request of a service.
	RetrySlack  float64       // Retries in addition to the ratio, per window, of all nodes together.
	RetryWindow time.Duration // Sliding window over which both are counted.

	// KeyLifetime is the time for which the keys of a configuration are trusted after a
	// moment at which it is known to have been the newest; 0 means without a bound.
	KeyLifetime time.Duration

	QuotaWindow  time.Duration // Sliding window over which the quotas of workspaces hold; 0 if there are none.
	QuotaOverage float64       // Share of a quota by which it may be exceeded in a window.
	QuotaSlack   float64       // Requests by which a quota may be exceeded in addition.
	// Messages is the UDP address for messages between nodes; empty if there is none.
	Messages string

	Grace       time.Duration // Time from the stop signal to the kill.
	MemoryBytes int64         // Memory limit of the process, at which it is killed; 0 if unknown.
	MaxFiles    int           // Descriptors that the process may have open; 0 if unknown.
}

// HeartbeatReceiver receives the messages of targets about themselves.
// Implementations are safe for concurrent use.
type HeartbeatReceiver interface {
	// ReceiveHeartbeat handles a heartbeat and returns how it was handled. An error means
	// that it must not be acknowledged: the target is draining, and this would be forgotten
	// if the process ended.
	ReceiveHeartbeat(ctx context.Context, h dogtarget.Heartbeat) (dogtarget.Effect, error)
	// Leave records that the target with this id is leaving for good. The error is that of
	// ReceiveHeartbeat.
	Leave(ctx context.Context, id string) error
	// Reject records a message that could not be parsed.
	Reject(err error)
}

// Dialect implements the platform's protocols towards callers and targets, and
// the format of its configuration.
type Dialect interface {
	// Headers returns the names of the headers that callers and targets use.
	Headers() dogrelay.Headers
	// ConfigObject returns the kind and name of the configuration's object in
	// the store.
	ConfigObject() (kind, name string)
	// ParseConfig parses the value of the configuration's object.
	ParseConfig(value []byte) (dogtable.Spec, error)
	// HideKeys returns a valid value of the configuration's object with hashes in place of
	// the keys of callers, for other nodes.
	HideKeys(value []byte) ([]byte, error)
	// Control returns the handler for messages of targets, which it passes to
	// receiver.
	Control(receiver HeartbeatReceiver) http.Handler
	// Ready returns the handler for readiness checks.
	Ready(ready func() bool) http.Handler
}
