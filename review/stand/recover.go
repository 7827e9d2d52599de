package main

import "time"

func init() { cases["recover"] = caseRecover }

// caseRecover loses the answers of the store to some of the calls with which nodes remove the
// entries of machines that are gone. Later many processes are killed and start again.
func caseRecover(e *env) (bool, error) {
	if err := e.open(); err != nil {
		return false, err
	}
	var desks, archives []*machine
	for range 2 {
		desks = append(desks, e.add("desk", "za"))
	}
	for range 10 {
		archives = append(archives, e.add("archive", "za"))
	}
	e.configure(1, []string{"desk", "archive"}, route("/claims/", "idempotent", "archive", 1))
	if err := e.start(nil); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var t traffic
	t.start(desks, 50*time.Millisecond, "GET", "/claims/", "", 3*time.Second)
	time.Sleep(2 * time.Second)

	gone, left := archives[:5], archives[5:]
	e.rec.say("5 of 12 machines are lost for good")
	for _, m := range gone {
		m.kill()
		m.worker.stop()
	}
	time.Sleep(28 * time.Second)
	if e.trouble {
		e.rec.say("the store loses the answers to two of each five writes, for 4.5 s")
		e.store.setLose(func(n int) bool { return n%5 == 2 || n%5 == 4 })
	}
	time.Sleep(4500 * time.Millisecond)
	e.store.setLose(nil)
	e.rec.say("the store has lost %d answers", e.store.lost)
	time.Sleep(6 * time.Second)
	before := t.between(time.Now().Add(-4*time.Second), time.Now().Add(-time.Second))

	e.rec.say("the processes of the other %d machines of the service are killed", len(left))
	for _, m := range left {
		m.kill()
	}
	time.Sleep(2 * time.Second)
	for _, m := range left {
		if err := m.startNode(); err != nil {
			return false, err
		}
	}
	back := time.Now()
	e.rec.say("they are back")
	time.Sleep(15*time.Second + 8*time.Second)
	t.end()
	after := t.between(back.Add(15*time.Second), time.Now())
	e.rec.say("before the kill: %d of %d requests served", served(before), len(before))
	e.rec.say("later than 15 s after the machines are back: %d of %d requests served", served(after), len(after))
	if 4*served(before) < len(before) || len(after) == 0 {
		return false, errUnfit
	}
	return 4*served(after) < len(after), nil
}
