package node

import (
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/config"
	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/view"
)

// TestParseNotice guards against limits that are no numbers, and against one that would
// keep an instance from ever telling that its limit has ended.
func TestParseNotice(t *testing.T) {
	names := Headers{}.withDefaults()
	tests := []struct {
		name    string
		rate    string
		leaving string
		want    notice
		ok      bool
	}{
		{"no notice", "", "", notice{}, true},
		{"a limit", "2.2", "", notice{maxRate: 2.2}, true},
		{"a limit and leaving", "1", "1", notice{maxRate: 1, leaving: true}, true},
		{"leaving, another value", "", "0", notice{}, true},
		{"no requests at all", "0", "", notice{maxRate: _minRate}, true},
		{"negative", "-1", "", notice{}, false},
		{"no number", "NaN", "", notice{}, false},
		{"infinite", "Inf", "", notice{}, false},
		{"too large", "1e999", "", notice{}, false},
		{"text", "few", "", notice{}, false},
		{"text and leaving", "few", "1", notice{leaving: true}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			header := http.Header{}
			header.Set(names.MaxRate, test.rate)
			header.Set(names.Leaving, test.leaving)
			if got, ok := names.parseNotice(header); got != test.want || ok != test.ok {
				t.Errorf("%+v, %t, want %+v, %t", got, ok, test.want, test.ok)
			}
		})
	}
}

// TestObserveNotice guards against a notice that a faulty or late response takes back, and
// against one of an instance's earlier start that is taken for the present one's.
func TestObserveNotice(t *testing.T) {
	const id = "i1"
	names := Headers{}.withDefaults()
	limited, leaving := http.Header{}, http.Header{}
	limited.Set(names.MaxRate, "2")
	leaving.Set(names.Leaving, "1")
	badRate := leaving.Clone()
	badRate.Set(names.MaxRate, "few")
	ref := ledger.Ref{Node: "n2", Epoch: 1, Seq: 1}
	instance := view.Instance{ID: id, Service: "lookup", Addr: "127.0.0.1:9000", Born: 1, Slots: 4}
	restarted := instance
	restarted.Born = 2
	tests := []struct {
		name    string
		observe func(s *Server)
		want    notice
	}{
		{"a limit", func(s *Server) { s.observeNotice(id, ref, limited) }, notice{maxRate: 2}},
		{"a limit that ends", func(s *Server) {
			s.observeNotice(id, ref, limited)
			s.observeNotice(id, ref, http.Header{})
		}, notice{}},
		{"a refusal without a notice", func(s *Server) {
			s.observeNotice(id, ref, limited)
			s.observeRefusal(id, ref, http.Header{})
		}, notice{maxRate: 2}},
		{"a refusal with a notice", func(s *Server) { s.observeRefusal(id, ref, limited) }, notice{maxRate: 2}},
		{"a limit that is no number", func(s *Server) {
			s.observeNotice(id, ref, limited)
			s.observeNotice(id, ref, badRate)
		}, notice{maxRate: 2, leaving: true}},
		{"an earlier start", func(s *Server) {
			s.removeReplaced(restarted)
			s.registerInstance(restarted, time.Minute)
			s.observeNotice(id, ref, leaving)
		}, notice{}},
		{"adopted from an ingress", func(s *Server) { s.adoptMaxRate(id, "2") }, notice{maxRate: 2}},
		{"adopted after a response", func(s *Server) {
			s.observeNotice(id, ref, http.Header{})
			s.adoptMaxRate(id, "2")
		}, notice{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := New(Config{Settings: config.Node{Name: "n1", Center: "mida", Control: []string{"127.0.0.1:1"}}, Logger: slog.New(slog.DiscardHandler)})
			s.registerInstance(instance, time.Minute)
			s.startWork(id, ref, 0, 0, "r1", false)
			test.observe(s)
			if got := s.backends[id].notice; got != test.want {
				t.Errorf("%+v, want %+v", got, test.want)
			}
			if got := s.backends[id].instance.Leaving; got != test.want.leaving {
				t.Errorf("draining: %t", got)
			}
		})
	}
}
