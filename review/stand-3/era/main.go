// Command era shows that nodes miss the revocation of a key after a drill in which the
// platform's store comes back from a copy.
package main

import (
	"errors"
	"time"

	"dogwoodford/review/stand-3/rig"
)

const (
	bounds = rig.DefaultBounds + ",strictRevocation=true,revoke=5000ms,quotaWindow=5s,quotaOverage=0.1,quotaSlack=20"
	// revoke is the bound of the rule, and watched the time behind it in which requests with
	// the revoked key are sent.
	revoke, watched = 5 * time.Second, 10 * time.Second
	// untilFirst, untilAnother and untilDrill are the times from the copy to the first change of
	// the configuration, from there to the second one, and from there to the drill. They make
	// up the age of the copy.
	untilFirst, untilAnother, untilDrill = time.Second, 500 * time.Millisecond, time.Second
	// away is the time for which the store is away.
	away = 200 * time.Millisecond
	// untilRewritten is the time until the operator has written again what the store lost, and
	// untilRevoked that until it takes a key away.
	untilRewritten, untilRevoked = 20 * time.Millisecond, 100 * time.Millisecond
)

const (
	keptKey    = "28m82thhkmgjqnirth5m"
	revokedKey = "gjy5rcpihhacruddedev"
)

func main() { rig.Main("era", play) }

// operator writes configurations.
type operator struct {
	store *rig.Store
	rec   *rig.Record
}

// write writes a version. Successive versions differ in the timeout of the route.
func (o operator) write(version int64, keys ...string) {
	routes := []rig.Route{{
		Name: "r1", Host: "a.example", Prefix: "/idem/", Kind: "idempotent", Service: "rounds",
		Timeout: 4*time.Second + time.Duration(version)*time.Millisecond, Attempts: 2,
	}}
	tenants := []rig.Tenant{{Name: "crew", Keys: keys, Rate: 500, Burst: 500}}
	rev := o.store.Write("config", "main", rig.Config(version, []string{"rounds", "billing"}, routes, tenants))
	o.rec.Printf("operator: version %d with keys %v acknowledged at revision %d", version, keys, rev)
}

func play(env rig.Env) (broken bool, err error) {
	f, err := rig.NewFleet(env, bounds, "base,drain,config,cost,retry,recover,health,pool,pressure,tenants,quota,platform", "rounds", "billing", "rounds")
	if err != nil {
		return false, err
	}
	defer f.Close()
	op := operator{store: f.Store, rec: env.Rec}
	op.write(5, keptKey, revokedKey)
	if err := f.Start(); err != nil {
		return false, err
	}
	if f.Ran(revokedKey) == 0 {
		return false, errors.New("the key is not accepted before it is revoked")
	}
	kept := f.Store.Take()
	f.Workers[2].SetState("draining") // Planned work: its node writes that to the store.
	f.Workers[2].Beat()
	time.Sleep(untilFirst)
	op.write(7, keptKey, revokedKey)
	time.Sleep(untilAnother)
	op.write(9, keptKey, revokedKey)
	time.Sleep(untilDrill)
	if env.Trouble {
		f.Store.Leave()
		time.Sleep(away)
		f.Store.Restore(kept)
		time.Sleep(untilRewritten)
		op.write(7, keptKey, revokedKey)
		op.write(9, keptKey, revokedKey)
		time.Sleep(untilRevoked)
	}
	op.write(11, keptKey)
	end := time.Now().Add(revoke + watched)
	time.Sleep(revoke + 500*time.Millisecond)
	for time.Now().Before(end) {
		if n := f.Ran(revokedKey); n > 0 {
			env.Rec.Printf("BROKEN: %d requests ran with a key whose revocation was acknowledged over %v before they were sent", n, revoke)
			broken = true
		}
		time.Sleep(time.Second)
	}
	if f.Ran(keptKey) == 0 {
		return false, errors.New("the other key is not accepted")
	}
	return broken, nil
}
