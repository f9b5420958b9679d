package wire

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"net/http"
)

const (
	// _headerKey carries the digest of the key in a request in compact form.
	_headerKey = "Dp-Key"
	// _headerFrame marks a response in compact form that has a frame as its body.
	_headerFrame = "Dp-Frame"
	// _compactHost stands for the receiver's address, which the receiver knows.
	_compactHost = "p"
	// _digestSize is the size in bytes of the digest, which cannot be guessed: 96 bits.
	_digestSize = 12
)

// Digest returns what stands for the key in messages between processes, which are mostly
// shorter than a key with its header field.
func Digest(key string) string {
	sum := sha256.Sum256([]byte("damaskpitch peer\x00" + key))
	return base64.RawURLEncoding.EncodeToString(sum[:_digestSize])
}

// compactRequest brings a request for Send into compact form.
func compactRequest(r *http.Request, digest string) {
	r.URL.Path = "/"
	r.Host = _compactHost
	r.Header = http.Header{
		_headerKey: {digest},
		// The transport sends a default otherwise.
		"User-Agent": nil,
	}
}

// isFrame reports whether the body of a response claims to be a frame.
func isFrame(r *http.Response) bool {
	return r.StatusCode == http.StatusOK && (r.Header.Get(_headerFrame) != "" || r.Header.Get("Content-Type") == _contentType)
}

// serveCompact returns a handler that serves requests in compact form, and passes others to
// general, which authenticates them.
func serveCompact(key string, peer, general http.Handler) http.Handler {
	want := []byte(Digest(key))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := r.Header.Get(_headerKey)
		if got == "" {
			general.ServeHTTP(w, r)
			return
		}
		if subtle.ConstantTimeCompare([]byte(got), want) != 1 {
			http.Error(w, "wrong key", http.StatusUnauthorized)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, MaxFrameSize)
		r.URL.Path = PeerPathPrefix + "Send"
		r.Header.Set("Content-Type", _contentType)
		peer.ServeHTTP(compactWriter{w}, r)
	})
}

// compactWriter omits the header fields of a response that say nothing to a peer.
type compactWriter struct{ http.ResponseWriter }

// WriteHeader writes the header.
func (w compactWriter) WriteHeader(status int) {
	h := w.Header()
	h["Date"] = nil
	if status == http.StatusOK {
		h["Content-Type"] = nil
		h[_headerFrame] = []string{"1"}
	}
	w.ResponseWriter.WriteHeader(status)
}
