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

// Prefix is the prefix of the names of all range objects.
const Prefix = "range/"

// ErrValue is returned for an object whose content is not a valid Value.
var ErrValue = eris.New("malformed range object")

// Value is the content of a range object. Times are in milliseconds since the
// Unix epoch and are compared with the issue times of keys.
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

// ObjectName returns the name of the object that stores a range of a service.
func ObjectName(service string, number int) string {
	return Prefix + service + "/" + strconv.Itoa(number)
}

// ParseObjectName is the inverse of ObjectName. ok is false if name is not
// exactly what ObjectName returns for an existing range number.
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

// maxKeyMs is the first time, in milliseconds since the Unix epoch, that a
// version 7 UUID cannot represent.
const maxKeyMs = 1 << 48

// ParseValue decodes and validates the content of a range object. Its errors
// wrap ErrValue.
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
	case v.Start < 0 || v.End < v.Start || v.End >= maxKeyMs:
		return fmt.Errorf("window [%d, %d): %w", v.Start, v.End, ErrValue)
	case v.Owner == "" && v.Start != v.End:
		return fmt.Errorf("window without owner: %w", ErrValue)
	case v.Owner != "" && v.Owner == v.Witness:
		return fmt.Errorf("owner is its own witness: %w", ErrValue)
	}
	return nil
}

// Bytes returns the encoded value, as stored in the object.
func (v Value) Bytes() []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic("dogrange: marshal of plain fields failed") // Strings and integers can always be marshalled.
	}
	return b
}

// Release returns the value that frees a range whose owner and witness have
// both been lost permanently. It serves the operator command. old is the present
// content of the object and may be malformed. Keys issued before the returned
// End are refused. The caller must ensure that neither process still runs.
func Release(now time.Time, old []byte) Value {
	v, err := ParseValue(old)
	if err != nil {
		// The last epoch is unknown; the time in milliseconds is higher than
		// any epoch that renewals and failovers can have reached.
		v = Value{Epoch: now.UnixMilli()}
	}
	end := max(v.End, now.UnixMilli()+DefaultWindow.Milliseconds())
	return Value{Epoch: v.Epoch + 1, Start: end, End: end, PreviousStart: v.Start, PreviousOwner: v.Owner}
}
