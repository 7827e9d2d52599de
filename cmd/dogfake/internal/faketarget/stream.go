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

// errChildStatus is returned for a child call that was answered with a status
// of 300 or above.
var errChildStatus = eris.New("unexpected status")

// SHA256Trailer is the trailer that carries the SHA-256 of a streamed answer.
const SHA256Trailer = "Dogfake-Sha256"

// UploadAnswer is the answer to an upload.
type UploadAnswer struct {
	Bytes  int64  `json:"bytes"`
	SHA256 string `json:"sha256"`
}

// serveUpload reads the whole body and answers with its size and SHA-256. It
// reports whether the request completed.
func serveUpload(w http.ResponseWriter, body io.Reader) bool {
	h := sha256.New()
	n, err := io.Copy(h, body)
	if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return false
	}
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(UploadAnswer{Bytes: n, SHA256: hex.EncodeToString(h.Sum(nil))}) == nil
}

// serveStream answers with ?bytes=N bytes of the pattern, in chunked encoding
// with the SHA-256 as a trailer, or with a Content-Length for ?length=1. For
// ?break=M it aborts the connection after M bytes. It reports whether the
// request completed.
func serveStream(w http.ResponseWriter, r *http.Request) bool {
	q := r.URL.Query()
	size, err := strconv.ParseInt(q.Get("bytes"), 10, 64)
	if err != nil || size < 0 {
		http.Error(w, "parameter bytes is not a size", http.StatusBadRequest)
		return false
	}
	breakAt := size + 1
	if v := q.Get("break"); v != "" {
		if breakAt, err = strconv.ParseInt(v, 10, 64); err != nil {
			http.Error(w, "parameter break is not a size", http.StatusBadRequest)
			return false
		}
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	if q.Get("length") == "1" {
		w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	} else {
		w.Header().Set("Trailer", SHA256Trailer)
	}
	h := sha256.New()
	if _, err := io.Copy(io.MultiWriter(w, h), Pattern(min(size, breakAt))); err != nil {
		return false
	}
	if breakAt <= size {
		// Without the flush, net/http may discard the buffered header and body.
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(SHA256Trailer, hex.EncodeToString(h.Sum(nil)))
	return true
}

// Pattern returns a reader of n bytes of a fixed pattern. No power of two is a
// multiple of its period, so lost or swapped blocks change the digest.
func Pattern(n int64) io.Reader { return io.LimitReader(&pattern{}, n) }

// pattern is an endless reader of bytes that count from 0 to 250 and start over.
type pattern struct{ offset uint64 }

func (p *pattern) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(p.offset % 251)
		p.offset++
	}
	return len(b), nil
}
