package node

import (
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/gate"
	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/route"
	"github.com/damaskpitch/damaskpitch/view"
)

// TestOwnAttemptInStop guards against a request that must run once and fails with an
// unknown outcome because its attempt was sent to the own node's peer listener just before a
// stop closed it: the node knows by itself whether the attempt has started.
func TestOwnAttemptInStop(t *testing.T) {
	s := newReportServer(t) // without listeners
	s.epoch.Store(7)
	sequence := int64(1)
	s.handleReport("i-1", Report{Service: "lookup", Addr: "127.0.0.1:1", Slots: 4, State: Ready, Sequence: &sequence, Born: 1})
	started := ledger.Ref{Node: "n1", Epoch: 7, Seq: 2}
	s.updateGate(gate.AdmitMsg{ID: "i-1", Ref: started, At: s.now(), StartBy: s.now() + time.Second})
	cases := []struct {
		name string
		ref  ledger.Ref
		want ledger.State
	}{
		{"never arrived", ledger.Ref{Node: "n1", Epoch: 7, Seq: 1}, ledger.Canceled},
		{"started", started, ledger.Running},
	}
	for _, c := range cases {
		res := &attemptResult{ref: c.ref, choice: route.Choice{Candidate: route.Candidate{
			Key: view.Key{Node: "n1", ID: "i-1"}, Epoch: 7, Addr: "127.0.0.1:1",
		}}}
		status, known := s.queryAttempt(t.Context(), res, true)
		if !known || status.State != c.want {
			t.Errorf("%s: state %v, known %t, want %v", c.name, status.State, known, c.want)
		}
	}
}
