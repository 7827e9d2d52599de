package dogpeer_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"dogwoodford/core/process/dogmember"
	"dogwoodford/io/process/dogpeer"
)

func memberUpdates(n int) []dogmember.Update {
	out := make([]dogmember.Update, n)
	for i := range out {
		m := sampleMember()
		m.Node, m.Peer, m.Suspected = fmt.Sprintf("rounds-%03d", i), fmt.Sprintf("10.0.%d.%d:7103", i/250, i%250+1), false
		out[i] = dogmember.MemberUpdate(m)
	}
	return out
}

// BenchmarkProbeSize measures the encoding and decoding of a probe and reports
// its size, by the number of member updates that it carries.
func BenchmarkProbeSize(b *testing.B) {
	for _, n := range []int{0, 1, 8} {
		b.Run(fmt.Sprintf("updates=%d", n), func(b *testing.B) {
			msg := dogmember.Message{Updates: memberUpdates(n), Summary: 1 << 60, ContractsHash: 1 << 60}
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				p := dogpeer.EncodeProbe("rounds-001", msg)
				size = proto.Size(p)
				if _, _, err := dogpeer.DecodeProbe(p); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "message-B")
		})
	}
}

// BenchmarkPullSize measures the encoding and decoding of the whole state, as sent
// to a node that joins, and reports its size before compression, by the number of
// members.
func BenchmarkPullSize(b *testing.B) {
	for _, n := range []int{6, 24, 96, 590} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			resp := dogpeer.PullResponse{Updates: memberUpdates(n)}
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				p := dogpeer.EncodePullResponse(resp)
				size = proto.Size(p)
				if _, err := dogpeer.DecodePullResponse(p); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "message-B")
		})
	}
}

// BenchmarkUpdateSize reports the encoded size of each kind of update.
func BenchmarkUpdateSize(b *testing.B) {
	for i, name := range []string{"member", "contract", "suspects", "release", "range"} {
		b.Run(name, func(b *testing.B) {
			u, size := sampleMessage().Updates[i], 0
			b.ReportAllocs()
			for b.Loop() {
				size = dogpeer.UpdateSize(u)
			}
			b.ReportMetric(float64(size), "update-B")
		})
	}
}

// processorTime returns the processor time that this process has used in user and
// system mode.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkProbeCall measures the processor time of both ends of a probe over a
// loopback socket, on a reused connection and on a new one, which most probes of a
// large fleet need.
func BenchmarkProbeCall(b *testing.B) {
	for _, servers := range []int{1, 2} {
		for _, n := range []int{0, 8} {
			name := map[int]string{1: "kept", 2: "new"}[servers]
			b.Run(fmt.Sprintf("connection=%s/updates=%d", name, n), func(b *testing.B) {
				var addrs []string
				for range servers {
					mux := http.NewServeMux()
					mux.Handle(dogpeer.NewHandler(&echo{}, dogpeer.ServerOptions{Key: testKey}))
					srv := httptest.NewServer(mux)
					b.Cleanup(srv.Close)
					addrs = append(addrs, srv.Listener.Addr().String())
				}
				// With one idle connection, alternating calls to two servers dial each time.
				c := newClient(b, dogpeer.ClientOptions{MaxIdleConns: 1})
				msg := dogmember.Message{Updates: memberUpdates(n), Summary: 1 << 60}
				b.ReportAllocs()
				begun, i := processorTime(b), 0
				for b.Loop() {
					if _, err := c.Probe(b.Context(), addrs[i%servers], msg); err != nil {
						b.Fatal(err)
					}
					i++
				}
				b.ReportMetric(float64(processorTime(b)-begun)/float64(i), "cpu-ns/op")
			})
		}
	}
}
