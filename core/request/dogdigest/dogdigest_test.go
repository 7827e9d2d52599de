package dogdigest

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a digest that depends on how the body was split into chunks,
// and against one that depends on the bytes after the first 64 KiB.
func TestChunkingDoesNotChangeDigest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := bytes.Repeat([]byte{rapid.Byte().Draw(t, "byte")}, rapid.IntRange(0, HashedBodyBytes+10).Draw(t, "length"))
		one, many := New("c", "s", "POST", "/p"), New("c", "s", "POST", "/p")
		one.Write(body)
		for rest := body; len(rest) > 0; {
			n := min(len(rest), rapid.IntRange(1, HashedBodyBytes).Draw(t, "chunk"))
			many.Write(rest[:n])
			rest = rest[n:]
		}
		if one.Sum64() != many.Sum64() || one.Complete() != (len(body) >= HashedBodyBytes) {
			t.Fatalf("%d bytes: %x and %x, complete %v", len(body), one.Sum64(), many.Sum64(), one.Complete())
		}
		if before := one.Sum64(); one.Complete() {
			if one.Write([]byte("more")); one.Sum64() != before {
				t.Fatal("the body beyond 64 KiB changed the digest")
			}
		}
	})
}

// Guards against equal digests of requests whose fields differ but concatenate
// to the same bytes.
func TestFieldsAreDelimited(t *testing.T) {
	if New("ab", "c", "GET", "/").Sum64() == New("a", "bc", "GET", "/").Sum64() {
		t.Error("equal digests: customer and service are not delimited")
	}
}

func BenchmarkDigest(b *testing.B) {
	for _, n := range []int{0, 1 << 10, 64 << 10} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			body := make([]byte, n)
			for b.Loop() {
				d := New("firm-1", "rounds", "POST", "/sheets/1")
				d.Write(body)
				d.Sum64()
			}
		})
	}
}

func ExampleDigest() {
	d := New("firm-1", "rounds", "GET", "/sheets/1")
	fmt.Println(d.Sum64() == New("firm-1", "rounds", "GET", "/sheets/1").Sum64(), d.Complete())
	// Output: true false
}
