package route

import "time"

// Latencies holds the smoothed latencies of successful responses by route. Routes of
// a service may differ far more in their work than its instances do in speed.
type Latencies map[string]time.Duration

// Record adds the latency of a successful response.
func (l Latencies) Record(route string, latency time.Duration) {
	latency = max(latency, 1)
	average := l[route]
	if average == 0 {
		average = latency
	}
	l[route] = smooth(average, latency)
}

// Typical returns the smoothed latency of a route, or 0 if it has no responses yet.
func (l Latencies) Typical(route string) time.Duration {
	return l[route]
}
