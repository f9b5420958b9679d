package ctrl

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/plan"
	"github.com/damaskpitch/damaskpitch/proto"
	"github.com/damaskpitch/damaskpitch/quota"
	"github.com/damaskpitch/damaskpitch/store"
	"github.com/damaskpitch/damaskpitch/wire"
)

// _maxReadAge is how long ago the linearizable read may have begun that a grant follows.
const _maxReadAge = time.Second

// quotas divides the caps of customers among the nodes while this host leads the fleet
// group. It begins anew with each term.
type quotas struct {
	server *Server
	start  time.Time

	mu      sync.Mutex
	leading bool
	term    uint64
	began   time.Duration
	home    quota.Home
	version uint64 // of the plan that home has the limits of
	nodes   int

	received     receivedStandings // of another host that led
	standingsDue chan struct{}     // has an element while standings must be sent
}

func newQuotas(s *Server) *quotas {
	return &quotas{server: s, start: time.Now(), standingsDue: make(chan struct{}, 1)}
}

// reset discards all state, unless this host leads in the same term as before.
func (q *quotas) reset() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.beginLocked()
}

// beginLocked begins a new home if this host leads in another term than before. It returns
// false if it does not lead.
func (q *quotas) beginLocked() bool {
	status := q.server.replica.Status()
	if status.Leader != q.server.disk.ID() {
		q.leading, q.home = false, quota.Home{}
		return false
	}
	if !q.leading || q.term != status.Term {
		q.leading, q.term, q.began = true, status.Term, time.Since(q.start)
		q.home = q.newHomeLocked(q.term, q.began)
		q.version, q.nodes = 0, 0
	}
	return true
}

// maintain forgets what is out of date.
func (q *quotas) maintain() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.beginLocked() {
		q.home.Expire(time.Since(q.start))
	}
}

// setLimitsLocked takes over the limits of a plan.
func (q *quotas) setLimitsLocked(version uint64, customers []plan.Customer, nodes int) {
	if q.version == version && q.nodes == nodes {
		return
	}
	q.version, q.nodes = version, nodes
	limits := make(map[string]quota.Limit, len(customers))
	for _, c := range customers {
		if c.Rate > 0 {
			limits[c.Name] = quota.Limit{Rate: c.Rate, Burst: c.Burst}
		}
	}
	q.home.SetLimits(time.Since(q.start), limits, nodes)
}

// report processes a node's report. The reply follows a linearizable read, so it has the
// version of each plan that was accepted before the report was sent, and no host that has
// lost its leadership grants anything.
func (s *Server) report(ctx context.Context, msg proto.Report) (proto.ReportReply, error) {
	if !s.isLeader() {
		return proto.ReportReply{Leader: s.leaderAddr()}, nil
	}
	started := bootTime()
	err := s.reads.await(ctx)
	if errors.Is(err, ErrNotLeader) {
		return proto.ReportReply{Leader: s.leaderAddr()}, nil
	}
	if err != nil {
		return proto.ReportReply{}, errors.Errorf("confirm the state: %w", err)
	}
	if bootTime()-started > _maxReadAge {
		// The host may have stood still and lost its leadership since the read.
		return proto.ReportReply{}, ErrUnavailable
	}
	var p plan.Plan
	nodes := 0
	s.replica.Read(func(m store.Model) { p, nodes = m.View().Plan, m.View().MemberCount() })
	return s.quotas.report(msg, p, nodes), nil
}

func (q *quotas) report(msg proto.Report, p plan.Plan, nodes int) proto.ReportReply {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.beginLocked() {
		return proto.ReportReply{Leader: q.server.leaderAddr()}
	}
	if p.Version >= q.version {
		q.setLimitsLocked(p.Version, p.Customers, nodes)
	}
	answer := q.home.Report(time.Since(q.start), quota.Report{Node: msg.Node, Epoch: msg.Epoch, Seq: msg.Seq, Needs: msg.Needs})
	if q.home.StandingsDue() {
		select {
		case q.standingsDue <- struct{}{}:
		default:
		}
	}
	return proto.ReportReply{
		FromLeader: true, Leader: q.server.cfg.Settings.Peer, Version: p.Version,
		Term: answer.Term, WaitLeft: answer.WaitLeft, Grants: answer.Grants,
		Tight: answer.Tight, AllTight: answer.AllTight, Ignored: answer.Ignored,
	}
}

// usages returns the use that customers have made of their caps.
func (q *quotas) usages() proto.ListUsagesReply {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.beginLocked() {
		return proto.ListUsagesReply{}
	}
	at := time.Since(q.start)
	return proto.ListUsagesReply{Since: at - q.began, Usages: q.home.Usages(at)}
}

// CustomerStatus is a customer in the response of GET /v1/customers. It never has a key.
type CustomerStatus struct {
	quota.Usage
	Priority *int `json:"priority,omitempty"`
}

// CustomersStatus is the response of GET /v1/customers. Since is for how long, in seconds,
// the leader has counted.
type CustomersStatus struct {
	Version   uint64           `json:"version"`
	Since     float64          `json:"since"`
	Customers []CustomerStatus `json:"customers"`
}

// listCustomers returns the customers of the plan with their caps and the use of these.
func (s *Server) listCustomers(w http.ResponseWriter, r *http.Request) {
	if !s.ensureCurrent(w, r) {
		return
	}
	counted, err := s.customerUsages(r.Context())
	if err != nil {
		writeUnavailable(w, err)
		return
	}
	usages := make(map[string]quota.Usage, len(counted.Usages))
	for _, u := range counted.Usages {
		usages[u.Name] = u
	}
	var p plan.Plan
	s.replica.Read(func(m store.Model) { p = m.View().Plan })
	out := CustomersStatus{Version: p.Version, Since: counted.Since.Seconds(), Customers: []CustomerStatus{}}
	for _, c := range p.Customers {
		status := CustomerStatus{Usage: usages[c.Name], Priority: c.Priority}
		status.Name, status.Rate, status.Burst = c.Name, c.Rate, c.Burst
		out.Customers = append(out.Customers, status)
	}
	writeJSON(w, http.StatusOK, out)
}

// customerUsages returns what the leader has counted.
func (s *Server) customerUsages(ctx context.Context) (proto.ListUsagesReply, error) {
	if s.isLeader() {
		return s.quotas.usages(), nil
	}
	addr := s.leaderAddr()
	if addr == "" {
		return proto.ListUsagesReply{}, ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, _rpcTimeout)
	defer cancel()
	reply, err := s.client.CallWith(ctx, addr, proto.ListUsages{}, wire.CallOptions{MaxReply: _maxLongReply})
	if err != nil {
		return proto.ListUsagesReply{}, errors.Errorf("list usages: %w", err)
	}
	usages, _ := reply.(proto.ListUsagesReply)
	return usages, nil
}
