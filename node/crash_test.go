package node

import (
	"slices"
	"testing"

	"github.com/damaskpitch/damaskpitch/ledger"
)

// TestCrashesAreToldApart checks that the requests that one crash ends report it once, and
// that an instance that has restarted counts again: otherwise a request that crashes it
// each time is tried more often than its crashes allow.
func TestCrashesAreToldApart(t *testing.T) {
	s := newReportServer(t)
	start := func(seq uint64) *work {
		_, _, w := s.startWork("i-1", ledger.Ref{Node: "n1", Seq: seq}, seq, 0, "", false)
		if w == nil {
			t.Fatal("the instance is unknown")
		}
		return w
	}
	var lives []uint64
	for born := range int64(3) {
		sequence := int64(1)
		s.handleReport("i-1", Report{Service: "lookup", Addr: "127.0.0.1:1", Slots: 4, State: Ready, Sequence: &sequence, Born: born + 1})
		first, second := start(1), start(2)
		life, fingerprints := s.recordCrash("i-1", first)
		if life == 0 || slices.Contains(lives, life) {
			t.Errorf("start %d: crash %d, earlier ones %v", born, life, lives)
		}
		if len(fingerprints) != 2 {
			t.Errorf("start %d: fingerprints %v, want both requests in flight", born, fingerprints)
		}
		lives = append(lives, life)
		if again, _ := s.recordCrash("i-1", second); again != 0 {
			t.Errorf("start %d: the crash is reported again, as %d", born, again)
		}
		s.finishWork("i-1", ledger.Ref{Node: "n1", Seq: 1}, workFailed)
		s.finishWork("i-1", ledger.Ref{Node: "n1", Seq: 2}, workFailed)
	}
}
