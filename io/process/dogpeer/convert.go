package dogpeer

import (
	"github.com/rotisserie/eris"

	"dogwoodford/core/process/dogmember"
	"dogwoodford/io/process/dogpeer/peerpb"
)

// ErrMalformed is returned for a message that fails validation.
var ErrMalformed = eris.New("malformed peer message")

// EncodeUpdate returns the message of an update. It panics if the value is of
// a type that no update carries.
func EncodeUpdate(u dogmember.Update) *peerpb.Update { return nil }

// DecodeUpdate validates and returns an update.
func DecodeUpdate(p *peerpb.Update) (dogmember.Update, error) { return dogmember.Update{}, nil }

// UpdateSize returns the encoded size of an update in a message, 0 if it fails
// validation. It is the Size of dogmember.Options.
func UpdateSize(u dogmember.Update) int { return 0 }
