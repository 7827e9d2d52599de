package dogmember

import (
	"math/rand/v2"
	"time"
)

// Options configure a Membership. Zero durations and counts take the defaults
// named in the comments.
type Options struct {
	Self  Member   // Own record; State and Suspected are ignored.
	Seeds []string // Peer addresses from the settings.
	Rand  *rand.Rand
	// Size returns the encoded size of an update in bytes, 0 if it cannot be
	// sent.
	Size func(Update) int
	// Platform tells whether there is a platform to read seeds from.
	Platform bool

	ProbeEvery     time.Duration // Time between probes; 1 s.
	ProbeTimeout   time.Duration // Wait for a direct answer, and for an indirect one; 500 ms.
	SuspectTimeout time.Duration // Suspicion before failure; 4 s.
	HearsayTimeout time.Duration // Wait after a claim of failure by a node that was itself held for failed; 30 s.
	FailedEvery    time.Duration // Time between probes of failed members, one at a time; 10 s.
	SeedEvery      time.Duration // Time between probes of a seed that is not a present member; 30 s.
	Forget         time.Duration // Time after which ended members are forgotten; 12 h.
	SyncEvery      time.Duration // Least time between pulls after differing hashes; 2 s.
	KeepEvery      time.Duration // Least time between writes of the members object; 10 s.
	CheckEvery     time.Duration // Time between reads of an unchanged members object; 60 s.
	Indirect       int           // Nodes asked to probe on a miss; 3.
	UrgentFanout   int           // Peers told of an urgent update; 3.
	UrgentEvery    time.Duration // Time between Notify messages, on average; 4 s.
	UrgentBurst    int           // Notify messages at once; 12.
	SyncRate       int           // Bytes a second that pulls after differing hashes may bring, on average and before compression; 12,000.
	MessageBytes   int           // Bytes of updates per message; 600.
	QueueLimit     int           // Updates that wait to be sent; 4,096.
}

func (o Options) withDefaults() Options {
	setDuration(&o.ProbeEvery, time.Second)
	setDuration(&o.ProbeTimeout, 500*time.Millisecond)
	setDuration(&o.SuspectTimeout, 4*time.Second)
	setDuration(&o.HearsayTimeout, 30*time.Second)
	setDuration(&o.FailedEvery, 10*time.Second)
	setDuration(&o.SeedEvery, 30*time.Second)
	setDuration(&o.Forget, 12*time.Hour)
	setDuration(&o.SyncEvery, 2*time.Second)
	setDuration(&o.UrgentEvery, 4*time.Second)
	setDuration(&o.KeepEvery, 10*time.Second)
	setDuration(&o.CheckEvery, 60*time.Second)
	setInt(&o.Indirect, 3)
	setInt(&o.UrgentFanout, 3)
	setInt(&o.UrgentBurst, 12)
	setInt(&o.SyncRate, 12000)
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
