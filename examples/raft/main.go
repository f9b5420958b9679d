// Command raft replicates one entry to three replicas in one process.
package main

import (
	"fmt"
	"time"

	"github.com/damaskpitch/damaskpitch/raft"
)

const _tick = 20 * time.Millisecond

// cluster executes the replicas' commands in memory. A real program would persist
// entries to disk and send messages over the network.
type cluster struct {
	replicas map[uint64]raft.Model
	queue    []message
	leader   uint64
}

type message struct {
	to  uint64
	msg raft.Msg
}

func main() {
	peers := []raft.Peer{{ID: 1}, {ID: 2}, {ID: 3}}
	c := &cluster{replicas: map[uint64]raft.Model{}}
	for _, p := range peers {
		c.replicas[p.ID] = raft.New(raft.Config{ID: p.ID}, raft.State{Snapshot: raft.Snapshot{Peers: peers}})
	}
	for at := time.Duration(0); c.leader == 0; at += _tick {
		c.tick(at)
	}
	c.update(c.leader, raft.ProposeMsg{Proposals: []raft.Proposal{{ID: 1, Data: []byte("hello")}}})
	c.deliver()
}

func (c *cluster) tick(at time.Duration) {
	for id := uint64(1); id <= 3; id++ {
		c.update(id, raft.TickMsg{At: at})
	}
	c.deliver()
}

func (c *cluster) deliver() {
	for len(c.queue) > 0 {
		next := c.queue[0]
		c.queue = c.queue[1:]
		c.update(next.to, next.msg)
	}
}

func (c *cluster) update(id uint64, msg raft.Msg) {
	model, cmds := c.replicas[id].Update(msg)
	c.replicas[id] = model
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case raft.SendCmd:
			c.queue = append(c.queue, message{to: cmd.To.ID, msg: raft.ReceiveMsg{From: id, Body: cmd.Body}})
		case raft.LeaderCmd:
			if cmd.Leader == id {
				c.leader = id
			}
		case raft.ApplyCmd:
			for _, e := range cmd.Entries {
				if len(e.Data) > 0 {
					fmt.Printf("committed %q at %d\n", e.Data, e.Index)
				}
			}
		}
	}
}
