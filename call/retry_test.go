package call

import (
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/retry"
)

// runAttempts answers a request's attempts in order. It returns the number of
// attempts, how many of them took from the retry budget, and the final command.
func runAttempts(cfg Config, responses []ResponseMsg) (int, int, Cmd) {
	m, cmds := New(cfg).Update(BeginMsg{})
	attempts, paid := 0, 0
	for _, a := range responses {
		attempt, ok := cmds[0].(AttemptCmd)
		if !ok {
			break
		}
		attempts++
		if attempt.Retry && !attempt.Free {
			paid++
		}
		a.TimeLeft = time.Second
		m, cmds = m.Update(a)
	}
	return attempts, paid, cmds[0]
}

// TestRetries lists how often a request runs: a failure of an instance is retried
// elsewhere where that is safe, within the route's maximum number of deliveries;
// refusals by owners that did not reach an instance do not count.
func TestRetries(t *testing.T) {
	failed := ResponseMsg{Execution: retry.Executed, Failed: true}
	good := ResponseMsg{Execution: retry.Executed}
	full := ResponseMsg{Execution: retry.NotExecuted, Free: true, Reason: "full"}
	shed := ResponseMsg{Execution: retry.NotExecuted, Reason: "shed"}
	cases := []struct {
		name           string
		cfg            Config
		responses      []ResponseMsg
		attempts, paid int
		want           Cmd
	}{
		{"succeeds", Config{Replayable: true, MaxDeliveries: 2}, []ResponseMsg{good}, 1, 0, DeliverCmd{}},
		{"fails once", Config{Replayable: true, MaxDeliveries: 2}, []ResponseMsg{failed, good}, 2, 1, DeliverCmd{}},
		{"fails on the maximum number of instances", Config{Replayable: true, MaxDeliveries: 2}, []ResponseMsg{failed, failed, good}, 2, 1, DeliverCmd{}},
		{"once: a failure is final", Config{Once: true, Replayable: true, MaxDeliveries: 2}, []ResponseMsg{failed, good}, 1, 0, DeliverCmd{}},
		{"full owners take no budget", Config{Once: true, Replayable: true, MaxDeliveries: 1}, []ResponseMsg{full, full, full, good}, 4, 0, DeliverCmd{}},
		{"shed by an instance", Config{Once: true, Replayable: true, MaxDeliveries: 2}, []ResponseMsg{shed, good}, 2, 1, DeliverCmd{}},
		{"shed by the maximum number of instances", Config{Once: true, Replayable: true, MaxDeliveries: 2}, []ResponseMsg{shed, shed, good}, 2, 1, FailCmd{Execution: retry.NotExecuted, Reason: "shed"}},
		{"failed, then refused: not \"not run\"", Config{Replayable: true, MaxDeliveries: 2}, []ResponseMsg{failed, shed}, 2, 1, FailCmd{Execution: retry.Unknown, Reason: "shed"}},
		{"body not replayable", Config{MaxDeliveries: 2}, []ResponseMsg{failed, good}, 1, 0, DeliverCmd{}},
	}
	for _, c := range cases {
		attempts, paid, got := runAttempts(c.cfg, c.responses)
		if attempts != c.attempts || paid != c.paid || got != c.want {
			t.Errorf("%s: %d attempts, %d from the budget, %+v; want %d, %d, %+v", c.name, attempts, paid, got, c.attempts, c.paid, c.want)
		}
	}
}
