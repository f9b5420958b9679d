// Command gate admits three attempts to an instance with two slots: the third
// one waits until the first is done.
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
		show(fmt.Sprint("attempt ", seq), cmds)
	}
	_, cmds = m.Update(gate.DoneMsg{ID: "lookup-1", Ref: ledger.Ref{Node: "n1", Epoch: 1, Seq: 1}, At: time.Millisecond})
	show("attempt 1 is done", cmds)
}

func show(what string, cmds []gate.Cmd) {
	if len(cmds) == 0 {
		fmt.Println(what + ": waits")
	}
	for _, cmd := range cmds {
		fmt.Printf("%s: %T\n", what, cmd)
	}
}
