package fake

import (
	"fmt"
	"net"
	"net/http"
	"strings"
)

// serveFault handles a request with a fault, and reports whether it did. The fault
// Short is left to serveBlob for a download.
func (b *Backend) serveFault(w http.ResponseWriter, r *http.Request, f Fault) bool {
	if f == NoFault || f == Short && strings.HasPrefix(r.URL.Path, "/blob") {
		return false
	}
	if f == Hang {
		<-r.Context().Done()
		return true
	}
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	if f != Reset {
		_, _ = buffer.WriteString(faultyResponse(f))
		_ = buffer.Flush()
	}
	if tcp, ok := conn.(*net.TCPConn); ok && f == Reset {
		_ = tcp.SetLinger(0)
	}
	return true
}

// faultyResponse returns the bytes of a response with a fault.
func faultyResponse(f Fault) string {
	const body = `{"spoilt":true}`
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	switch f {
	case Short:
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+10, body)
	case Cut:
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
	case Extra:
		return whole + whole
	case Crossed:
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: another\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	case Endless:
		return "HTTP/1.1 200 OK\r\n\r\n" + body
	default:
		return whole
	}
}
