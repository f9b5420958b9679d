package ctrl

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/wire"
)

// _flowMaxAge is how long what a node has told of its services counts: three heartbeats.
const _flowMaxAge = 6 * time.Second

// ServiceFlows is what GET /v1/flows tells of a service: the room and the demand of each data
// centre, and the attempts that go from one to another.
type ServiceFlows struct {
	Service string       `json:"service"`
	Centers []CenterFlow `json:"centers"`
	Flows   []Flow       `json:"flows"`
}

// CenterFlow is the state of a service in a data centre. Demand is the number of attempts
// per second that its nodes send, wherever to.
type CenterFlow struct {
	Center  string  `json:"center"`
	Slots   int     `json:"slots"`
	Running int     `json:"running"`
	Queued  int     `json:"queued"`
	Room    int     `json:"room"`
	Demand  float64 `json:"demand"`
}

// Flow is the number of attempts per second from one data centre to another.
type Flow struct {
	From string  `json:"from"`
	To   string  `json:"to"`
	Rate float64 `json:"rate"`
}

// flowBoard holds what nodes told of their services in their latest heartbeats. Only the
// leader gets heartbeats.
type flowBoard struct {
	mu    sync.Mutex
	nodes map[string]nodeFlows
}

type nodeFlows struct {
	at    time.Time
	flows proto.NodeFlows
}

func (b *flowBoard) record(center string, h proto.Heartbeat) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.nodes == nil {
		b.nodes = map[string]nodeFlows{}
	}
	b.nodes[h.Node] = nodeFlows{at: time.Now(), flows: proto.NodeFlows{
		Node: h.Node, Center: center, Time: h.FlowTime, Flows: h.Flows,
	}}
}

// list returns what nodes told lately, sorted by node, and drops the rest.
func (b *flowBoard) list() []proto.NodeFlows {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.nodes, func(_ string, n nodeFlows) bool { return time.Since(n.at) > _flowMaxAge })
	list := make([]proto.NodeFlows, 0, len(b.nodes))
	for _, node := range slices.Sorted(maps.Keys(b.nodes)) {
		n := b.nodes[node]
		n.flows.Age = time.Since(n.at)
		list = append(list, n.flows)
	}
	return list
}

// sumFlows adds up what nodes told, by service and data centre.
func sumFlows(nodes []proto.NodeFlows) []ServiceFlows {
	type pair struct{ from, to string }
	centers := map[string]map[string]*CenterFlow{}
	rates := map[string]map[pair]float64{}
	for _, n := range nodes {
		for _, f := range n.Flows {
			if centers[f.Service] == nil {
				centers[f.Service], rates[f.Service] = map[string]*CenterFlow{}, map[pair]float64{}
			}
			c := centers[f.Service][n.Center]
			if c == nil {
				c = &CenterFlow{Center: n.Center}
				centers[f.Service][n.Center] = c
			}
			c.Slots += f.Slots
			c.Running += f.Running
			c.Queued += f.Queued
			c.Room += max(0, f.Slots-f.Running)
			for to, sent := range f.Sent {
				rate := float64(sent) / max(n.Time, time.Millisecond).Seconds()
				c.Demand += rate
				rates[f.Service][pair{n.Center, to}] += rate
			}
		}
	}
	list := make([]ServiceFlows, 0, len(centers))
	for _, service := range slices.Sorted(maps.Keys(centers)) {
		s := ServiceFlows{Service: service}
		for _, name := range slices.Sorted(maps.Keys(centers[service])) {
			s.Centers = append(s.Centers, *centers[service][name])
		}
		for p, rate := range rates[service] {
			s.Flows = append(s.Flows, Flow{From: p.from, To: p.to, Rate: rate})
		}
		slices.SortFunc(s.Flows, func(a, b Flow) int {
			return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
		})
		list = append(list, s)
	}
	return list
}

// getFlows returns the room and demand of each service by data centre, and the flows between
// them, as known to the leader.
func (s *Server) getFlows(w http.ResponseWriter, r *http.Request) {
	nodes, err := s.nodeFlows(r.Context())
	if err != nil {
		writeUnavailable(w, err)
		return
	}
	writeJSON(w, http.StatusOK, sumFlows(nodes))
}

func (s *Server) nodeFlows(ctx context.Context) ([]proto.NodeFlows, error) {
	if s.isLeader() {
		return s.flowBoard.list(), nil
	}
	addr := s.leaderAddr()
	if addr == "" {
		return nil, ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, _rpcTimeout)
	defer cancel()
	reply, err := s.client.CallWith(ctx, addr, proto.ListFlows{}, wire.CallOptions{MaxReply: _maxLongReply})
	if err != nil {
		return nil, errors.Errorf("list flows: %w", err)
	}
	flows, _ := reply.(proto.ListFlowsReply)
	return flows.Nodes, nil
}
