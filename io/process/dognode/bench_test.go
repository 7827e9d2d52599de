package dognode

import (
	"context"
	"fmt"
	"testing"
	"time"

	"dogwoodford"
	"dogwoodford/core/process/dogmember"
	"dogwoodford/core/version/dogconfig"
	"dogwoodford/io/process/dogsettings"
)

// benchControl returns a control loop that is not running and that knows the
// given numbers of members, in 29 services, and of customers. The calls that it
// starts do nothing, as the context of its node is cancelled.
func benchControl(b *testing.B, members, customers int) *control {
	b.Helper()
	ctx, cancel := context.WithCancel(b.Context())
	cancel()
	n := &node{ctx: ctx}
	n.settings = dogsettings.Settings{
		Node:   dogsettings.Node{Name: "node-000", Service: "service-0", DataCentre: "dc-0"},
		Listen: dogsettings.Listen{Peer: "10.0.0.1:7103"},
		Target: dogsettings.Target{Slots: 45},
	}
	now := time.Now()
	c := newControl(n, now, newRand())
	n.control = c
	var all []dogmember.Update
	for i := 1; i < members; i++ {
		all = append(all, dogmember.MemberUpdate(dogmember.Member{
			Node: fmt.Sprintf("node-%03d", i), Incarnation: uint64(now.UnixMilli()), Started: uint64(now.UnixMilli()),
			Service: fmt.Sprint("service-", i%29), DataCentre: fmt.Sprint("dc-", i%6),
			Peer: fmt.Sprintf("10.0.%d.%d:7103", i/250, i%250+1), State: dogwoodford.StateReady, Slots: 45,
		}))
	}
	c.member.OnEvent(now, dogmember.PullAnswered{Peer: "10.0.0.2:7103", Updates: all})
	for i := range customers {
		customer := fmt.Sprint("firm-", i)
		text := fmt.Sprintf("[contract]\ncustomer = %s\ngeneration = 1\ncredential = sha256:%064d\n"+
			"resend_percent = 10\nresend_burst = 20\n[service rounds]\nworkers = 4\nslots = 45\nconnections = 360\n"+
			"[class sheet]\nservice = rounds\nmethod = GET\npath = /sheets/\nimportance = 7\nidempotent = yes\n"+
			"deadline = 2s\nretries = 2\nmax_body = 0B\n", customer, i)
		c.config.OnEvent(now, dogconfig.ObjectSeen{Object: dogwoodford.Object{
			Name: dogconfig.ObjectName(customer), Version: 1, Value: []byte(text),
		}})
	}
	if got := c.member.Status().Alive; got != members {
		b.Fatalf("%d members, want %d", got, members)
	}
	if got := len(c.config.Snapshot()); got != customers {
		b.Fatalf("%d customers, want %d", got, customers)
	}
	return c
}

// BenchmarkPublish measures the publication of a snapshot, which happens each
// second and at each change, and the larger step after a change of the members.
func BenchmarkPublish(b *testing.B) {
	for _, size := range []struct{ members, customers int }{{6, 5}, {24, 5}, {96, 5}, {590, 5}, {590, 50}, {590, 500}} {
		c := benchControl(b, size.members, size.customers)
		for _, v := range []struct {
			name string
			do   func(time.Time)
		}{{"snapshot", c.publish}, {"members-changed", c.membersChanged}} {
			b.Run(fmt.Sprintf("%s/members=%d/customers=%d", v.name, size.members, size.customers), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					v.do(time.Now())
				}
			})
		}
	}
}
