package wire

import (
	"context"
	"crypto/subtle"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"
)

const (
	_scheme      = "Bearer "
	_dialTimeout = time.Second
	_idleTimeout = 30 * time.Second

	// MaxFrame is the greatest size of one frame, in bytes.
	MaxFrame = 256 << 20
)

// ErrUnsent says that a message never left: no connection was made.
var ErrUnsent = errors.New("not sent")

// Guard lets only requests with the key through, compared in constant time.
func Guard(key string, next http.Handler) http.Handler {
	want := []byte(_scheme + key)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if subtle.ConstantTimeCompare(got, want) != 1 {
			http.Error(w, "wrong key", http.StatusUnauthorized)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, MaxFrame)
		next.ServeHTTP(w, r)
	})
}

// Sign adds the key to a request.
func Sign(r *http.Request, key string) {
	r.Header.Set("Authorization", _scheme+key)
}

// Client sends frames to other processes of the system.
type Client struct {
	key   string
	http  *http.Client
	fresh *http.Client
	codec Codec
}

// NewClient returns a client that signs with the key.
func NewClient(key string, codec Codec) *Client {
	dialer := &net.Dialer{Timeout: _dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		IdleConnTimeout:     _idleTimeout,
		MaxIdleConnsPerHost: 2,
	}
	fresh := transport.Clone()
	fresh.DisableKeepAlives = true
	return &Client{
		key:   key,
		http:  &http.Client{Transport: transport},
		fresh: &http.Client{Transport: fresh},
		codec: codec,
	}
}

// Call sends one message to an address and returns the answer.
func (c *Client) Call(ctx context.Context, addr string, msg any) (any, error) {
	return c.call(ctx, signer{key: c.key, http: c.http}, addr, msg)
}

// CallFresh sends one message over a connection of its own.
func (c *Client) CallFresh(ctx context.Context, addr string, msg any) (any, error) {
	return c.call(ctx, signer{key: c.key, http: c.fresh}, addr, msg)
}

func (c *Client) call(ctx context.Context, by signer, addr string, msg any) (any, error) {
	frame, err := c.codec.Frame(msg)
	if err != nil {
		return nil, err
	}
	reply, err := NewPeerProtobufClient("http://"+addr, by).Send(ctx, frame)
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return nil, errors.Mark(errors.Errorf("call %s: %w", addr, err), ErrUnsent)
	}
	if err != nil {
		return nil, errors.Errorf("call %s: %w", addr, err)
	}
	return c.codec.Open(reply)
}

// Forget closes the connections that are idle.
func (c *Client) Forget() {
	c.http.CloseIdleConnections()
}

// signer adds the key to each of the client's requests.
type signer struct {
	key  string
	http *http.Client
}

// Do sends one request.
func (s signer) Do(r *http.Request) (*http.Response, error) {
	Sign(r, s.key)
	return s.http.Do(r)
}

// Handler answers one message.
type Handler func(ctx context.Context, msg any) (any, error)

// Serve returns the HTTP handler that answers frames signed with the key.
func Serve(key string, codec Codec, h Handler) http.Handler {
	return Guard(key, NewPeerServer(server{codec: codec, handle: h}))
}

type server struct {
	codec  Codec
	handle Handler
}

// Send answers one frame.
func (s server) Send(ctx context.Context, f *Frame) (*Frame, error) {
	msg, err := s.codec.Open(f)
	if err != nil {
		return nil, twirp.InvalidArgumentError("frame", err.Error())
	}
	reply, err := s.handle(ctx, msg)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return s.codec.Frame(reply)
}
