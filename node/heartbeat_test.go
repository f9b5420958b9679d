package node

import (
	"context"
	"log/slog"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/config"
	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/wire"
)

// TestCallControlBesideSilentHosts guards against a call that waits for one silent control
// host after another although the node knows one that is current.
func TestCallControlBesideSilentHosts(t *testing.T) {
	var hosts []string
	for range 4 {
		l, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never answers
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		hosts = append(hosts, l.Addr().String())
	}
	live := httptest.NewServer(wire.Serve("key", proto.Codec, func(context.Context, any) (any, error) {
		return proto.HeartbeatReply{FromLeader: true, Known: true}, nil
	}))
	t.Cleanup(live.Close)
	current := strings.TrimPrefix(live.URL, "http://")
	s := New(Config{
		Settings: config.Node{Name: "n1", Center: "mida", Key: "key", Control: append(hosts, current)},
		Logger:   slog.New(slog.DiscardHandler),
	})
	s.setLeader(0, hosts[0])
	s.viewSync.currentHost.Store(&current)
	start := time.Now()
	reply, err := s.callControl(context.Background(), 0, proto.Heartbeat{Node: "n1"})
	if _, ok := reply.(proto.HeartbeatReply); !ok || err != nil {
		t.Fatalf("reply %+v, %v", reply, err)
	}
	if took := time.Since(start); took > _callTimeout*3/2 {
		t.Errorf("the call took %v, want one timeout of %v for the leader that is gone", took, _callTimeout)
	}
}
