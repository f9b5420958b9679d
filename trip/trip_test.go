package trip

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

// scene is a few ingresses and owners with a network that loses, doubles,
// delays and reorders.
type scene struct {
	t      *rapid.T
	now    time.Duration
	owners []*owner
	claims claim.Model
	trips  []*journey
	mail   []any
	runs   map[string]int // by key
	ran    map[int]int    // by journey
	seq    uint64
	// doubled are the attempts that the transport sent more than once, which
	// it tells the ingress.
	doubled map[ledger.Ref]bool
}

// owner is a gate; a restart forgets everything but starts a new epoch.
type owner struct {
	epoch uint64
	gate  gate.Model
	refs  map[ledger.Ref]int
}

// journey is one request at an ingress.
type journey struct {
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
	attemptMail struct {
		trip  int
		owner int
		epoch uint64
		ref   ledger.Ref
	}
	answerMail struct {
		ref ledger.Ref
		msg AnswerMsg
	}
	revokeMail struct {
		owner int
		epoch uint64
		ref   ledger.Ref
	}
	fateMail struct {
		ref ledger.Ref
		msg FateMsg
	}
)

func newScene(t *rapid.T) *scene {
	s := &scene{
		t: t, runs: map[string]int{}, ran: map[int]int{}, doubled: map[ledger.Ref]bool{},
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
	o.gate, _ = o.gate.Update(gate.ServeMsg{ID: "i", Limits: gate.Limits{Slots: 1, Queue: 2}})
	return o
}

func (s *scene) begin(key string) {
	once := key != ""
	j := &journey{id: len(s.trips), key: key, model: New(Config{Once: once, Key: key, Replayable: true})}
	s.trips = append(s.trips, j)
	s.tell(j, BeginMsg{})
}

func (s *scene) tell(j *journey, msg Msg) {
	if j.over {
		return
	}
	model, cmds := j.model.Update(msg)
	j.model = model
	for _, cmd := range cmds {
		s.run(j, cmd)
	}
}

func (s *scene) run(j *journey, cmd Cmd) {
	switch cmd := cmd.(type) {
	case ClaimCmd:
		s.claim(j)
	case AttemptCmd:
		s.seq++
		j.owner = rapid.IntRange(0, len(s.owners)-1).Draw(s.t, "owner")
		// The ingress may know an old epoch of the owner.
		j.epoch = s.owners[j.owner].epoch - uint64(rapid.IntRange(0, 1).Draw(s.t, "old"))
		j.ref = ledger.Ref{Node: fmt.Sprint("n", j.id%2), Epoch: 1, Seq: s.seq}
		s.mail = append(s.mail, attemptMail{trip: j.id, owner: j.owner, epoch: j.epoch, ref: j.ref})
	case RevokeCmd:
		s.mail = append(s.mail, revokeMail{owner: j.owner, epoch: j.epoch, ref: j.ref})
	case SettleCmd:
		if rapid.IntRange(0, 4).Draw(s.t, "settle") > 0 {
			s.claims, _ = s.claims.Update(claim.SettleMsg{
				Key: j.key, Holder: fmt.Sprint(j.id), At: s.now, Outcome: cmd.Outcome,
			})
		}
	case TellCmd:
		j.over = true
		j.notRun = cmd.Fate == retry.NotRun
	case DeliverCmd, RepeatCmd, ForbidCmd:
		j.over = true
	}
}

func (s *scene) claim(j *journey) {
	var cmds []claim.Cmd
	s.claims, cmds = s.claims.Update(claim.AcquireMsg{
		Key: j.key, Holder: fmt.Sprint(j.id), At: s.now, TTL: time.Duration(rapid.IntRange(1, 5).Draw(s.t, "ttl")) * time.Second,
	})
	if rapid.IntRange(0, 5).Draw(s.t, "claim") == 0 {
		s.tell(j, ClaimedMsg{Claim: Failed})
		return
	}
	switch cmd := cmds[0].(type) {
	case claim.GrantedCmd:
		s.tell(j, ClaimedMsg{Claim: Granted})
	case claim.HeldCmd:
		s.tell(j, ClaimedMsg{Claim: Held, State: cmd.State})
	}
}

// deliver passes one waiting message on; it may be lost or come again.
func (s *scene) deliver() {
	if len(s.mail) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.mail)-1).Draw(s.t, "mail")
	m := s.mail[i]
	if rapid.IntRange(0, 9).Draw(s.t, "again") > 0 {
		s.mail = slices.Delete(s.mail, i, i+1)
	} else if a, ok := m.(attemptMail); ok {
		s.doubled[a.ref] = true
	}
	switch m := m.(type) {
	case attemptMail:
		s.arrive(m)
	case answerMail:
		s.answer(m.ref, m.msg)
	case revokeMail:
		s.revoke(m)
	case fateMail:
		s.answer(m.ref, m.msg)
	}
}

func (s *scene) arrive(m attemptMail) {
	o := s.owners[m.owner]
	if o.epoch != m.epoch {
		s.reply(m.ref, retry.NotRun, "epoch")
		return
	}
	o.refs[m.ref] = m.trip
	s.gate(o, gate.AdmitMsg{ID: "i", Ref: m.ref, At: s.now, Until: s.now + time.Second})
}

func (s *scene) gate(o *owner, msg gate.Msg) {
	model, cmds := o.gate.Update(msg)
	o.gate = model
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case gate.StartCmd:
			j := s.trips[o.refs[cmd.Ref]]
			s.runs[j.key]++
			s.ran[j.id]++
		case gate.RefuseCmd:
			s.reply(cmd.Ref, retry.NotRun, string(cmd.Reason))
		case gate.DoubtCmd:
			s.reply(cmd.Ref, retry.Unknown, "repeated")
		case gate.FateCmd:
			s.mail = append(s.mail, fateMail{ref: cmd.Ref, msg: FateMsg{Known: true, State: cmd.State, Left: time.Second}})
		}
	}
}

func (s *scene) reply(ref ledger.Ref, fate retry.Fate, reason string) {
	s.mail = append(s.mail, answerMail{ref: ref, msg: AnswerMsg{Fate: fate, Reason: reason, Left: time.Second}})
}

func (s *scene) revoke(m revokeMail) {
	o := s.owners[m.owner]
	if o.epoch != m.epoch {
		s.mail = append(s.mail, fateMail{ref: m.ref, msg: FateMsg{Known: true, State: ledger.Forgotten}})
		return
	}
	s.gate(o, gate.RevokeMsg{ID: "i", Ref: m.ref, At: s.now})
}

// answer reaches a journey only for its latest attempt.
func (s *scene) answer(ref ledger.Ref, msg Msg) {
	for _, j := range s.trips {
		if a, ok := msg.(AnswerMsg); ok {
			a.Doubled = s.doubled[ref]
			msg = a
		}
		if j.ref == ref {
			s.tell(j, msg)
		}
	}
}

func (s *scene) step() {
	switch rapid.IntRange(0, 11).Draw(s.t, "step") {
	case 0, 1:
		s.begin(rapid.SampledFrom([]string{"", "k1", "k2", "k3"}).Draw(s.t, "key"))
	case 2:
		o := s.owners[rapid.IntRange(0, len(s.owners)-1).Draw(s.t, "finish")]
		for _, ref := range sortedRefs(o.refs) {
			if o.gate.State(ref) == ledger.Running {
				s.gate(o, gate.DoneMsg{ID: "i", Ref: ref, At: s.now})
				s.reply(ref, retry.Ran, "")
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
		// The ingress loses touch with an attempt.
		if len(s.trips) > 0 {
			j := s.trips[rapid.IntRange(0, len(s.trips)-1).Draw(s.t, "lost")]
			s.tell(j, LostMsg{Sent: true, Left: time.Second})
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

func (s *scene) check() {
	for key, n := range s.runs {
		if key != "" && n > 1 {
			s.t.Fatalf("key %s ran %d times", key, n)
		}
	}
	for _, j := range s.trips {
		if j.notRun && s.ran[j.id] > 0 {
			s.t.Fatalf("request %d was told not run and ran %d times", j.id, s.ran[j.id])
		}
	}
}

// TestAtMostOnce checks that no key runs twice and that each "not run" stays
// true for ever.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newScene(t)
		for range 150 {
			s.step()
			s.check()
		}
		for n := 0; n < 300 && len(s.mail) > 0; n++ {
			s.deliver()
			s.check()
		}
	})
}

// TestQuiet lists what the owner's word on a silent attempt leads to: one that
// its owner never had is sent again, one that may run is waited for.
func TestQuiet(t *testing.T) {
	cases := []struct {
		name string
		once bool
		msg  QuietMsg
		want Cmd
	}{
		{"running", true, QuietMsg{Reached: true, State: ledger.Running, Acked: true}, WaitCmd{}},
		{"forbidden by an earlier question", true, QuietMsg{Reached: true, State: ledger.Dead}, GiveUpCmd{Reason: _reasonLost, Unrun: true, Doubt: true}},
		{"refused, and the refusal is lost", false, QuietMsg{Reached: true, State: ledger.Dead, Acked: true}, GiveUpCmd{Reason: _reasonLost, Unrun: true, Doubt: true}},
		{"dead connection", false, QuietMsg{Reached: true, State: ledger.Absent, Acked: true}, GiveUpCmd{Reason: _reasonSilent, Doubt: true}},
		{"owner out of reach, may be repeated", false, QuietMsg{}, GiveUpCmd{Reason: _reasonCut, Block: true}},
		{"owner out of reach, never acknowledged", true, QuietMsg{}, WaitCmd{Block: true, Soon: true}},
		{"owner out of reach, runs there", true, QuietMsg{Acked: true}, WaitCmd{Block: true}},
	}
	for _, c := range cases {
		_, cmds := New(Config{Once: c.once}).Update(c.msg)
		if len(cmds) != 1 || cmds[0] != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, cmds, c.want)
		}
	}
}
