package dogpeer

import (
	"fmt"
	"net/netip"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"dogwoodford"
	"dogwoodford/core/process/dogmember"
	"dogwoodford/core/process/dogsuspect"
	"dogwoodford/core/version/dogconfig"
	"dogwoodford/io/process/dogpeer/peerpb"
)

// ErrMalformed is returned for a message that fails validation.
var ErrMalformed = eris.New("malformed peer message")

// Limits on received messages.
const (
	maxNameBytes = 128
	maxUpdates   = 1 << 16
	maxSlots     = 1 << 20
	// maxUnixMilli is the end of the year 2199 in milliseconds since the Unix
	// epoch. Later times could overflow in sums.
	maxUnixMilli = 7258118399999
)

func malformed(format string, args ...any) error {
	return fmt.Errorf(format+": %w", append(args, ErrMalformed)...)
}

func checkName(field, s string) error {
	if s == "" || len(s) > maxNameBytes || !utf8.ValidString(s) {
		return malformed("%s is empty, longer than %d bytes or not UTF-8", field, maxNameBytes)
	}
	for _, r := range s {
		if !unicode.IsPrint(r) {
			return malformed("%s contains a non-printable character", field)
		}
	}
	return nil
}

func checkPeer(s string) error {
	ap, err := netip.ParseAddrPort(s)
	if err != nil || ap.Port() == 0 {
		return malformed("peer is not an IP address and port")
	}
	return nil
}

// checkAdmin accepts records without an admin address, as nodes of earlier
// versions send them.
func checkAdmin(s string) error {
	if s == "" {
		return nil
	}
	ap, err := netip.ParseAddrPort(s)
	if err != nil || ap.Port() == 0 {
		return malformed("admin is not an IP address and port")
	}
	return nil
}

func checkRange(number int32) error {
	if number < 0 || number >= dogwoodford.KeyRanges {
		return malformed("range number %d", number)
	}
	return nil
}

// decodeTime converts milliseconds since the Unix epoch; 0 gives the zero time.
func decodeTime(field string, ms int64) (time.Time, error) {
	if ms < 0 || ms > maxUnixMilli {
		return time.Time{}, malformed("%s out of range", field)
	}
	if ms == 0 {
		return time.Time{}, nil
	}
	return time.UnixMilli(ms), nil
}

func encodeTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// firstError returns the first non-nil error.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// EncodeUpdate returns the message of an update. It panics if the type of the
// value is none of those that updates carry.
func EncodeUpdate(u dogmember.Update) *peerpb.Update {
	switch v := u.Value.(type) {
	case dogmember.Member:
		return &peerpb.Update{Kind: &peerpb.Update_Member{Member: encodeMember(v)}}
	case dogconfig.Generation:
		c := &peerpb.Contract{Customer: v.Customer, Generation: v.Number, Hash: v.Hash}
		return &peerpb.Update{Kind: &peerpb.Update_Contract{Contract: c}}
	case Range:
		return &peerpb.Update{Kind: &peerpb.Update_Range{Range: encodeRange(v)}}
	case dogsuspect.Report:
		return &peerpb.Update{Kind: &peerpb.Update_Suspect{Suspect: encodeSuspect(v)}}
	}
	panic(fmt.Sprintf("dogpeer: update with a value of unsupported type %T", u.Value))
}

// DecodeUpdate validates an update and returns it. Its errors wrap ErrMalformed.
func DecodeUpdate(p *peerpb.Update) (dogmember.Update, error) {
	switch k := p.GetKind().(type) {
	case *peerpb.Update_Member:
		m, err := decodeMember(k.Member)
		return dogmember.MemberUpdate(m), err
	case *peerpb.Update_Contract:
		g, err := decodeGeneration(k.Contract)
		if err == nil && len(k.Contract.GetText()) > 0 {
			err = malformed("update contains the text of a contract")
		}
		return dogconfig.GenerationUpdate(g), err
	case *peerpb.Update_Range:
		r, err := decodeRange(k.Range)
		return RangeUpdate(r), err
	case *peerpb.Update_Suspect:
		r, err := decodeSuspect(k.Suspect)
		return dogsuspect.ReportUpdate(r), err
	}
	return dogmember.Update{}, malformed("update is empty or of an unknown kind")
}

// UpdateSize returns the number of bytes that an update takes in a message, or 0
// if it fails validation. It is used as dogmember.Options.Size.
func UpdateSize(u dogmember.Update) int {
	p := EncodeUpdate(u)
	if _, err := DecodeUpdate(p); err != nil {
		return 0
	}
	n := proto.Size(p)
	// Add the field tag and the length prefix, which takes at most three bytes
	// within the size limit of messages.
	return n + 1 + varintLen(n)
}

func varintLen(n int) int {
	switch {
	case n < 1<<7:
		return 1
	case n < 1<<14:
		return 2
	}
	return 3
}

func encodeMember(m dogmember.Member) *peerpb.Member {
	return &peerpb.Member{
		Node:        m.Node,
		Incarnation: m.Incarnation,
		Service:     m.Service,
		DataCentre:  m.DataCentre,
		Peer:        m.Peer,
		Admin:       m.Admin,
		State:       int32(m.State),
		Slots:       int32(m.Slots),
		Started:     m.Started,
		Suspected:   m.Suspected,
	}
}

func decodeMember(p *peerpb.Member) (dogmember.Member, error) {
	m := dogmember.Member{
		Node:        p.GetNode(),
		Incarnation: p.GetIncarnation(),
		Service:     p.GetService(),
		DataCentre:  p.GetDataCentre(),
		Peer:        p.GetPeer(),
		Admin:       p.GetAdmin(),
		State:       dogwoodford.State(p.GetState()),
		Slots:       int(p.GetSlots()),
		Started:     p.GetStarted(),
		Suspected:   p.GetSuspected(),
	}
	err := firstError(
		checkName("node", m.Node),
		checkName("service", m.Service),
		checkName("data centre", m.DataCentre),
		checkPeer(m.Peer),
		checkAdmin(m.Admin),
	)
	switch {
	case err != nil:
	case m.State < dogwoodford.StateStarting || m.State > dogwoodford.StateFailed:
		err = malformed("state %d", m.State)
	case m.Suspected && !m.Present():
		err = malformed("suspicion of a member that has failed or left")
	case m.Incarnation == 0 || m.Incarnation > maxUnixMilli:
		// The limit prevents a hostile or corrupt value from using up the
		// higher incarnations with which the member could refute a claim.
		err = malformed("incarnation %d", m.Incarnation)
	case m.Slots < 0 || m.Slots > maxSlots:
		err = malformed("slots %d", m.Slots)
	}
	if err != nil {
		return dogmember.Member{}, fmt.Errorf("member: %w", err)
	}
	return m, nil
}

func decodeGeneration(p *peerpb.Contract) (dogconfig.Generation, error) {
	g := dogconfig.Generation{Customer: p.GetCustomer(), Number: p.GetGeneration(), Hash: p.GetHash()}
	err := checkName("customer", g.Customer)
	if err == nil && g.Number < 1 {
		err = malformed("generation %d", g.Number)
	}
	if err != nil {
		return dogconfig.Generation{}, fmt.Errorf("contract: %w", err)
	}
	return g, nil
}

// decodeText validates a contract with its text. It checks that the text has the
// hash sent with it, so that a truncated text is not mistaken for a different one.
func decodeText(p *peerpb.Contract) (dogconfig.Text, error) {
	g, err := decodeGeneration(p)
	if err != nil {
		return dogconfig.Text{}, err
	}
	text := p.GetText()
	if len(text) > dogwoodford.MaxObjectBytes || dogconfig.HashText(text) != g.Hash {
		return dogconfig.Text{}, malformed("contract: text is too long or does not match its hash")
	}
	return dogconfig.Text{Generation: g, Text: text}, nil
}

func encodeSuspect(r dogsuspect.Report) *peerpb.Suspect {
	return &peerpb.Suspect{
		Digests:  r.Digests,
		Service:  r.Service,
		SeenMs:   encodeTime(r.At),
		Death:    r.Death,
		Cleared:  r.Kind == dogsuspect.Cleared,
		Released: r.Kind == dogsuspect.Released,
	}
}

func decodeSuspect(p *peerpb.Suspect) (dogsuspect.Report, error) {
	at, err := decodeTime("time", p.GetSeenMs())
	r := dogsuspect.Report{Digests: p.GetDigests(), Service: p.GetService(), At: at, Death: p.GetDeath()}
	switch {
	case p.GetCleared() && p.GetReleased():
		err = firstError(err, malformed("cleared and released are both set"))
	case p.GetCleared():
		r.Kind = dogsuspect.Cleared
	case p.GetReleased():
		r.Kind = dogsuspect.Released
	default:
		err = firstError(err, checkName("death", r.Death))
	}
	err = firstError(err, checkName("service", r.Service))
	if err == nil && (len(r.Digests) == 0 || len(r.Digests) > dogsuspect.MaxDigests) {
		err = malformed("%d digests", len(r.Digests))
	}
	if err == nil && at.IsZero() {
		err = malformed("time is missing")
	}
	if err != nil {
		return dogsuspect.Report{}, fmt.Errorf("suspect: %w", err)
	}
	return r, nil
}
