package dogsidecar

import (
	"net/http"
	"time"

	"dogwoodford/core/process/dogtarget"
	"dogwoodford/core/version/dogtable"
	"dogwoodford/io/request/dogrelay"
)

// Settings are what a node knows at its start.
type Settings struct {
	Node       string
	Service    string
	DataCentre string

	Outbound string // Listener for callers on the own machine.
	Inbound  string // Listener for other nodes.
	Ready    string // Listener for the question whether the node is ready.
	Control  string // Listener for heartbeats of the target.
	Metrics  string // Listener for metrics; none if empty.
	// Advertised is the address at which other nodes reach Inbound.
	Advertised string

	Target    string        // Address of the target beside the node.
	Heartbeat time.Duration // Usual time between two heartbeats.

	RetryRatio  float64       // Further attempts for each request of a service.
	RetrySlack  float64       // Further attempts beyond the ratio, of all nodes together.
	RetryWindow time.Duration // Time over which both are counted.

	Grace       time.Duration // Time from the stop signal to the kill.
	MemoryBytes int64         // Memory at which the process is killed; 0 if unknown.
}

// Beats takes what targets say of themselves. It is safe for concurrent use.
type Beats interface {
	// Beat takes a heartbeat.
	Beat(r dogtarget.Heartbeat) dogtarget.Effect
	// Leave takes the notice that a target is leaving for good.
	Leave(id string)
	// Reject records a message that could not be read.
	Reject(err error)
}

// Dialect translates between the node and those who speak the platform's
// protocols.
type Dialect interface {
	// Headers returns the headers of callers and targets.
	Headers() dogrelay.Headers
	// ConfigObject returns kind and name of the configuration in the store.
	ConfigObject() (kind, name string)
	// ParseConfig reads the value of the configuration.
	ParseConfig(value []byte) (dogtable.Spec, error)
	// Control returns the handler for messages of targets.
	Control(b Beats) http.Handler
	// Ready returns the handler for the question whether the node is ready.
	Ready(ready func() bool) http.Handler
}
