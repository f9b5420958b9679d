package fakes

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	_blobSize  = 1 << 20
	_largeSize = 32 << 20
	// _large is in the path of a download that fills every buffer on its way.
	_large = "large"
)

// Blob returns the bytes that every backend server of a service serves under
// a path.
func Blob(path string) []byte {
	b := newBlob(path)
	data := make([]byte, b.size)
	_, _ = io.ReadFull(b, data)
	return data
}

// blob repeats a line; it begins at once, whatever its size.
type blob struct {
	line []byte
	size int64
	at   int64
	drip time.Duration
}

func newBlob(path string) *blob {
	b := &blob{line: []byte(path + "\n"), size: _blobSize}
	if strings.Contains(path, _large) {
		b.size = _largeSize
	}
	return b
}

// Read fills the buffer from the place that was reached.
func (b *blob) Read(p []byte) (int, error) {
	if b.at >= b.size {
		return 0, io.EOF
	}
	if b.at > 0 {
		time.Sleep(b.drip)
	}
	p = p[:min(int64(len(p)), b.size-b.at)]
	for n := 0; n < len(p); {
		n += copy(p[n:], b.line[(b.at+int64(n))%int64(len(b.line)):])
	}
	b.at += int64(len(p))
	return len(p), nil
}

// Seek goes to a place in the blob.
func (b *blob) Seek(offset int64, whence int) (int64, error) {
	switch whence {
	case io.SeekCurrent:
		offset += b.at
	case io.SeekEnd:
		offset += b.size
	}
	if offset < 0 {
		return 0, errors.Newf("seek to %d", offset)
	}
	b.at = offset
	return offset, nil
}

func (b *Backend) serveBlob(w http.ResponseWriter, r *http.Request, how Behaviour) {
	data := newBlob(r.URL.Path)
	data.drip = how.Drip
	w.Header().Set("ETag", `"blob-1"`)
	if how.Fault == Short {
		w.Header().Set("Content-Length", strconv.FormatInt(data.size, 10))
		_, _ = io.CopyN(w, data, data.size/2)
		panic(http.ErrAbortHandler)
	}
	http.ServeContent(w, r, "", time.Time{}, data)
}
