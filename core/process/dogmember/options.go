package dogmember

import (
	"math/rand/v2"
	"time"
)

// Options configure a Membership. Zero durations and counts take the defaults
// given at the end of the comments.
type Options struct {
	Self  Member   // Own record; State and Suspected are ignored.
	Seeds []string // Peer addresses from the settings.
	Rand  *rand.Rand
	// Size returns the encoded size of an update in bytes, 0 if it cannot be
	// sent.
	Size func(Update) int
	// Platform reports whether there is a platform to read seeds from.
	Platform bool

	ProbeInterval         time.Duration // Time between probes; 1 s.
	ProbeTimeout          time.Duration // Timeout of a direct probe; the call for an indirect one has twice that; 500 ms.
	SuspectTimeout        time.Duration // Time from a suspicion to the failure; 4 s.
	UntrustedClaimTimeout time.Duration // Time to refute a claim of failure by a node that was itself declared failed within the last minute; 30 s.
	FailedProbeInterval   time.Duration // Time between probes of failed members, one at a time; 10 s.
	SeedProbeInterval     time.Duration // Time between probes of a seed that is not a present member; 30 s.
	EndedRetention        time.Duration // Time after which members that failed or left are removed; 12 h.
	SyncInterval          time.Duration // Least time between pulls caused by differing hashes; 2 s.
	SeedWriteInterval     time.Duration // Least time between writes of the members object; 10 s.
	SeedReadInterval      time.Duration // Time between reads of an unchanged members object; 60 s.
	IndirectProbes        int           // Nodes asked to probe on a miss; 3.
	UrgentFanout          int           // Peers that an urgent update is sent to at once; 3.
	UrgentRate            int           // Notify messages per second with urgent updates, on average; 1.
	UrgentBurst           int           // Notify messages with urgent updates that may be sent at once; 12.
	SyncRate              int           // Average bytes per second that pulls caused by differing hashes may transfer; 3,000.
	MessageBytes          int           // Bytes of updates per message; 600.
	QueueLimit            int           // Updates per queue that wait to be sent; 4,096.
}

func (o Options) withDefaults() Options {
	setDuration(&o.ProbeInterval, time.Second)
	setDuration(&o.ProbeTimeout, 500*time.Millisecond)
	setDuration(&o.SuspectTimeout, 4*time.Second)
	setDuration(&o.UntrustedClaimTimeout, 30*time.Second)
	setDuration(&o.FailedProbeInterval, 10*time.Second)
	setDuration(&o.SeedProbeInterval, 30*time.Second)
	setDuration(&o.EndedRetention, 12*time.Hour)
	setDuration(&o.SyncInterval, 2*time.Second)
	setDuration(&o.SeedWriteInterval, 10*time.Second)
	setDuration(&o.SeedReadInterval, 60*time.Second)
	setInt(&o.IndirectProbes, 3)
	setInt(&o.UrgentFanout, 3)
	setInt(&o.UrgentRate, 1)
	setInt(&o.UrgentBurst, 12)
	setInt(&o.SyncRate, 3000)
	setInt(&o.MessageBytes, 600)
	setInt(&o.QueueLimit, 4096)
	return o
}

func setDuration(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

func setInt(n *int, v int) {
	if *n == 0 {
		*n = v
	}
}
