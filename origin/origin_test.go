package origin

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestIsInternal checks that a route is internal if enough of its requests come from
// hosts of one service and none from another.
func TestIsInternal(t *testing.T) {
	var m Model
	for range _minRequests - 1 {
		m = m.Update(RequestMsg{Route: "levy", Origin: "lookup"})
	}
	if m.IsInternal("levy") {
		t.Error("a route is internal after too few requests")
	}
	m = m.Update(RequestMsg{Route: "levy", Origin: "lookup"})
	if !m.IsInternal("levy") || m.IsInternal("issue") || m.IsInternal("") {
		t.Error("a route called by one service is not internal, or an unknown one is")
	}
	m = m.Update(RequestMsg{Route: "levy"})
	if !m.IsInternal("levy") {
		t.Error("a request of unknown origin counts as another service")
	}
	if m = m.Update(RequestMsg{Route: "levy", Origin: "issue"}); m.IsInternal("levy") {
		t.Error("a route called by two services is internal")
	}
}

// TestExternalRoutesAreNotInternal checks that none of 3,000 external routes on hosts of
// three services is classified as internal, and that the number of routes is limited.
func TestExternalRoutesAreNotInternal(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var m Model
	wrong := 0
	for n := range 3000 {
		route := fmt.Sprint(n)
		for range 100 {
			m = m.Update(RequestMsg{Route: route, Origin: []string{"a", "b", "c"}[rng.IntN(3)]})
		}
		if m.IsInternal(route) {
			wrong++
		}
	}
	if wrong > 0 {
		t.Errorf("%d external routes are internal", wrong)
	}
	for n := range 2 * _maxRoutes {
		m = m.Update(RequestMsg{Route: fmt.Sprint("many", n), Origin: "a"})
	}
	if len(m.routes) > _maxRoutes {
		t.Errorf("the model holds %d routes", len(m.routes))
	}
}
