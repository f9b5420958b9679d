package route

import (
	"fmt"
	"strings"
	"time"

	"github.com/damaskpitch/damaskpitch/plan"
	"github.com/damaskpitch/damaskpitch/spec"
)

// Match is the route of a request and its service.
type Match struct {
	Service *spec.Service
	Route   *spec.Route
	// Plan is the route's entry in the fleet's plan, or nil for a route declared by
	// a service.
	Plan *plan.Route
}

// Timeout returns the longest time that a caller waits for a response.
func (m Match) Timeout() time.Duration {
	if m.Plan != nil {
		return m.Plan.Timeout.Std()
	}
	return m.Service.Timeout.Std()
}

// Attempts returns the maximum number of instances that may get a request, or 0
// for the default.
func (m Match) Attempts() int {
	if m.Plan != nil {
		return m.Plan.Attempts
	}
	return 0
}

// Target returns the time within which a response has its full value, or 0 if the
// route sets none.
func (m Match) Target() time.Duration {
	if m.Plan != nil {
		return m.Plan.Target.Std()
	}
	return 0
}

// Priority returns the route's priority; 0 is the highest.
func (m Match) Priority() int {
	if m.Plan != nil {
		return m.Plan.Priority
	}
	return 0
}

// Table finds the route of a request: of its host, the one with the longest prefix
// that allows its method, or else one for all hosts. Paths are compared as they were
// sent, without decoding: an encoded slash separates nothing.
type Table struct {
	hosts map[string]*pathNode // by lower-case host name, "" for all hosts
	// literal compares prefixes byte by byte. Otherwise prefixes are whole segments, and
	// empty segments are ignored.
	literal bool
	// tails are the routes whose literal prefix ends within a segment below a node. They
	// are rare, and the tree has a node for each route.
	tails map[*pathNode][]tail
}

// pathNode is a node of a prefix tree of path segments.
type pathNode struct {
	children map[string]*pathNode
	methods  []Match
}

// tail is the last part of a literal prefix that does not end with a slash.
type tail struct {
	text  string
	match Match
}

// NewTable returns the table of the given services' routes.
func NewTable(services []spec.Service) *Table {
	t := &Table{hosts: map[string]*pathNode{}}
	for i := range services {
		for j := range services[i].Routes {
			t.add(Match{Service: &services[i], Route: &services[i].Routes[j]})
		}
	}
	return t
}

// NewPlanTable returns the table of a plan's routes. Its prefixes are literal, and its
// matches have no service: that is selected at random for each request.
func NewPlanTable(routes []plan.Route) *Table {
	t := &Table{hosts: map[string]*pathNode{}, literal: true}
	for i := range routes {
		r := &routes[i]
		t.add(Match{Plan: r, Route: &spec.Route{Host: r.Host, Path: r.Path, Once: r.Kind.Once()}})
	}
	return t
}

// Find returns the match of a request, or false if there is none.
func (t *Table) Find(host, method, path string) (Match, bool) {
	if m, ok := t.find(t.hosts[hostname(host)], method, path); ok {
		return m, true
	}
	return t.find(t.hosts[""], method, path)
}

func (t *Table) find(p *pathNode, method, path string) (Match, bool) {
	if t.literal {
		return t.findLiteral(p, method, path)
	}
	return find(p, method, path)
}

func (t *Table) add(m Match) {
	host := strings.ToLower(m.Route.Host)
	p := t.hosts[host]
	if p == nil {
		p = &pathNode{}
		t.hosts[host] = p
	}
	if t.literal {
		t.addLiteral(p, m)
		return
	}
	rest := escapeUnsendable(m.Route.Path)
	for {
		segment, more := cutSegment(&rest)
		if !more {
			break
		}
		p = p.child(segment)
	}
	p.methods = append(p.methods, m)
}

func (p *pathNode) child(segment string) *pathNode {
	if p.children == nil {
		p.children = map[string]*pathNode{}
	}
	n := p.children[segment]
	if n == nil {
		n = &pathNode{}
		p.children[segment] = n
	}
	return n
}

// addLiteral adds a route whose path begins with a slash below the node.
func (t *Table) addLiteral(p *pathNode, m Match) {
	rest := strings.TrimPrefix(m.Route.Path, "/")
	for {
		segment, after, more := strings.Cut(rest, "/")
		if !more {
			break
		}
		p, rest = p.child(segment), after
	}
	if rest == "" {
		p.methods = append(p.methods, m)
		return
	}
	if t.tails == nil {
		t.tails = map[*pathNode][]tail{}
	}
	t.tails[p] = append(t.tails[p], tail{text: rest, match: m})
}

// findLiteral returns the route with the longest prefix that begins the path.
func (t *Table) findLiteral(p *pathNode, method, path string) (Match, bool) {
	var best Match
	rest, ok := strings.CutPrefix(path, "/")
	for ok && p != nil {
		if m, ok := p.match(method); ok {
			best = m
		}
		if m, ok := longestTail(t.tails[p], rest); ok {
			best = m
		}
		var segment string
		segment, rest, ok = strings.Cut(rest, "/")
		p = p.children[segment]
	}
	return best, best.Route != nil
}

// longestTail returns the first route with the longest tail that begins the rest of a path.
func longestTail(tails []tail, rest string) (Match, bool) {
	var best tail
	for _, t := range tails {
		if len(t.text) > len(best.text) && strings.HasPrefix(rest, t.text) {
			best = t
		}
	}
	return best.match, best.match.Route != nil
}

func find(p *pathNode, method, path string) (Match, bool) {
	var best Match
	for p != nil {
		if m, ok := p.match(method); ok {
			best = m
		}
		segment, more := cutSegment(&path)
		if !more {
			break
		}
		p = p.children[segment]
	}
	return best, best.Route != nil
}

// match returns the route for a method, else the first one for all methods.
func (p *pathNode) match(method string) (Match, bool) {
	var fallback Match
	for _, m := range p.methods {
		if m.Route.Method == method {
			return m, true
		}
		if m.Route.Method == "" && fallback.Route == nil {
			fallback = m
		}
	}
	return fallback, fallback.Route != nil
}

// escapeUnsendable encodes the bytes of a path that no request can carry as they are.
func escapeUnsendable(path string) string {
	if !strings.ContainsFunc(path, isUnsendable) {
		return path
	}
	var b strings.Builder
	for i := range len(path) {
		if isUnsendable(rune(path[i])) {
			fmt.Fprintf(&b, "%%%02X", path[i])
			continue
		}
		b.WriteByte(path[i])
	}
	return b.String()
}

func isUnsendable(c rune) bool {
	return c <= ' ' || c >= 0x7f
}

// cutSegment removes the next non-empty segment from a path and returns it.
func cutSegment(path *string) (string, bool) {
	rest := strings.TrimLeft(*path, "/")
	if rest == "" {
		return "", false
	}
	segment, after, _ := strings.Cut(rest, "/")
	*path = after
	return segment, true
}

func hostname(host string) string {
	// A colon inside the brackets of an IPv6 address does not precede a port.
	if i := strings.LastIndexByte(host, ':'); i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	return strings.ToLower(host)
}
