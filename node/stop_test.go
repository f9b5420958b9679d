package node

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestShutdown checks that a server that shuts down closes the connections that nobody has
// used, and that requests in flight get their responses, with HTTP/1 and HTTP/2.
func TestShutdown(t *testing.T) {
	const (
		service = 300 * time.Millisecond
		timeout = 5 * time.Second
	)
	cases := []struct {
		name  string
		http2 bool
	}{{"HTTP/1", false}, {"HTTP/2", true}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var lc net.ListenConfig
			l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			conns := newConnStates()
			arrived := make(chan struct{})
			var protocols http.Protocols
			protocols.SetHTTP1(true)
			protocols.SetUnencryptedHTTP2(true)
			server := &http.Server{
				ConnState: conns.track, Protocols: &protocols,
				Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					close(arrived)
					time.Sleep(service)
					_, _ = io.WriteString(w, "whole")
				}),
			}
			go func() { _ = server.Serve(l) }()
			unused, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer unused.Close()
			var clientProtocols http.Protocols
			clientProtocols.SetHTTP1(!c.http2)
			clientProtocols.SetUnencryptedHTTP2(c.http2)
			client := &http.Client{Transport: &http.Transport{Protocols: &clientProtocols}}
			body := make(chan string, 1)
			go func() {
				response, err := client.Get("http://" + l.Addr().String())
				if err != nil {
					body <- err.Error()
					return
				}
				data, _ := io.ReadAll(response.Body)
				_ = response.Body.Close()
				body <- string(data)
			}()
			<-arrived
			from := time.Now()
			if err := shutdown(server, conns, timeout); err != nil {
				t.Error(err)
			}
			if took := time.Since(from); took > service+2*time.Second {
				t.Errorf("took %s", took)
			}
			if got := <-body; got != "whole" {
				t.Errorf("the request in flight got %q", got)
			}
			_ = unused.SetReadDeadline(time.Now().Add(time.Second))
			if _, err := unused.Read(make([]byte, 1)); err == nil {
				t.Error("the unused connection is open")
			}
		})
	}
}
