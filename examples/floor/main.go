// Command floor requests two ejections from the arbiter, which refuses the one
// that would leave fewer healthy instances than the service's floor.
package main

import (
	"fmt"
	"time"

	"github.com/damaskpitch/damaskpitch/floor"
)

func main() {
	m := floor.New(2)
	for _, id := range []string{"a", "b", "c"} {
		m, _ = m.Update(floor.JoinMsg{ID: id})
	}
	for _, id := range []string{"a", "b"} {
		var cmds []floor.Cmd
		m, cmds = m.Update(floor.EjectMsg{ID: id, At: time.Second, TTL: time.Minute})
		fmt.Printf("eject %s: %T, %d healthy\n", id, cmds[0], m.Healthy(time.Second))
	}
}
