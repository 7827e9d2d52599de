package dogpeer

import (
	"time"

	"dogwoodford/core/process/dogmember"
	"dogwoodford/core/process/dogrecord"
	"dogwoodford/core/version/dogconfig"
)

// Range is the ownership of one key range. Updates carry it by value.
type Range struct {
	Service            string
	Number             int
	Epoch              int64
	Owner              string
	OwnerIncarnation   uint64
	OwnerPeer          string
	Witness            string
	WitnessIncarnation uint64
	Start, End         time.Time
	PreviousStart      time.Time // Zero if there was no hand-over.
	PreviousOwner      string
}

// PullRequest asks for state.
type PullRequest struct {
	Self  *dogmember.Member // Record of the caller; nil if not sent.
	Parts []uint32          // Partial hashes (dogmember.Pull); empty for the whole state.
	// Contracts asks for contracts only: the texts of Customers, or the
	// generations of all if Customers is empty.
	Contracts bool
	Customers []string
}

// PullResponse holds state.
type PullResponse struct {
	Updates []dogmember.Update
	Texts   []dogconfig.Text
}

// Promise asks a witness not to take over before End.
type Promise struct {
	Service            string
	Number             int
	Epoch              int64
	Owner              string
	WitnessIncarnation uint64
	End                time.Time
}

// Record is the fate of one key at its owner.
type Record = dogrecord.Record

// HandOver is one part of the records of a key range.
type HandOver struct {
	Service    string
	Number     int
	Epoch      int64
	Start, End time.Time
	Records    []Record
	Last       bool
	// Incarnation is that of the process that is meant to take the range.
	Incarnation uint64
}

// Grant answers a Promise or HandOver.
type Grant struct {
	OK      bool
	Refusal string
}
