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
	PreviousStart      time.Time // Start of the window of PreviousOwner; zero if there was no handover.
	PreviousOwner      string
}

// PullRequest is a request for state.
type PullRequest struct {
	Self  *dogmember.Member // Record of the caller; nil if not sent.
	Parts []uint32          // Partial hashes (dogmember.Pull); empty for the whole state.
	// ContractsOnly requests contracts only: the texts of those of Customers, or the
	// generations of all contracts if Customers is empty.
	ContractsOnly bool
	Customers     []string
}

// PullResponse is the response to a PullRequest.
type PullResponse struct {
	Updates []dogmember.Update
	Texts   []dogconfig.Text
}

// PromiseRequest asks the witness of a key range for the promise that it does not take
// over the range before End.
type PromiseRequest struct {
	Service            string
	Number             int
	Epoch              int64
	Owner              string
	WitnessIncarnation uint64
	End                time.Time
}

// Record is the state of one key at its owner.
type Record = dogrecord.Record

// HandOverRequest transfers one part of the records of a key range to the next owner of
// the range.
type HandOverRequest struct {
	Service    string
	Number     int
	Epoch      int64
	Start, End time.Time
	Records    []Record
	Last       bool
	// Incarnation is that of the process that is to take over the range.
	Incarnation uint64
}

// Grant is the response to a PromiseRequest or HandOverRequest.
type Grant struct {
	OK      bool
	Refusal string
}
