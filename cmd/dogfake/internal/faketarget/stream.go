package faketarget

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"
)

// errChild is returned for a child call that was answered with a failure.
var errChild = eris.New("the answer is a failure")

// ShaTrailer is the trailer of a streamed answer with its SHA-256.
const ShaTrailer = "Dogfake-Sha256"

// Receipt is the answer to an upload.
type Receipt struct {
	Bytes  int64  `json:"bytes"`
	SHA256 string `json:"sha256"`
}

// serveUpload reads the whole body and answers with its size and SHA-256.
func serveUpload(w http.ResponseWriter, body io.Reader) bool {
	h := sha256.New()
	n, err := io.Copy(h, body)
	if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return false
	}
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(Receipt{Bytes: n, SHA256: hex.EncodeToString(h.Sum(nil))}) == nil
}

// serveStream answers with ?bytes=N bytes of a pattern, chunked with the
// SHA-256 as a trailer, or with a Content-Length for ?length=1. For ?break=M
// the connection breaks after M bytes.
func serveStream(w http.ResponseWriter, r *http.Request) bool {
	q := r.URL.Query()
	size, err := strconv.ParseInt(q.Get("bytes"), 10, 64)
	if err != nil || size < 0 {
		http.Error(w, "bytes is not a size", http.StatusBadRequest)
		return false
	}
	breakAt := size + 1
	if v := q.Get("break"); v != "" {
		if breakAt, err = strconv.ParseInt(v, 10, 64); err != nil {
			http.Error(w, "break is not a size", http.StatusBadRequest)
			return false
		}
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	if q.Get("length") == "1" {
		w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	} else {
		w.Header().Set("Trailer", ShaTrailer)
	}
	h := sha256.New()
	if _, err := io.Copy(io.MultiWriter(w, h), Pattern(min(size, breakAt))); err != nil {
		return false
	}
	if breakAt <= size {
		// Without the flush, net/http may drop the buffered head and body.
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(ShaTrailer, hex.EncodeToString(h.Sum(nil)))
	return true
}

// Pattern returns a reader of n bytes that do not repeat at any power of two,
// so that lost or swapped blocks change the digest.
func Pattern(n int64) io.Reader { return io.LimitReader(&pattern{}, n) }

type pattern struct{ at uint64 }

func (p *pattern) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(p.at % 251)
		p.at++
	}
	return len(b), nil
}
