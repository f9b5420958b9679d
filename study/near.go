package study

import (
	"time"

	"github.com/damaskpitch/damaskpitch/judge"
	"github.com/damaskpitch/damaskpitch/route"
	"github.com/damaskpitch/damaskpitch/view"
)

// ingressState is what an ingress knows about the instances in its data centre.
type ingressState struct {
	pool route.Pool
	book *route.Book
}

func newIngress() *ingressState {
	return &ingressState{book: route.NewBook()}
}

func (s *ingressState) add(id string) {
	s.pool.Candidates = append(s.pool.Candidates, route.Candidate{Key: view.Key{ID: id}})
	s.pool.Near++
}

// learn records the result of a request to an instance.
func (s *ingressState) learn(id string, msg judge.WorkMsg) {
	s.book.Change(view.Key{ID: id}, func(l *route.Load) {
		l.Failing = msg.Failed
		if !msg.Failed {
			*l = l.WithTook(msg.At, msg.Took)
		}
	})
}

// hint returns the hint that the ingress sends to the owner of an instance.
func (s *ingressState) hint(at time.Duration) judge.HintMsg {
	h := route.HintOf(s.pool, s.book)
	return judge.HintMsg{At: at, Median: h.Median, Failing: h.Failing}
}
