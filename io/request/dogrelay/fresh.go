package dogrelay

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"dogwoodford"
	"dogwoodford/core/request/dogcall"
	"dogwoodford/io/process/doglog"
)

// headerFresh holds the version of the configuration of the node that answers, and how many
// milliseconds ago this version is known to have been the newest. It is a header of its own
// because only nodes with a bound on the trust in keys send it.
const headerFresh = dogcall.Prefix + "Fresh"

// freshNumbers is the count of fields in headerFresh.
const freshNumbers = 2

// maxFreshAge is the largest age that is used. Older knowledge is of no use, and a number
// that overflows would count as a moment in the future.
const maxFreshAge = time.Hour

// FormatFresh sets the header that tells other nodes how long ago version is known to have
// been the newest. The age is rounded up, as a greater age is safe.
func FormatFresh(out http.Header, version int64, age time.Duration) {
	out[headerFresh] = []string{fmt.Sprintf("%d %d", version, (age+time.Millisecond-1)/time.Millisecond)}
}

// ParseFresh returns what FormatFresh has set, false if there is no such header or its age
// is of no use. Errors wrap errPeerHeader.
func ParseFresh(in http.Header) (version int64, age time.Duration, ok bool, err error) {
	if in.Get(headerFresh) == "" {
		return 0, 0, false, nil
	}
	n, _, err := parseFields(in, headerFresh, freshNumbers, 0)
	if err != nil {
		return 0, 0, false, err
	}
	if n[1] > maxFreshAge.Milliseconds() {
		return 0, 0, false, nil
	}
	return n[0], time.Duration(n[1]) * time.Millisecond, true, nil
}

// formatFresh tells the node that gets an answer until when the keys of this node's
// configuration are known to be valid.
func (h *Handlers) formatFresh(out http.Header) {
	if h.cfg.Keys == nil {
		return
	}
	if version, age, ok := h.cfg.Keys.Age(); ok {
		FormatFresh(out, version, age)
	}
}

// moment returns the moment before a call to another node, which its answer may prove.
func (h *Handlers) moment() time.Duration {
	if h.cfg.Keys == nil {
		return 0
	}
	return h.cfg.Keys.Now()
}

// readFresh records what the answer of another node to a call that was sent after asked
// tells of the keys.
func (h *Handlers) readFresh(ctx context.Context, c *call, t dogwoodford.Target, in http.Header, asked time.Duration) {
	if h.cfg.Keys == nil {
		return
	}
	version, age, ok, err := ParseFresh(in)
	if err != nil {
		h.cfg.Log.Event(ctx, doglog.AnswerMalformed, idAttr(c.id), nodeAttr(t.Node), doglog.Err(err))
	}
	if ok {
		h.cfg.Keys.Vouched(version, asked-age)
	}
}
