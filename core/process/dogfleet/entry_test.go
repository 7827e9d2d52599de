package dogfleet

import "testing"

// TestEntryValid guards against an entry of another writer that makes nodes send requests
// to an address that does not exist, and count its machine as silent.
func TestEntryValid(t *testing.T) {
	good := Entry{Node: "a", Service: "rounds", Peer: "10.0.0.1:80", Slots: 4}
	if !good.Valid() {
		t.Errorf("entry %+v is not valid", good)
	}
	for name, change := range map[string]func(*Entry){
		"no node":             func(e *Entry) { e.Node = "" },
		"no service":          func(e *Entry) { e.Service = "" },
		"port out of range":   func(e *Entry) { e.Peer = "10.0.0.1:70000" },
		"port zero":           func(e *Entry) { e.Peer = "10.0.0.1:0" },
		"no address":          func(e *Entry) { e.Peer = "" },
		"a name as address":   func(e *Entry) { e.Peer = "host:80" },
		"negative slots":      func(e *Entry) { e.Slots = -1 },
		"more slots than any": func(e *Entry) { e.Slots = 1 << 40 },
	} {
		e := good
		if change(&e); e.Valid() {
			t.Errorf("%s: entry %+v is valid", name, e)
		}
	}
}
