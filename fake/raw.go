package fake

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Stream is a kind of response that never ends.
type Stream string

const (
	// StreamHeader repeats header fields.
	StreamHeader Stream = "header"
	// StreamHeaderField is one header field without an end.
	StreamHeaderField Stream = "header field"
	// StreamStatusLine is a status line without an end.
	StreamStatusLine Stream = "status line"
	// StreamInterim repeats interim responses.
	StreamInterim Stream = "interim responses"
	// StreamBody is a successful response without a length.
	StreamBody Stream = "body"
	// StreamExtension is a chunk extension without an end.
	StreamExtension Stream = "chunk extension"
	// StreamChunkSize is the size of a chunk without an end.
	StreamChunkSize Stream = "chunk size"
	// StreamChunks repeats chunks of a successful response.
	StreamChunks Stream = "chunks"
	// StreamTrailer repeats trailer fields.
	StreamTrailer Stream = "trailer"
	// StreamExtra sends bytes after a complete response.
	StreamExtra Stream = "extra bytes"
	// StreamNoContent sends bytes after a response with status 204.
	StreamNoContent Stream = "bytes after 204"
	// StreamNotModified sends bytes after a response with status 304.
	StreamNotModified Stream = "bytes after 304"
)

// streams maps each kind to what is sent once, and what is then repeated.
var streams = map[Stream]struct{ once, repeated string }{
	StreamHeader:      {"HTTP/1.1 200 OK\r\n", "X-Field: 0123456789abcdef0123456789abcdef\r\n"},
	StreamHeaderField: {"HTTP/1.1 200 OK\r\nX-Field: ", "0123456789abcdef"},
	StreamStatusLine:  {"HTTP/1.1 200 ", "0123456789abcdef"},
	StreamInterim:     {"", "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"},
	StreamBody:        {"HTTP/1.1 200 OK\r\n\r\n", "0123456789abcdef"},
	StreamExtension:   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "0123456789abcdef"},
	StreamChunkSize:   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0000000000000000"},
	StreamChunks:      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
	StreamTrailer:     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: 0123456789abcdef\r\n"},
	StreamExtra:       {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "0123456789abcdef"},
	StreamNoContent:   {"HTTP/1.1 204 No Content\r\n\r\n", "0123456789abcdef"},
	StreamNotModified: {"HTTP/1.1 304 Not Modified\r\nETag: \"a\"\r\n\r\n", "0123456789abcdef"},
}

// _streamPiece is the size in bytes of what is written at once.
const _streamPiece = 32 << 10

// Streamer is a server whose responses never end. It writes to each connection until
// the other side closes it.
type Streamer struct {
	listener net.Listener
	kind     Stream
	open     atomic.Int64
	served   atomic.Int64
}

// StartStreamer starts a streamer on a free loopback port, until the context ends.
func StartStreamer(ctx context.Context, kind Stream) (*Streamer, error) {
	if _, ok := streams[kind]; !ok {
		return nil, errors.Newf("unknown kind of stream %q", kind)
	}
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Errorf("listen: %w", err)
	}
	s := &Streamer{listener: l, kind: kind}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go s.accept(ctx)
	return s, nil
}

// Addr returns the streamer's address.
func (s *Streamer) Addr() string { return s.listener.Addr().String() }

// Open returns the number of connections that the other side has not closed.
func (s *Streamer) Open() int64 { return s.open.Load() }

// Served returns the number of requests that got a response without an end.
func (s *Streamer) Served() int64 { return s.served.Load() }

func (s *Streamer) accept(ctx context.Context) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		context.AfterFunc(ctx, func() { _ = conn.Close() })
		go s.serve(conn)
	}
}

func (s *Streamer) serve(conn net.Conn) {
	s.open.Add(1)
	defer s.open.Add(-1)
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, r.Body, r.ContentLength)
	s.served.Add(1)
	stream := streams[s.kind]
	if _, err := io.WriteString(conn, stream.once); err != nil {
		return
	}
	piece := []byte(strings.Repeat(stream.repeated, _streamPiece/len(stream.repeated)))
	for {
		if _, err := conn.Write(piece); err != nil {
			return
		}
	}
}
