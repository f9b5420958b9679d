package origin

const (
	// _minRequests is how many requests of a route are needed to classify it. With a
	// third of the hosts in the largest service, one in 1.6 million external routes
	// would be classified as internal by chance.
	_minRequests = 13
	// _maxRoutes limits the number of routes in a model. The largest planned
	// deployment has 48,000, of which one host sees few.
	_maxRoutes = 4096
)

// Msg is a message to the model.
type Msg interface{ originMsg() }

// RequestMsg reports a request.
type RequestMsg struct {
	Route string
	// Origin is the service of the host on which the request entered, if known.
	Origin string
}

func (RequestMsg) originMsg() {}

// Model holds the routes observed by one process. The zero value is empty and ready
// to use. It is not safe for concurrent use.
type Model struct {
	routes map[string]routeOrigin
}

// routeOrigin describes the origins of the requests on a route.
type routeOrigin struct {
	service  string // of the first request
	multiple bool   // whether other services followed
	requests int
}

// Update returns the model after a message.
func (m Model) Update(msg Msg) Model {
	if request, ok := msg.(RequestMsg); ok {
		return m.observe(request)
	}
	return m
}

func (m Model) observe(msg RequestMsg) Model {
	if msg.Route == "" || msg.Origin == "" {
		return m
	}
	known, ok := m.routes[msg.Route]
	if !ok && len(m.routes) >= _maxRoutes {
		return m
	}
	if m.routes == nil {
		m.routes = map[string]routeOrigin{}
	}
	if !ok {
		known.service = msg.Origin
	}
	known.multiple = known.multiple || known.service != msg.Origin
	known.requests++
	m.routes[msg.Route] = known
	return m
}

// IsInternal reports whether a route appears to be called by backend servers only.
func (m Model) IsInternal(route string) bool {
	known := m.routes[route]
	return !known.multiple && known.requests >= _minRequests
}
