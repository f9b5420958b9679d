package call

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/damaskpitch/damaskpitch/claim"
	"github.com/damaskpitch/damaskpitch/gate"
	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/retry"
)

// simulation is a few ingresses and owners on a network that loses, duplicates,
// delays and reorders messages.
type simulation struct {
	t        *rapid.T
	now      time.Duration
	owners   []*owner
	claims   claim.Model
	requests []*request
	messages []any
	runs     map[string]int // by key
	ran      map[int]int    // by request
	seq      uint64
	// resent are the attempts that the transport sent more than once, which it
	// reports to the ingress.
	resent map[ledger.Ref]bool
}

// owner is a gate; a restart loses its state and starts a new epoch.
type owner struct {
	epoch uint64
	gate  gate.Model
	refs  map[ledger.Ref]int
}

// request is one request at an ingress.
type request struct {
	id     int
	key    string
	model  Model
	owner  int
	epoch  uint64
	ref    ledger.Ref
	over   bool
	notRun bool
}

type (
	attemptMessage struct {
		requestID int
		owner     int
		epoch     uint64
		ref       ledger.Ref
	}
	responseMessage struct {
		ref ledger.Ref
		msg ResponseMsg
	}
	revokeMessage struct {
		owner int
		epoch uint64
		ref   ledger.Ref
	}
	revokeResultMessage struct {
		ref ledger.Ref
		msg RevokeResultMsg
	}
)

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t: t, runs: map[string]int{}, ran: map[int]int{}, resent: map[ledger.Ref]bool{},
		claims: claim.New(claim.Config{Retention: time.Hour}),
	}
	for range 3 {
		s.owners = append(s.owners, newOwner(1))
	}
	return s
}

func newOwner(epoch uint64) *owner {
	o := &owner{
		epoch: epoch,
		gate:  gate.New(gate.Config{Ledger: ledger.Config{Retention: 3 * time.Second}}),
		refs:  map[ledger.Ref]int{},
	}
	o.gate, _ = o.gate.Update(gate.RegisterMsg{ID: "i", Limits: gate.Limits{Slots: 1, Queue: 2}})
	return o
}

func (s *simulation) begin(key string) {
	once := key != ""
	r := &request{id: len(s.requests), key: key, model: New(Config{Once: once, Key: key, Replayable: true})}
	s.requests = append(s.requests, r)
	s.update(r, BeginMsg{})
}

func (s *simulation) update(r *request, msg Msg) {
	if r.over {
		return
	}
	model, cmds := r.model.Update(msg)
	r.model = model
	for _, cmd := range cmds {
		s.run(r, cmd)
	}
}

func (s *simulation) run(r *request, cmd Cmd) {
	switch cmd := cmd.(type) {
	case ClaimCmd:
		s.claim(r)
	case AttemptCmd:
		s.seq++
		r.owner = rapid.IntRange(0, len(s.owners)-1).Draw(s.t, "owner")
		// The ingress may have a stale epoch of the owner.
		r.epoch = s.owners[r.owner].epoch - uint64(rapid.IntRange(0, 1).Draw(s.t, "old"))
		r.ref = ledger.Ref{Node: fmt.Sprint("n", r.id%2), Epoch: 1, Seq: s.seq}
		s.messages = append(s.messages, attemptMessage{requestID: r.id, owner: r.owner, epoch: r.epoch, ref: r.ref})
	case RevokeCmd:
		s.messages = append(s.messages, revokeMessage{owner: r.owner, epoch: r.epoch, ref: r.ref})
	case SettleCmd:
		if rapid.IntRange(0, 4).Draw(s.t, "settle") > 0 {
			s.claims, _ = s.claims.Update(claim.SettleMsg{
				Key: r.key, Holder: fmt.Sprint(r.id), At: s.now, Outcome: cmd.Outcome,
			})
		}
	case FailCmd:
		r.over = true
		r.notRun = cmd.Execution == retry.NotExecuted
	case DeliverCmd, DuplicateCmd, KeyMismatchCmd:
		r.over = true
	}
}

func (s *simulation) claim(r *request) {
	var cmds []claim.Cmd
	s.claims, cmds = s.claims.Update(claim.AcquireMsg{
		Key: r.key, Holder: fmt.Sprint(r.id), At: s.now, TTL: time.Duration(rapid.IntRange(1, 5).Draw(s.t, "ttl")) * time.Second,
	})
	if rapid.IntRange(0, 5).Draw(s.t, "claim") == 0 {
		s.update(r, ClaimedMsg{Claim: ClaimFailed})
		return
	}
	switch cmd := cmds[0].(type) {
	case claim.GrantedCmd:
		s.update(r, ClaimedMsg{Claim: ClaimGranted})
	case claim.HeldCmd:
		s.update(r, ClaimedMsg{Claim: ClaimHeld, State: cmd.State})
	}
}

// deliver delivers one pending message and may keep it for a duplicate delivery.
func (s *simulation) deliver() {
	if len(s.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.messages)-1).Draw(s.t, "message")
	m := s.messages[i]
	if rapid.IntRange(0, 9).Draw(s.t, "duplicate") > 0 {
		s.messages = slices.Delete(s.messages, i, i+1)
	} else if a, ok := m.(attemptMessage); ok {
		s.resent[a.ref] = true
	}
	switch m := m.(type) {
	case attemptMessage:
		s.receive(m)
	case responseMessage:
		s.respond(m.ref, m.msg)
	case revokeMessage:
		s.revoke(m)
	case revokeResultMessage:
		s.respond(m.ref, m.msg)
	}
}

func (s *simulation) receive(m attemptMessage) {
	o := s.owners[m.owner]
	if o.epoch != m.epoch {
		s.reply(m.ref, retry.NotExecuted, "epoch")
		return
	}
	o.refs[m.ref] = m.requestID
	s.gate(o, gate.AdmitMsg{ID: "i", Ref: m.ref, At: s.now, StartBy: s.now + time.Second})
}

func (s *simulation) gate(o *owner, msg gate.Msg) {
	model, cmds := o.gate.Update(msg)
	o.gate = model
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case gate.StartCmd:
			r := s.requests[o.refs[cmd.Ref]]
			s.runs[r.key]++
			s.ran[r.id]++
		case gate.RefuseCmd:
			s.reply(cmd.Ref, retry.NotExecuted, string(cmd.Reason))
		case gate.DuplicateCmd:
			s.reply(cmd.Ref, retry.Unknown, "repeated")
		case gate.RevokeResultCmd:
			s.messages = append(s.messages, revokeResultMessage{ref: cmd.Ref, msg: RevokeResultMsg{Known: true, State: cmd.State, TimeLeft: time.Second}})
		}
	}
}

func (s *simulation) reply(ref ledger.Ref, execution retry.Execution, reason string) {
	s.messages = append(s.messages, responseMessage{ref: ref, msg: ResponseMsg{Execution: execution, Reason: reason, TimeLeft: time.Second}})
}

func (s *simulation) revoke(m revokeMessage) {
	o := s.owners[m.owner]
	if o.epoch != m.epoch {
		s.messages = append(s.messages, revokeResultMessage{ref: m.ref, msg: RevokeResultMsg{Known: true, State: ledger.Forgotten}})
		return
	}
	s.gate(o, gate.RevokeMsg{ID: "i", Ref: m.ref, At: s.now})
}

// respond delivers a message to the request whose latest attempt it belongs to.
func (s *simulation) respond(ref ledger.Ref, msg Msg) {
	for _, r := range s.requests {
		if a, ok := msg.(ResponseMsg); ok {
			a.Resent = s.resent[ref]
			msg = a
		}
		if r.ref == ref {
			s.update(r, msg)
		}
	}
}

func (s *simulation) step() {
	switch rapid.IntRange(0, 11).Draw(s.t, "step") {
	case 0, 1:
		s.begin(rapid.SampledFrom([]string{"", "k1", "k2", "k3"}).Draw(s.t, "key"))
	case 2:
		o := s.owners[rapid.IntRange(0, len(s.owners)-1).Draw(s.t, "finish")]
		for _, ref := range sortedRefs(o.refs) {
			if o.gate.State(ref) == ledger.Running {
				s.gate(o, gate.DoneMsg{ID: "i", Ref: ref, At: s.now})
				s.reply(ref, retry.Executed, "")
				break
			}
		}
	case 3:
		n := rapid.IntRange(0, len(s.owners)-1).Draw(s.t, "restart")
		s.owners[n] = newOwner(s.owners[n].epoch + 1)
	case 4:
		s.now += time.Duration(rapid.IntRange(1, 2000).Draw(s.t, "clock")) * time.Millisecond
		for _, o := range s.owners {
			s.gate(o, gate.ClockMsg{At: s.now})
		}
	case 5:
		// The ingress loses the connection of an attempt.
		if len(s.requests) > 0 {
			r := s.requests[rapid.IntRange(0, len(s.requests)-1).Draw(s.t, "lost")]
			s.update(r, LostMsg{Sent: true, TimeLeft: time.Second})
		}
	default:
		s.deliver()
	}
}

func sortedRefs(refs map[ledger.Ref]int) []ledger.Ref {
	list := make([]ledger.Ref, 0, len(refs))
	for ref := range refs {
		list = append(list, ref)
	}
	slices.SortFunc(list, func(a, b ledger.Ref) int { return int(a.Seq) - int(b.Seq) })
	return list
}

func (s *simulation) check() {
	for key, n := range s.runs {
		if key != "" && n > 1 {
			s.t.Fatalf("key %s ran %d times", key, n)
		}
	}
	for _, r := range s.requests {
		if r.notRun && s.ran[r.id] > 0 {
			s.t.Fatalf("request %d was reported as not run and ran %d times", r.id, s.ran[r.id])
		}
	}
}

// TestAtMostOnce checks that no key runs twice and that a request reported as "not
// run" never runs later.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range 150 {
			s.step()
			s.check()
		}
		for n := 0; n < 300 && len(s.messages) > 0; n++ {
			s.deliver()
			s.check()
		}
	})
}

// TestStatus lists the reactions to the owner's state of an attempt without a
// response: one that the owner never received is sent again, and one that may run
// is waited for.
func TestStatus(t *testing.T) {
	cases := []struct {
		name string
		once bool
		msg  StatusMsg
		want Cmd
	}{
		{"running", true, StatusMsg{Reached: true, State: ledger.Running, Acked: true}, WaitCmd{}},
		{"revoked by an earlier query", true, StatusMsg{Reached: true, State: ledger.Canceled}, AbandonCmd{Reason: _reasonLost, NotRun: true, DeadConns: true}},
		{"refused, refusal lost", false, StatusMsg{Reached: true, State: ledger.Canceled, Acked: true}, AbandonCmd{Reason: _reasonLost, NotRun: true, DeadConns: true}},
		{"dead connection", false, StatusMsg{Reached: true, State: ledger.Absent, Acked: true}, AbandonCmd{Reason: _reasonSilent, DeadConns: true}},
		{"owner unreachable, idempotent", false, StatusMsg{}, AbandonCmd{Reason: _reasonUnreachable, Unreachable: true}},
		{"owner unreachable, never acknowledged", true, StatusMsg{}, WaitCmd{Unreachable: true, AskSoon: true}},
		{"owner unreachable, acknowledged", true, StatusMsg{Acked: true}, WaitCmd{Unreachable: true}},
	}
	for _, c := range cases {
		_, cmds := New(Config{Once: c.once}).Update(c.msg)
		if len(cmds) != 1 || cmds[0] != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, cmds, c.want)
		}
	}
}
