package dogcontract

import (
	"encoding/hex"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"dogwoodford/core/version/dogini"
)

// Change is one difference between two contracts. An empty Before means that
// the key was added, an empty After that it was removed.
type Change struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	Before  string `json:"before,omitempty"`
	After   string `json:"after,omitempty"`
}

// String returns the change as one line.
func (ch Change) String() string {
	switch {
	case ch.Before == "":
		return fmt.Sprintf("+ [%s] %s = %s", ch.Section, ch.Key, ch.After)
	case ch.After == "":
		return fmt.Sprintf("- [%s] %s = %s", ch.Section, ch.Key, ch.Before)
	}
	return fmt.Sprintf("~ [%s] %s = %s -> %s", ch.Section, ch.Key, ch.Before, ch.After)
}

// Diff returns the differences from before to after, sorted by section and
// key. Comments and the order of sections make no difference. Either contract
// may be nil, which stands for an empty one.
func Diff(before, after *Contract) []Change {
	b, a := before.flatten(), after.flatten()
	var out []Change
	for k, v := range b {
		if a[k] != v {
			out = append(out, Change{Section: k[0], Key: k[1], Before: v, After: a[k]})
		}
	}
	for k, v := range a {
		if _, ok := b[k]; !ok {
			out = append(out, Change{Section: k[0], Key: k[1], After: v})
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Section != out[j].Section {
			return out[i].Section < out[j].Section
		}
		return out[i].Key < out[j].Key
	})
	return out
}

// flatten returns the canonical form of all values by section and key.
func (c *Contract) flatten() map[[2]string]string {
	m := make(map[[2]string]string)
	if c == nil {
		return m
	}
	var digests []string
	for _, sum := range c.credentials {
		digests = append(digests, "sha256:"+hex.EncodeToString(sum[:]))
	}
	sort.Strings(digests)
	putContract := func(key, v string) { m[[2]string{"contract", key}] = v }
	putContract("customer", c.customer)
	putContract("generation", strconv.FormatInt(c.generation, 10))
	putContract("credential", strings.Join(digests, ", "))
	putContract("resend_percent", strconv.Itoa(c.resendPercent))
	putContract("resend_burst", strconv.Itoa(c.resendBurst))
	for _, s := range c.services {
		put := func(key string, v int) { m[[2]string{"service " + s.name, key}] = strconv.Itoa(v) }
		put("workers", s.workers)
		put("slots", s.slots)
		put("connections", s.connections)
	}
	for _, cl := range c.classes {
		put := func(key, v string) { m[[2]string{"class " + cl.name, key}] = v }
		ms := cl.Methods()
		sort.Strings(ms)
		put("service", cl.service)
		put("method", strings.Join(ms, ", "))
		put("path", cl.path)
		put("importance", strconv.Itoa(cl.importance))
		put("idempotent", map[bool]string{true: "yes", false: "no"}[cl.idempotent])
		put("deadline", cl.deadline.String())
		put("retries", strconv.Itoa(cl.retries))
		put("max_body", dogini.FormatBytes(cl.maxBody))
	}
	return m
}
