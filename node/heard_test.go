package node

import (
	"net/http"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/retry"
	"github.com/damaskpitch/damaskpitch/route"
	"github.com/damaskpitch/damaskpitch/view"
)

// TestHeardNotices guards against a notice that is forgotten when the instance's owner
// restarts, and against one that outlives the instance or its limit.
func TestHeardNotices(t *testing.T) {
	instance := route.Candidate{Key: view.Key{Node: "n1", ID: "i1"}, Epoch: 3, Born: 7}
	restartedOwner, startedAgain := instance, instance
	restartedOwner.Epoch, startedAgain.Epoch, startedAgain.Born = 4, 4, 8
	other := route.Candidate{Key: view.Key{Node: "n1", ID: "i2"}, Born: 7}
	leaving, limited, both := notice{leaving: true}, notice{maxRate: 2}, notice{leaving: true, maxRate: 2}
	tests := []struct {
		name  string
		heard []notice
		at    route.Candidate
		want  notice
	}{
		{"nothing", nil, instance, notice{}},
		{"leaving", []notice{leaving}, instance, leaving},
		{"leaving, at a restarted owner", []notice{leaving}, restartedOwner, leaving},
		{"leaving, started again", []notice{leaving}, startedAgain, notice{}},
		{"leaving, another instance", []notice{leaving}, other, notice{}},
		{"leaving is not taken back", []notice{both, {}}, instance, leaving},
		{"limited, at a restarted owner", []notice{limited}, restartedOwner, limited},
		{"limited, started again", []notice{limited}, startedAgain, notice{}},
		{"limited until it says no more", []notice{limited, {}}, instance, notice{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var h heardNotices
			for n, heard := range test.heard {
				h = h.with(instance, heard, time.Duration(n)*time.Second)
			}
			if got := h.of(test.at); got != test.want {
				t.Errorf("%+v, want %+v", got, test.want)
			}
			if got := h.exclude([]route.Candidate{test.at})[0].Excluded; got != test.want.leaving {
				t.Errorf("excluded: %t", got)
			}
		})
	}
	var h heardNotices
	h = h.with(instance, leaving, 0)
	if h = h.with(other, limited, _heardMemory); len(h) != 1 {
		t.Errorf("%d notices are remembered, want 1", len(h))
	}
}

// TestNoticeIsHeardFromInstanceOnly guards against an owner's refusal, which carries no
// notice, that takes back what the instance has said.
func TestNoticeIsHeardFromInstanceOnly(t *testing.T) {
	instance := route.Candidate{Key: view.Key{Node: "n1", ID: "i1"}, Born: 7}
	names := Headers{}.withDefaults()
	e := &exchange{
		server:  &Server{start: time.Now(), headers: names},
		service: &service{loads: route.NewLoadTracker(), pool: route.Pool{Candidates: []route.Candidate{instance}}},
	}
	hear := func(execution retry.Execution, rate string) float64 {
		header := http.Header{}
		header.Set(_headerExecution, string(execution))
		header.Set(names.MaxRate, rate)
		e.recordNotice(&attemptResult{execution: execution, choice: route.Choice{Candidate: instance}, response: &http.Response{Header: header}})
		return e.service.heard.of(instance).maxRate
	}
	steps := []struct {
		name      string
		execution retry.Execution
		rate      string
		want      float64
	}{
		{"named", retry.Executed, "2", 2},
		{"the owner refuses", retry.NotExecuted, "", 2},
		{"no number", retry.Executed, "few", 2},
		{"no longer named", retry.Executed, "", 0},
	}
	for _, step := range steps {
		if got := hear(step.execution, step.rate); got != step.want {
			t.Errorf("%s: %v a second, want %v", step.name, got, step.want)
		}
	}
}
