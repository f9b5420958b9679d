package fake

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
	// _largePath selects a download that is large enough to fill every buffer
	// between the backend server and the caller.
	_largePath = "large"
)

// Blob returns the content that every backend server serves for a path.
func Blob(path string) []byte {
	b := newBlob(path)
	data := make([]byte, b.size)
	_, _ = io.ReadFull(b, data)
	return data
}

// blob is a reader that repeats a line. Its content is generated while it is
// read, so that a large download starts at once.
type blob struct {
	line       []byte
	size       int64
	offset     int64
	chunkDelay time.Duration
}

func newBlob(path string) *blob {
	b := &blob{line: []byte(path + "\n"), size: _blobSize}
	if strings.Contains(path, _largePath) {
		b.size = _largeSize
	}
	return b
}

// Read fills p from the current offset.
func (b *blob) Read(p []byte) (int, error) {
	if b.offset >= b.size {
		return 0, io.EOF
	}
	if b.offset > 0 {
		time.Sleep(b.chunkDelay)
	}
	p = p[:min(int64(len(p)), b.size-b.offset)]
	for n := 0; n < len(p); {
		n += copy(p[n:], b.line[(b.offset+int64(n))%int64(len(b.line)):])
	}
	b.offset += int64(len(p))
	return len(p), nil
}

// Seek sets the offset of the next Read.
func (b *blob) Seek(offset int64, whence int) (int64, error) {
	switch whence {
	case io.SeekCurrent:
		offset += b.offset
	case io.SeekEnd:
		offset += b.size
	}
	if offset < 0 {
		return 0, errors.Newf("seek to negative offset %d", offset)
	}
	b.offset = offset
	return offset, nil
}

func (b *Backend) serveBlob(w http.ResponseWriter, r *http.Request, behaviour Behaviour) {
	data := newBlob(r.URL.Path)
	data.chunkDelay = behaviour.ChunkDelay
	w.Header().Set("ETag", `"blob-1"`)
	if behaviour.Fault == Short {
		w.Header().Set("Content-Length", strconv.FormatInt(data.size, 10))
		_, _ = io.CopyN(w, data, data.size/2)
		panic(http.ErrAbortHandler)
	}
	http.ServeContent(w, r, "", time.Time{}, data)
}
