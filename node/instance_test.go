package node

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/config"
	"github.com/damaskpitch/damaskpitch/gate"
	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/spec"
)

// newReportServer returns a node that accepts reports without running.
func newReportServer(t *testing.T) *Server {
	t.Helper()
	s := New(Config{
		Settings: config.Node{Name: "n1", Center: "mida", Key: "a-key-of-sixteen-bytes", Control: []string{"127.0.0.1:1"}},
		Logger:   slog.New(slog.DiscardHandler),
	})
	t.Cleanup(func() {
		if err := s.meter.Close(); err != nil {
			t.Error(err)
		}
	})
	return s
}

// TestBadReports checks that the error for an invalid report names the field at fault.
func TestBadReports(t *testing.T) {
	const good = `{"service":"lookup","addr":"127.0.0.1:1","slots":4,"state":"ready","warm":"0ms","sequence":4,"born":7}`
	if _, err := ParseReport("i-1", strings.NewReader(good)); err != nil {
		t.Fatal(err)
	}
	cases := []struct{ from, to, want string }{
		{`"lookup"`, `""`, "Instance.service"},
		{`"lookup"`, `7`, "service"},
		{`"127.0.0.1:1"`, `"nowhere"`, "Instance.addr"},
		{`"slots":4`, `"slots":0`, "Report.slots"},
		{`"slots":4`, `"slots":"4"`, "slots"},
		{`"ready"`, `"odd"`, "Report.state"},
		{`"state":"ready",`, ``, "Report.state"},
		{`"0ms"`, `"-1s"`, "Report.warm"},
		{`,"sequence":4`, ``, "Report.sequence"},
		{`"born":7`, `"born":0.5`, "born"},
		{good, `nothing`, "read report"},
	}
	for _, c := range cases {
		_, err := ParseReport("i-1", strings.NewReader(strings.Replace(good, c.from, c.to, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s for %s: error %v does not name %s", c.to, c.from, err, c.want)
		}
	}
}

// TestReportOrder checks which instances the node has after late and outdated reports,
// restarts, withdrawals and reused addresses.
func TestReportOrder(t *testing.T) {
	at := func(state State, born, sequence int64, addr string) Report {
		return Report{Service: "lookup", Addr: addr, Slots: 4, State: state, Sequence: &sequence, Born: born}
	}
	const here, there, elsewhere = "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"
	steps := []struct {
		name     string
		id       string
		report   Report
		withdraw bool // withdraw the instance instead of reporting
		want     string
	}{
		{"first", "a", at(Ready, 100, 5, here), false, "a"},
		{"leaving", "a", at(Leaving, 100, 7, here), false, "a leaving"},
		{"late report", "a", at(Ready, 100, 6, here), false, "a leaving"},
		{"restart with the same ID", "a", at(Ready, 200, 1, here), false, "a"},
		{"report of the earlier start", "a", at(Leaving, 100, 9, here), false, "a"},
		{"another instance at the same address", "b", at(Ready, 300, 1, here), false, "b"},
		{"report of the replaced instance", "a", at(Ready, 200, 2, here), false, "b"},
		{"instance at another address", "c", at(Ready, 250, 1, there), false, "b, c"},
		{"withdrawn", "c", Report{}, true, "b, c leaving"},
		{"report sent before the withdrawal", "c", at(Ready, 250, 2, there), false, "b, c leaving"},
		{"restart after the withdrawal", "c", at(Ready, 400, 1, there), false, "b, c"},
		{"withdrawn before its first report", "d", Report{}, true, "b, c"},
		{"report sent before that withdrawal", "d", at(Ready, 500, 1, elsewhere), false, "b, c"},
	}
	s := newReportServer(t)
	for _, step := range steps {
		if step.withdraw {
			s.withdraw(step.id, time.Now())
		} else {
			s.handleReport(step.id, step.report)
		}
		if got := instanceNames(s); got != step.want {
			t.Errorf("%s: instances %q, want %q", step.name, got, step.want)
		}
	}
}

// instanceNames returns the IDs of the node's instances, and which are leaving.
func instanceNames(s *Server) string {
	list, _ := s.instances()
	var names []string
	for _, i := range list {
		name := i.ID
		if i.Leaving {
			name += " leaving"
		}
		names = append(names, name)
	}
	return strings.Join(names, ", ")
}

// FuzzReport checks that the parser neither panics nor accepts a field out of range.
// TestLeavingBeforeFirstReport guards against a grace period that begins anew at a node which
// has just started: an instance that it first hears of as leaving has said so before, to the
// process before this one.
func TestLeavingBeforeFirstReport(t *testing.T) {
	s := newReportServer(t)
	sequence := int64(0)
	admit := func(id string) gate.Cmd {
		sequence++
		s.mu.Lock()
		defer s.mu.Unlock()
		ref := ledger.Ref{Node: "m", Epoch: 1, Seq: uint64(sequence)}
		return s.updateGateLocked(gate.AdmitMsg{ID: id, Ref: ref, At: s.now(), StartBy: s.now() + time.Second})[0]
	}
	report := func(id string, state State) {
		sequence++
		next := sequence
		s.handleReport(id, Report{Service: "s", Addr: "127.0.0.1:1", Slots: 9, State: state, Sequence: &next, Born: 1})
	}
	report("gone", Leaving)
	if refused, ok := admit("gone").(gate.RefuseCmd); !ok || refused.Reason != gate.Leaving {
		t.Errorf("attempt at an instance that has said that it leaves to an earlier process: %+v", refused)
	}
	report("known", Ready)
	report("known", Leaving)
	if cmd, ok := admit("known").(gate.StartCmd); !ok {
		t.Errorf("attempt within the grace of an instance that has just said that it leaves: %+v", cmd)
	}
}

func FuzzReport(f *testing.F) {
	f.Add(`{"service":"s","addr":"127.0.0.1:1","slots":4,"state":"ready","warm":"0ms","sequence":4}`)
	f.Fuzz(func(t *testing.T, data string) {
		r, err := ParseReport("i", strings.NewReader(data))
		if err == nil && (r.Slots < 1 || r.Sequence == nil || r.Warm < 0 || spec.Duration(0) > r.Warm) {
			t.Fatalf("accepted %+v", r)
		}
	})
}
