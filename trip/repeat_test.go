package trip

import (
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/retry"
)

// course runs a request through the answers of its attempts and returns how
// many attempts it made, how many of them cost a repeat, and what it came to.
func course(cfg Config, answers []AnswerMsg) (int, int, Cmd) {
	m, cmds := New(cfg).Update(BeginMsg{})
	attempts, paid := 0, 0
	for _, a := range answers {
		attempt, ok := cmds[0].(AttemptCmd)
		if !ok {
			break
		}
		attempts++
		if attempt.Retry && !attempt.Free {
			paid++
		}
		a.Left = time.Second
		m, cmds = m.Update(a)
	}
	return attempts, paid, cmds[0]
}

// TestRepeats lists how often a request runs: a failure of an instance is
// repeated elsewhere where it may, within the route's instances, and owners that
// refuse without an instance count for nothing.
func TestRepeats(t *testing.T) {
	failed := AnswerMsg{Fate: retry.Executed, Failed: true}
	good := AnswerMsg{Fate: retry.Executed}
	full := AnswerMsg{Fate: retry.NotExecuted, Free: true, Reason: "full"}
	shed := AnswerMsg{Fate: retry.NotExecuted, Reason: "shed"}
	cases := []struct {
		name           string
		cfg            Config
		answers        []AnswerMsg
		attempts, paid int
		want           Cmd
	}{
		{"good", Config{Replayable: true, Attempts: 2}, []AnswerMsg{good}, 1, 0, DeliverCmd{}},
		{"fails once", Config{Replayable: true, Attempts: 2}, []AnswerMsg{failed, good}, 2, 1, DeliverCmd{}},
		{"fails on all instances that it may have", Config{Replayable: true, Attempts: 2}, []AnswerMsg{failed, failed, good}, 2, 1, DeliverCmd{}},
		{"once: a failure is final", Config{Once: true, Replayable: true, Attempts: 2}, []AnswerMsg{failed, good}, 1, 0, DeliverCmd{}},
		{"full owners are free", Config{Once: true, Replayable: true, Attempts: 1}, []AnswerMsg{full, full, full, good}, 4, 0, DeliverCmd{}},
		{"shed by an instance", Config{Once: true, Replayable: true, Attempts: 2}, []AnswerMsg{shed, good}, 2, 1, DeliverCmd{}},
		{"shed by all that it may have", Config{Once: true, Replayable: true, Attempts: 2}, []AnswerMsg{shed, shed, good}, 2, 1, TellCmd{Fate: retry.NotExecuted, Reason: "shed"}},
		{"failed, then refused: not \"not run\"", Config{Replayable: true, Attempts: 2}, []AnswerMsg{failed, shed}, 2, 1, TellCmd{Fate: retry.Unknown, Reason: "shed"}},
		{"body gone", Config{Attempts: 2}, []AnswerMsg{failed, good}, 1, 0, DeliverCmd{}},
	}
	for _, c := range cases {
		attempts, paid, got := course(c.cfg, c.answers)
		if attempts != c.attempts || paid != c.paid || got != c.want {
			t.Errorf("%s: %d attempts, %d paid, %+v; want %d, %d, %+v", c.name, attempts, paid, got, c.attempts, c.paid, c.want)
		}
	}
}
