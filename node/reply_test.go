package node

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/gate"
	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/view"
)

// TestLoadAfterResponse checks that a response does not count the slot of its own
// attempt, which is free when the ingress reads it, and that a refusal counts all.
func TestLoadAfterResponse(t *testing.T) {
	s := newReportServer(t)
	s.registerInstance(view.Instance{ID: "i-1", Service: "lookup", Addr: "127.0.0.1:1", Slots: 2}, time.Minute)
	for n := range 2 {
		s.updateGate(gate.AdmitMsg{ID: "i-1", Ref: ledger.Ref{Node: "n2", Seq: uint64(n + 1)}, At: s.now(), StartBy: s.now() + time.Second})
	}
	cases := []struct {
		running bool
		want    string
	}{{true, "1/2"}, {false, "2/2"}}
	for _, c := range cases {
		w := httptest.NewRecorder()
		j := &job{server: s, w: w, instance: "i-1", running: c.running}
		j.setLoadHeaders()
		if got := w.Header().Get(_headerLoad); got != c.want {
			t.Errorf("running %t: load %s, want %s", c.running, got, c.want)
		}
	}
}
