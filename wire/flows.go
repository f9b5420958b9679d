package wire

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/damaskpitch/damaskpitch/flow"
)

// _headerCenter asks for the data centre of a process, and tells it in the response.
const _headerCenter = "Dp-Center"

// CountFlows counts the bytes that the client exchanges with other data centres. It must be
// called before the first message is sent; causeOf returns the cause of a message.
func (c *Client) CountFlows(table *flow.Table, causeOf func(msg any) flow.Cause) {
	c.flows.table, c.flows.causeOf = table, causeOf
}

// CenterOf returns the data centre of the process at an address, or "" if it has not told.
func (c *Client) CenterOf(addr string) string {
	return c.flows.centerOf(addr)
}

// flows counts the bytes of a client's connections, and learns the data centres at their
// other ends.
type flows struct {
	dialer  net.Dialer
	table   *flow.Table // nil if nothing is counted
	causeOf func(msg any) flow.Cause

	mu      sync.Mutex
	centers map[string]string // by address
}

// exchange is one message and its reply.
type exchange struct {
	conn atomic.Pointer[flow.Conn] // nil until there is one, or if its bytes are not counted
}

func (f *flows) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := f.dialer.DialContext(ctx, network, addr)
	if err != nil || f.table == nil {
		return conn, err //nolint:wrapcheck // the caller looks for a *net.OpError
	}
	return f.table.Wrap(conn, f.centerOf(addr)), nil
}

// begin returns the context of an exchange, whose bytes count towards the cause, or towards
// that of the message if it is Undecided.
func (f *flows) begin(ctx context.Context, msg any, cause flow.Cause) (context.Context, *exchange) {
	e := &exchange{}
	if f.table == nil {
		return ctx, e
	}
	if cause == flow.Undecided {
		cause = f.causeOf(msg)
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := flow.ConnOf(info.Conn); ok {
			conn.Begin(cause)
			e.conn.Store(conn)
		}
	}}), e
}

func (f *flows) centerOf(addr string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.centers[addr]
}

// ask asks for the data centre of the receiver if it is not known.
func (f *flows) ask(r *http.Request) {
	if f.table != nil && f.centerOf(r.URL.Host) == "" {
		r.Header.Set(_headerCenter, "1")
	}
}

// learn records the data centre that a response tells.
func (f *flows) learn(addr string, response *http.Response, e *exchange) {
	center := response.Header.Get(_headerCenter)
	if f.table == nil || center == "" {
		return
	}
	f.mu.Lock()
	if f.centers == nil {
		f.centers = map[string]string{}
	}
	f.centers[addr] = center
	f.mu.Unlock()
	if conn := e.conn.Load(); conn != nil {
		conn.SetCenter(center)
	}
}

// tellCenter adds the data centre to the responses to requests that ask for it.
func tellCenter(center string, next http.Handler) http.Handler {
	if center == "" {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(_headerCenter) != "" {
			w.Header().Set(_headerCenter, center)
		}
		next.ServeHTTP(w, r)
	})
}
