package dogcontract

import (
	"crypto/sha256"
	"crypto/subtle"
	"slices"
	"time"
)

// Contract is the validated configuration of one customer. It is immutable and
// safe for concurrent use.
type Contract struct {
	customer      string
	generation    int64
	credentials   [][sha256.Size]byte
	resendPercent int
	resendBurst   int
	services      []Service
	classes       []Class
	index         map[indexKey]prefixIndex
}

// Service is the capacity of one service, as stated in the contract.
type Service struct {
	name        string
	workers     int
	slots       int
	connections int
}

// Class is a group of requests to which the same rules apply.
type Class struct {
	name       string
	service    string
	methods    []string
	path       string
	importance int
	idempotent bool
	deadline   time.Duration
	retries    int
	maxBody    int64
}

// Customer returns the name of the customer.
func (c *Contract) Customer() string { return c.customer }

// Generation returns the generation, at least 1.
func (c *Contract) Generation() int64 { return c.generation }

// ResendPercent returns the number of resends allowed, in per cent of the first
// attempts.
func (c *Contract) ResendPercent() int { return c.resendPercent }

// ResendBurst returns the size of the token bucket for resends.
func (c *Contract) ResendBurst() int { return c.resendBurst }

// Services returns a copy of the services, in the order of the file.
func (c *Contract) Services() []Service { return slices.Clone(c.services) }

// Service returns the service with the given name.
func (c *Contract) Service(name string) (Service, bool) {
	for _, s := range c.services {
		if s.name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Classes returns a copy of the classes, in the order of the file.
func (c *Contract) Classes() []Class { return slices.Clone(c.classes) }

// Class returns the class with the given name.
func (c *Contract) Class(name string) (Class, bool) {
	for i := range c.classes {
		if c.classes[i].name == name {
			return c.classes[i], true
		}
	}
	return Class{}, false
}

// Authorized reports whether the credential is one of the contract's. It compares
// all digests in constant time, so that the time taken shows neither which of
// them differ nor where.
func (c *Contract) Authorized(credential string) bool {
	sum := sha256.Sum256([]byte(credential))
	match := 0
	for i := range c.credentials {
		match |= subtle.ConstantTimeCompare(sum[:], c.credentials[i][:])
	}
	return match == 1
}

// Name returns the name of the service.
func (s Service) Name() string { return s.name }

// Workers returns the number of workers.
func (s Service) Workers() int { return s.workers }

// Slots returns the number of requests that one worker runs concurrently.
func (s Service) Slots() int { return s.slots }

// Connections returns the number of connections that one worker accepts.
func (s Service) Connections() int { return s.connections }

// Name returns the name of the class.
func (c Class) Name() string { return c.name }

// Service returns the service that the class belongs to.
func (c Class) Service() string { return c.service }

// Methods returns a copy of the HTTP methods.
func (c Class) Methods() []string { return slices.Clone(c.methods) }

// Path returns the path prefix, without the service.
func (c Class) Path() string { return c.path }

// Importance returns the importance, 0 to dogwoodford.MaxImportance.
func (c Class) Importance() int { return c.importance }

// Idempotent reports whether a request may run more than once.
func (c Class) Idempotent() bool { return c.idempotent }

// Deadline returns the longest time that a request may take.
func (c Class) Deadline() time.Duration { return c.deadline }

// Retries returns the number of retries that the whole call tree of a request
// may spend.
func (c Class) Retries() int { return c.retries }

// MaxBody returns the maximum size of a request body in bytes.
func (c Class) MaxBody() int64 { return c.maxBody }
