package dogrange

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"dogwoodford"

	"github.com/rotisserie/eris"
)

// Prefix starts the names of all range objects.
const Prefix = "range/"

// ErrValue is returned for an object that holds no valid range.
var ErrValue = eris.New("malformed range object")

// Value is the content of a range object. Times are milliseconds since the
// Unix epoch and bound the issue times of keys.
type Value struct {
	Epoch              int64  `json:"epoch"`
	Owner              string `json:"owner"` // Empty after a release.
	OwnerIncarnation   uint64 `json:"owner_incarnation"`
	OwnerPeer          string `json:"owner_peer"`
	Witness            string `json:"witness"` // Empty if the service has one node.
	WitnessIncarnation uint64 `json:"witness_incarnation"`
	Start              int64  `json:"start"`
	End                int64  `json:"end"`
	PreviousStart      int64  `json:"previous_start"` // Start of the window of PreviousOwner.
	PreviousOwner      string `json:"previous_owner"`
}

// ObjectName returns the name of the object of a range.
func ObjectName(service string, number int) string {
	return Prefix + service + "/" + strconv.Itoa(number)
}

// ParseObjectName is the inverse of ObjectName.
func ParseObjectName(name string) (service string, number int, ok bool) {
	rest, ok := strings.CutPrefix(name, Prefix)
	if !ok {
		return "", 0, false
	}
	i := strings.LastIndexByte(rest, '/')
	if i <= 0 {
		return "", 0, false
	}
	number, err := strconv.Atoi(rest[i+1:])
	if err != nil || number < 0 || number >= dogwoodford.KeyRanges || ObjectName(rest[:i], number) != name {
		return "", 0, false
	}
	return rest[:i], number, true
}

// maxMs is the first time that a UUID of version 7 cannot hold.
const maxMs = 1 << 48

// ParseValue parses and checks the content of a range object.
func ParseValue(b []byte) (Value, error) {
	var v Value
	if err := json.Unmarshal(b, &v); err != nil {
		return Value{}, fmt.Errorf("parse range: %w: %s", ErrValue, err.Error())
	}
	if err := v.check(); err != nil {
		return Value{}, err
	}
	return v, nil
}

func (v Value) check() error {
	switch {
	case v.Epoch < 1:
		return fmt.Errorf("epoch %d: %w", v.Epoch, ErrValue)
	case v.Start < 0 || v.End < v.Start || v.End >= maxMs:
		return fmt.Errorf("window [%d, %d): %w", v.Start, v.End, ErrValue)
	case v.Owner == "" && v.Start != v.End:
		return fmt.Errorf("window without owner: %w", ErrValue)
	case v.Owner != "" && v.Owner == v.Witness:
		return fmt.Errorf("owner is its own witness: %w", ErrValue)
	}
	return nil
}

// Bytes returns the content of the object.
func (v Value) Bytes() []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic("dogrange: marshal of plain fields failed") // Strings and integers always marshal.
	}
	return b
}

// Release returns the content that frees a range whose owner and witness are
// both lost for good, for the operator command. old is the present content,
// possibly malformed. Keys issued before the returned End are refused. The
// caller asserts that neither process still runs.
func Release(now time.Time, old []byte) Value {
	v, err := ParseValue(old)
	if err != nil {
		// The count of epochs is lost; the time in milliseconds is above any
		// count that renewals and failovers can have reached.
		v = Value{Epoch: now.UnixMilli()}
	}
	end := max(v.End, now.UnixMilli()+DefaultWindow.Milliseconds())
	return Value{Epoch: v.Epoch + 1, Start: end, End: end, PreviousStart: v.Start, PreviousOwner: v.Owner}
}
