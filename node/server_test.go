package node

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/damaskpitch/damaskpitch/config"
)

// TestNoLeaks checks that a node leaves no goroutine behind after it stops, with
// callers that closed their connections in the middle of a request.
func TestNoLeaks(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	settings := config.Node{
		Name: "n1", Center: "mida", Key: "a-key-of-sixteen-bytes", Control: []string{"127.0.0.1:1"},
		Caller: freeAddr(t), Peer: freeAddr(t), Local: freeAddr(t),
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		done <- New(Config{Settings: settings, Logger: slog.New(slog.DiscardHandler)}).Run(ctx)
	}()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		r, err := client.Get("http://" + settings.Caller + "/none")
		if err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			r.Body.Close()
			break
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
	for range 10 {
		c, err := net.Dial("tcp", settings.Caller)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: x\r\nContent-Le")
		c.Close()
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// freeAddr returns a free address on the loopback interface.
func freeAddr(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}
