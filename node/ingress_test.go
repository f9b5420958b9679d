package node

import (
	"io"
	"log/slog"
	"testing"

	"github.com/damaskpitch/damaskpitch/config"
	"github.com/damaskpitch/damaskpitch/route"
	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/view"
)

// BenchmarkLogChoice measures a routing decision that is logged and one that
// sampling leaves out.
func BenchmarkLogChoice(b *testing.B) {
	for name, sample := range map[string]int{"logged": 1, "sampled": 1 << 30} {
		s := New(Config{
			Settings: config.Node{Name: "n1", Center: "mida", Control: []string{"127.0.0.1:1"}, Log: config.Log{Sample: sample}},
			Logger:   slog.New(slog.NewJSONHandler(io.Discard, nil)),
		})
		s.seq.Store(1)
		e := &exchange{server: s, id: "request-1", match: route.Match{Service: &spec.Service{Name: "lookup"}}}
		c := route.Choice{Candidate: route.Candidate{Key: view.Key{Node: "n2", ID: "lookup-3"}, Center: "mida"}, Reason: route.ReasonLocal}
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				e.logChoice(b.Context(), c)
			}
		})
	}
}
