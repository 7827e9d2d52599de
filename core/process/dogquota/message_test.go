package dogquota

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var messages = []Message{
	{Kind: KindAsk, ID: 7, Items: []Item{{Workspace: 1 << 63, Waiting: 3, Recent: 300}, {Workspace: 2}}},
	{Kind: KindAsk, Redirected: true, ID: 1 << 63, Items: make([]Item, MaxItems)},
	{Kind: KindAnswer, ID: 7, Items: []Item{{Grant: Grant{Tokens: 3, RetryAfter: 250 * time.Millisecond}}, {Grant: Grant{Redirected: true}}}},
	{Kind: KindReturn, ID: 9, Items: []Item{{Workspace: 5, Waiting: 1}}},
}

// TestMessages guards against messages that arrive changed, or do not fit into a packet.
func TestMessages(t *testing.T) {
	for _, m := range messages {
		data := m.Append(nil)
		got, err := ParseMessage(data)
		if err != nil {
			t.Errorf("%+v: %v", m, err)
		}
		if diff := cmp.Diff(m, got); diff != "" {
			t.Errorf("a message has changed (-sent +got):\n%s", diff)
		}
	}
	full := Message{Kind: KindAsk, Items: make([]Item, MaxItems)}
	for i := range full.Items {
		full.Items[i] = Item{Workspace: 1<<64 - 1, Waiting: 1 << 30, Recent: 1 << 30}
	}
	long := Message{Kind: KindAnswer, Items: []Item{{Grant: Grant{RetryAfter: time.Hour}}}}
	if _, err := ParseMessage(long.Append(nil)); err != nil {
		t.Errorf("an answer with a long hint: %v", err)
	}
	if n := len(full.Append(nil)); n > MaxMessageBytes {
		t.Errorf("the longest message has %d bytes, want at most %d", n, MaxMessageBytes)
	}
}

// FuzzParseMessage guards against datagrams that end the process or are read as something
// that no node has sent.
func FuzzParseMessage(f *testing.F) {
	for _, m := range messages {
		data := m.Append(nil)
		f.Add(data)
		f.Add(data[:len(data)-1])
		f.Add(append(data, 0))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := ParseMessage(data)
		if err != nil {
			if !errors.Is(err, ErrMessage) {
				t.Errorf("error %v, want ErrMessage", err)
			}
			return
		}
		again, err := ParseMessage(m.Append(nil))
		if err != nil {
			t.Fatalf("%+v cannot be parsed again: %v", m, err)
		}
		if diff := cmp.Diff(m, again); diff != "" {
			t.Errorf("a message has changed (-first +again):\n%s", diff)
		}
	})
}
