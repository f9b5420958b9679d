package node

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// _defaultLinger leaves it to the kernel to send what is left when a connection is closed.
	_defaultLinger = -1 // s
	// _drainTimeout is how long the rest of an upload is read after its response.
	_drainTimeout = 2 * time.Second
)

// resetIncomplete returns a handler that resets the connection of a caller with HTTP/1.0 unless
// the response is complete, also if this process is killed. Such a response has neither chunks
// nor, mostly, a length: a caller would take a part of it for the whole if the connection just
// ended.
func resetIncomplete(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := callerConn(r)
		if !ok || r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		// The methods of the connection fail only once it has ended.
		_ = conn.SetLinger(0)
		upload := &trackedBody{ReadCloser: r.Body}
		if r.Body != http.NoBody {
			withUpload := *r
			withUpload.Body = upload
			r = &withUpload
		}
		uploading := func() bool { return r.Body == upload && !upload.ended.Load() }
		defer func() {
			// A caller whose write meets the reset would see a clean end in its next read.
			if failure := recover(); failure != nil {
				if uploading() {
					drainUpload(w, upload)
				}
				panic(failure)
			}
		}()
		next.ServeHTTP(w, r)
		_ = conn.SetLinger(_defaultLinger)
		// A connection that is closed with unread bytes is reset, and the caller could lose the
		// end of the response.
		if uploading() && http.NewResponseController(w).Flush() == nil && conn.CloseWrite() == nil {
			drainUpload(w, upload)
		}
	})
}

// drainUpload reads the rest of a request's body, as far as it comes in time.
func drainUpload(w http.ResponseWriter, upload io.Reader) {
	if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(_drainTimeout)); err == nil {
		_, _ = io.Copy(io.Discard, upload)
	}
}

// callerConn returns the connection on which a request came.
func callerConn(r *http.Request) (*net.TCPConn, bool) {
	c, ok := r.Context().Value(pipelinedConnKey{}).(*pipelinedConn)
	if !ok {
		return nil, false
	}
	conn, ok := c.Conn.(*net.TCPConn)
	return conn, ok
}

// trackedBody is a request body that knows whether it has been read to its end.
type trackedBody struct {
	io.ReadCloser
	ended atomic.Bool
}

// Read reads from the body.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF { //nolint:errorlint // request bodies return io.EOF unwrapped
		b.ended.Store(true)
	}
	return n, err
}
