package wire

import (
	"context"
	"crypto/subtle"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	"github.com/damaskpitch/damaskpitch/flow"
)

const (
	_scheme      = "Bearer "
	_contentType = "application/protobuf"
	_dialTimeout = time.Second
	_idleTimeout = 30 * time.Second

	// MaxFrameSize is the maximum size of a frame, in bytes.
	MaxFrameSize = 256 << 20

	_defaultMaxReply = 1 << 20
	_maxErrorReply   = 64 << 10
	_maxHeaderBytes  = 64 << 10
)

// ErrUnsent reports that a message was not sent because dialing failed.
var ErrUnsent = errors.New("not sent")

// Authenticate returns a handler that rejects requests without the key, compared
// in constant time, and limits the size of their bodies.
func Authenticate(key string, next http.Handler) http.Handler {
	want := []byte(_scheme + key)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if subtle.ConstantTimeCompare(got, want) != 1 {
			http.Error(w, "wrong key", http.StatusUnauthorized)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, MaxFrameSize)
		next.ServeHTTP(w, r)
	})
}

// SetKey adds the key to a request as a bearer token.
func SetKey(r *http.Request, key string) {
	r.Header.Set("Authorization", _scheme+key)
}

// Client sends messages to other processes of the system.
type Client struct {
	digest      string // of the key
	http        *http.Client
	noKeepAlive *http.Client
	codec       Codec
	flows       *flows
}

// NewClient returns a client that authenticates with the key.
func NewClient(key string, codec Codec) *Client {
	flows := &flows{dialer: net.Dialer{Timeout: _dialTimeout}}
	transport := &http.Transport{
		DialContext:            flows.dial,
		IdleConnTimeout:        _idleTimeout,
		MaxIdleConnsPerHost:    2,
		DisableCompression:     true,
		MaxResponseHeaderBytes: _maxHeaderBytes,
	}
	noKeepAlive := transport.Clone()
	noKeepAlive.DisableKeepAlives = true
	return &Client{
		digest:      Digest(key),
		http:        newHTTPClient(transport),
		noKeepAlive: newHTTPClient(noKeepAlive),
		codec:       codec,
		flows:       flows,
	}
}

// newHTTPClient returns a client that follows no redirects. No process of the fleet sends
// any, and the message would go to an address that nobody chose.
func newHTTPClient(transport *http.Transport) *http.Client {
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Call sends a message to an address and returns the reply.
func (c *Client) Call(ctx context.Context, addr string, msg any) (any, error) {
	return c.CallWith(ctx, addr, msg, CallOptions{})
}

// CallNewConn is like Call, but uses a new connection and closes it afterwards.
func (c *Client) CallNewConn(ctx context.Context, addr string, msg any) (any, error) {
	return c.CallWith(ctx, addr, msg, CallOptions{NewConn: true})
}

// CallOptions changes how a message is sent.
type CallOptions struct {
	// NewConn uses a new connection and closes it afterwards.
	NewConn bool
	// OnProgress, if set, is called whenever part of the reply has arrived.
	OnProgress func()
	// MaxReply is the maximum size of the reply in bytes, 0 for 1 MiB. A longer reply is
	// an error.
	MaxReply int64
	// Cause, if set, replaces the cause under which the message's bytes are counted.
	Cause flow.Cause
}

// CallWith is like Call, with options.
func (c *Client) CallWith(ctx context.Context, addr string, msg any, options CallOptions) (any, error) {
	client := keyedClient{digest: c.digest, http: c.http, onProgress: options.OnProgress, maxReply: options.MaxReply, flows: c.flows}
	if client.maxReply == 0 {
		client.maxReply = _defaultMaxReply
	}
	if options.NewConn {
		client.http = c.noKeepAlive
	}
	ctx, client.exchange = c.flows.begin(ctx, msg, options.Cause)
	return c.call(ctx, client, addr, msg)
}

func (c *Client) call(ctx context.Context, client keyedClient, addr string, msg any) (any, error) {
	frame, err := c.codec.Frame(msg)
	if err != nil {
		return nil, err
	}
	reply, err := NewPeerProtobufClient("http://"+addr, client).Send(ctx, frame)
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return nil, errors.Mark(errors.Errorf("call %s: %w", addr, err), ErrUnsent)
	}
	if err != nil {
		return nil, errors.Errorf("call %s: %w", addr, err)
	}
	return c.codec.Unframe(reply)
}

// CloseIdle closes the idle connections of Call.
func (c *Client) CloseIdle() {
	c.http.CloseIdleConnections()
}

// keyedClient is an HTTP client that adds the key to each request and limits the size of
// each response.
type keyedClient struct {
	digest     string
	http       *http.Client
	onProgress func()
	maxReply   int64
	flows      *flows
	exchange   *exchange
}

// Do adds the key to the request and sends it.
func (c keyedClient) Do(r *http.Request) (*http.Response, error) {
	addr := r.URL.Host
	compactRequest(r, c.digest)
	c.flows.ask(r)
	response, err := c.http.Do(r)
	if err != nil {
		return nil, err
	}
	c.flows.learn(addr, response, c.exchange)
	limit := c.maxReply
	if !isFrame(response) {
		limit = min(limit, _maxErrorReply)
	}
	response.Body = http.MaxBytesReader(nil, response.Body, limit)
	if c.onProgress != nil {
		response.Body = progressBody{ReadCloser: response.Body, onProgress: c.onProgress}
	}
	return response, nil
}

// progressBody is a response body that reports each part that is read.
type progressBody struct {
	io.ReadCloser
	onProgress func()
}

// Read reads from the body and reports that part of it has arrived.
func (b progressBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.onProgress()
	}
	return n, err
}

// Handler returns the reply to a message.
type Handler func(ctx context.Context, msg any) (any, error)

// Serve returns an HTTP handler that authenticates requests by the key, passes
// their messages to h and replies with the result.
func Serve(key string, codec Codec, h Handler) http.Handler {
	return ServeAt("", key, codec, h)
}

// ServeAt is like Serve for a process in a data centre, which it tells to clients that ask.
func ServeAt(center, key string, codec Codec, h Handler) http.Handler {
	peer := tellCenter(center, NewPeerServer(server{codec: codec, handle: h}))
	return serveCompact(key, peer, Authenticate(key, peer))
}

type server struct {
	codec  Codec
	handle Handler
}

// Send handles one frame and returns the reply.
func (s server) Send(ctx context.Context, f *Frame) (*Frame, error) {
	msg, err := s.codec.Unframe(f)
	if err != nil {
		return nil, twirp.InvalidArgumentError("frame", err.Error())
	}
	reply, err := s.handle(ctx, msg)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return s.codec.Frame(reply)
}
