package dogquota

import (
	"encoding/binary"
	"time"

	"github.com/rotisserie/eris"
)

// MaxMessageBytes bounds a message. It fits into one packet.
const MaxMessageBytes = 1200

// MaxItems bounds the workspaces of a message. An item of a request takes at most 18
// bytes.
const MaxItems = 64

// ErrMessage is the root of errors about messages.
var ErrMessage = eris.New("malformed message")

// Kind tells what a message is.
type Kind byte

// Kinds of messages.
const (
	KindAsk    Kind = 1 // Asks for tokens.
	KindAnswer Kind = 2 // Answers an ask, in the order of its items.
	KindReturn Kind = 3 // Gives back tokens of requests that have not run.
)

// Item is the part of a message for one workspace.
type Item struct {
	Workspace uint64 // Not in answers.
	Waiting   int    // Of an ask; in returns the number of returned tokens.
	Recent    int    // Of an ask.
	Grant     Grant  // Of an answer.
}

// Message is a message between two nodes.
type Message struct {
	Kind       Kind
	Redirected bool // Of an ask: the first node by rendezvous hashing has named the receiver.
	ID         uint64
	Items      []Item
}

const (
	messageMagic   = 0xd0
	messageVersion = 1
	headerBytes    = 13
	// maxCount bounds numbers of tokens and requests in messages.
	maxCount = 1 << 16
	// flagRedirected is the flag of a message or of an item of an answer.
	flagRedirected = 1
)

// Append appends the binary form of m to buf: magic and version, kind, flags, ID, number
// of items, and the items with numbers as varints.
func (m Message) Append(buf []byte) []byte {
	buf = append(buf, messageMagic, messageVersion, byte(m.Kind), flagByte(m.Redirected))
	buf = binary.BigEndian.AppendUint64(buf, m.ID)
	buf = append(buf, byte(len(m.Items)))
	for _, it := range m.Items {
		if m.Kind == KindAnswer {
			buf = append(buf, flagByte(it.Grant.Redirected))
			buf = binary.AppendUvarint(buf, uint64(min(it.Grant.Tokens, maxCount)))
			buf = binary.AppendUvarint(buf, uint64(min(it.Grant.RetryAfter.Milliseconds(), maxCount)))
			continue
		}
		buf = binary.BigEndian.AppendUint64(buf, it.Workspace)
		buf = binary.AppendUvarint(buf, uint64(min(it.Waiting, maxCount)))
		if m.Kind == KindAsk {
			buf = binary.AppendUvarint(buf, uint64(min(it.Recent, maxCount)))
		}
	}
	return buf
}

func flagByte(set bool) byte {
	if set {
		return flagRedirected
	}
	return 0
}

// ParseMessage parses the binary form of a message. It accepts what Append produces and
// nothing else. Errors wrap ErrMessage.
func ParseMessage(data []byte) (Message, error) {
	if len(data) < headerBytes || len(data) > MaxMessageBytes || data[0] != messageMagic || data[1] != messageVersion {
		return Message{}, ErrMessage
	}
	m := Message{Kind: Kind(data[2]), Redirected: data[3] == flagRedirected, ID: binary.BigEndian.Uint64(data[4:])}
	n := int(data[headerBytes-1])
	if m.Kind < KindAsk || m.Kind > KindReturn || data[3] > flagRedirected || n == 0 || n > MaxItems {
		return Message{}, ErrMessage
	}
	m.Items = make([]Item, n)
	p := parser{data: data[headerBytes:], ok: true}
	for i := range m.Items {
		m.Items[i] = p.item(m.Kind)
	}
	if !p.ok || len(p.data) > 0 {
		return Message{}, ErrMessage
	}
	return m, nil
}

// parser reads the items of a message. ok is false after the first malformed part.
type parser struct {
	data []byte
	ok   bool
}

func (p *parser) item(k Kind) Item {
	if k == KindAnswer {
		f := p.take(1)
		if f > flagRedirected {
			p.ok = false
		}
		return Item{Grant: Grant{
			Redirected: f == flagRedirected, Tokens: p.number(),
			RetryAfter: time.Duration(p.number()) * time.Millisecond,
		}}
	}
	it := Item{Workspace: p.take(8), Waiting: p.number()}
	if k == KindAsk {
		it.Recent = p.number()
	}
	return it
}

// take reads a number of n bytes.
func (p *parser) take(n int) uint64 {
	if len(p.data) < n {
		p.ok = false
		return 0
	}
	var v uint64
	for _, c := range p.data[:n] {
		v = v<<8 | uint64(c)
	}
	p.data = p.data[n:]
	return v
}

func (p *parser) number() int {
	v, n := binary.Uvarint(p.data)
	if n <= 0 || v > maxCount {
		p.ok = false
		return 0
	}
	p.data = p.data[n:]
	return int(v)
}
