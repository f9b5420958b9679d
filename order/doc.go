// Package order decides which pipelined requests of a connection run before their turn,
// and what is held for them.
//
//	m := order.New(order.Config{Requests: 8, Held: 64 << 10})
//	m, cmds := m.Update(order.TurnMsg{Open: true})
//	if m.WithRoom(free).Wants(cost) {
//		m, cmds = m.Update(order.ReadMsg{Early: true, Cost: cost})
//	}
//
// Responses go out in the order of the requests. A request starts early if it and all
// requests before it that have no response yet are idempotent. The package also finds
// requests in the bytes of a connection: it parses only heads about which no two parsers
// can disagree. A Model lasts as long as its connection.
package order
