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

// TestNoLeaks starts a node, lets callers come and vanish, stops it, and finds
// no goroutine left.
func TestNoLeaks(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	settings := config.Node{
		Name: "n1", Center: "mida", Key: "a-key-of-sixteen-bytes", Control: []string{"127.0.0.1:1"},
		Caller: free(t), Peer: free(t), Local: free(t),
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

func free(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}
