// Command gate submits three attempts to an instance with two slots: the third
// is queued until the first completes.
package main

import (
	"fmt"
	"time"

	"github.com/damaskpitch/damaskpitch/gate"
	"github.com/damaskpitch/damaskpitch/ledger"
)

func main() {
	m := gate.New(gate.Config{})
	m, _ = m.Update(gate.RegisterMsg{ID: "lookup-1", Limits: gate.Limits{Slots: 2, Queue: 4}})
	var cmds []gate.Cmd
	for seq := uint64(1); seq <= 3; seq++ {
		m, cmds = m.Update(gate.AdmitMsg{
			ID: "lookup-1", Ref: ledger.Ref{Node: "n1", Epoch: 1, Seq: seq}, Caller: "clerk", StartBy: time.Second,
		})
		printCmds(fmt.Sprint("attempt ", seq), cmds)
	}
	_, cmds = m.Update(gate.DoneMsg{ID: "lookup-1", Ref: ledger.Ref{Node: "n1", Epoch: 1, Seq: 1}, At: time.Millisecond})
	printCmds("attempt 1 completed", cmds)
}

func printCmds(event string, cmds []gate.Cmd) {
	if len(cmds) == 0 {
		fmt.Println(event + ": queued")
	}
	for _, cmd := range cmds {
		fmt.Printf("%s: %T\n", event, cmd)
	}
}
