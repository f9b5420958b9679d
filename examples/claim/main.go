// Command claim acquires a claim on one idempotency key twice: the second
// request gets the stored response to the first.
package main

import (
	"fmt"
	"time"

	"github.com/damaskpitch/damaskpitch/claim"
)

func main() {
	m := claim.New(claim.Config{Retention: 24 * time.Hour})
	acquire := claim.AcquireMsg{Key: "renewal-7", Digest: 1, Holder: "first", At: time.Second, TTL: time.Minute}
	m, cmds := m.Update(acquire)
	fmt.Printf("first: %T\n", cmds[0])

	m, _ = m.Update(claim.SettleMsg{
		Key: "renewal-7", Holder: "first", At: 2 * time.Second,
		Outcome: claim.Ran, Answer: claim.Answer{Status: 200, Body: []byte("permit 41")},
	})
	acquire.Holder = "second"
	_, cmds = m.Update(acquire)
	if held, ok := cmds[0].(claim.HeldCmd); ok {
		fmt.Printf("second: %s, %q\n", held.State, held.Answer.Body)
	}
}
