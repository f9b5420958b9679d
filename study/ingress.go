package study

import (
	"time"

	"github.com/damaskpitch/damaskpitch/detect"
	"github.com/damaskpitch/damaskpitch/route"
	"github.com/damaskpitch/damaskpitch/view"
)

// ingressState is what an ingress knows about the instances in its data centre.
type ingressState struct {
	pool  route.Pool
	loads *route.LoadTracker
}

func newIngress() *ingressState {
	return &ingressState{loads: route.NewLoadTracker()}
}

func (s *ingressState) add(id string) {
	s.pool.Candidates = append(s.pool.Candidates, route.Candidate{Key: view.Key{ID: id}})
	s.pool.LocalCount++
}

// observe records the result of a request to an instance.
func (s *ingressState) observe(id string, msg detect.ResultMsg) {
	s.loads.Update(view.Key{ID: id}, func(l *route.Load) {
		l.LastFailed = msg.Failed
		if !msg.Failed {
			*l = l.WithLatency(msg.At, msg.Latency)
		}
	})
}

// hint returns the hint that the ingress sends to the owner of an instance.
func (s *ingressState) hint(at time.Duration) detect.StatsMsg {
	h := route.HintOf(s.pool, s.loads)
	return detect.StatsMsg{At: at, Median: h.Median, FailingShare: h.FailingShare}
}
