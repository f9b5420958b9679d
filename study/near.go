package study

import (
	"time"

	"github.com/damaskpitch/damaskpitch/judge"
	"github.com/damaskpitch/damaskpitch/route"
	"github.com/damaskpitch/damaskpitch/view"
)

// near is what an ingress knows of the instances in its data centre.
type near struct {
	pool route.Pool
	book *route.LoadTracker
}

func newNear() *near {
	return &near{book: route.NewLoadTracker()}
}

func (n *near) add(id string) {
	n.pool.Candidates = append(n.pool.Candidates, route.Candidate{Key: view.Key{ID: id}})
	n.pool.LocalCount++
}

// learn takes what an answer told of an instance.
func (n *near) learn(id string, msg judge.ResultMsg) {
	n.book.Update(view.Key{ID: id}, func(l *route.Load) {
		l.LastFailed = msg.Failed
		if !msg.Failed {
			*l = l.WithLatency(msg.At, msg.Took)
		}
	})
}

// hint returns what the ingress tells the instances' owner.
func (n *near) hint(at time.Duration) judge.StatsMsg {
	h := route.HintOf(n.pool, n.book)
	return judge.StatsMsg{At: at, Median: h.Median, FailingShare: h.FailureRate}
}
