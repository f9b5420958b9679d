package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"

	"github.com/damaskpitch/damaskpitch/heads"
)

const (
	// _handshakeTime is how long handshakes that have begun may take to complete.
	_handshakeTime = 100 * time.Millisecond
)

// listen opens a listener with SO_REUSEPORT, so that a successor process can listen on
// the same address and a restart refuses no connection.
func listen(ctx context.Context, addr string) (*net.TCPListener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
		return errors.CombineErrors(err, failed)
	}}
	// The kernel can't steer the connections of Multipath TCP sockets.
	lc.SetMultipathTCP(false)
	l, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Errorf("listen on %s: %w", addr, err)
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil, errors.Newf("listen on %s: not a TCP listener", addr)
	}
	return tcp, nil
}

// steerToNewest attaches a filter that directs new connections to the second listener
// on an address, which is the successor's. Either process may attach it.
func steerToNewest(l *net.TCPListener) error {
	program, err := bpf.Assemble([]bpf.Instruction{bpf.RetConstant{Val: 1}})
	if err != nil {
		return errors.Errorf("assemble socket filter: %w", err)
	}
	return attach(l, unix.SO_ATTACH_REUSEPORT_CBPF, program)
}

// ignoreHandshakes attaches a filter that drops the first packet of new handshakes.
// Closing a listener resets the connections that wait to be accepted; after this call
// there are no more of them once the handshakes in progress have completed.
func ignoreHandshakes(l *net.TCPListener) error {
	const flags, syn, wholePacket = 13, 0x02, 1 << 16
	program, err := bpf.Assemble([]bpf.Instruction{
		bpf.LoadAbsolute{Off: flags, Size: 1},
		bpf.JumpIf{Cond: bpf.JumpBitsSet, Val: syn, SkipTrue: 1},
		bpf.RetConstant{Val: wholePacket},
		bpf.RetConstant{Val: 0},
	})
	if err != nil {
		return errors.Errorf("assemble socket filter: %w", err)
	}
	return attach(l, unix.SO_ATTACH_FILTER, program)
}

// attach sets a socket option of the listener to a filter program.
func attach(l *net.TCPListener, option int, program []bpf.RawInstruction) error {
	filter := make([]unix.SockFilter, 0, len(program))
	for _, i := range program {
		filter = append(filter, unix.SockFilter{Code: i.Op, Jt: i.Jt, Jf: i.Jf, K: i.K})
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return errors.Errorf("access listener socket: %w", err)
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, option,
			&unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
	})
	return errors.CombineErrors(err, failed)
}

// settleHandshakes lets the handshakes in progress complete and begins no others.
func (s *Server) settleHandshakes(l *net.TCPListener, addr string) {
	if err := ignoreHandshakes(l); err != nil {
		s.log.Warn("cannot ignore new handshakes; connections that wait to be accepted will be reset",
			slog.String("addr", addr), slog.Any("error", err))
		return
	}
	time.Sleep(_handshakeTime)
}

// serve runs an HTTP server until the context ends, and then drains it.
func (s *Server) serve(ctx context.Context, addr string, h http.Handler) error {
	l, err := listen(ctx, addr)
	if err != nil {
		return err
	}
	if s.tookOver {
		if err := steerToNewest(l); err != nil {
			s.log.Warn("cannot steer new connections to this process", slog.String("addr", addr), slog.Any("error", err))
		}
	}
	var protocols http.Protocols
	conns := newConnStates()
	protocols.SetHTTP1(true)
	// Only callers use HTTP/2; a stream of it costs more memory than a request of HTTP/1.
	protocols.SetUnencryptedHTTP2(addr == s.cfg.Settings.Caller)
	server := &http.Server{
		Handler:           heads.Handler(s.closeWhenStopping(h)),
		Protocols:         &protocols,
		ReadHeaderTimeout: _readHeaderTimeout,
		IdleTimeout:       _idleTimeout,
		MaxHeaderBytes:    _maxHeaderBytes,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: s.headLimits.Streams},
		ConnContext:       heads.ConnContext,
		ConnState: func(conn net.Conn, state http.ConnState) {
			conns.track(conn, state)
			heads.TrackState(conn, state)
		},
		ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	pool := s.heads
	if addr == s.cfg.Settings.Peer {
		pool = s.peerHeads
	}
	var accepting net.Listener = l
	if addr == s.cfg.Settings.Caller {
		var withPipeline func(context.Context, net.Conn) context.Context
		accepting, withPipeline = s.pipelines.wrap(l)
		server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
			return withPipeline(heads.ConnContext(ctx, conn), conn)
		}
	}
	done := make(chan error, 1)
	// The heads of requests that start early are bounded by what the pipelines may hold.
	go func() { done <- server.Serve(pool.Listener(accepting)) }()
	select {
	case err := <-done:
		return errors.Errorf("serve on %s: %w", addr, err)
	case <-ctx.Done():
	}
	return s.drainServer(server, conns, l, addr)
}
