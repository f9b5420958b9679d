package route

import "time"

// Latencies holds the smoothed latencies of successful answers by route. Routes of
// a service may differ far more in their work than its instances do in speed.
type Latencies map[string]time.Duration

// Record adds the latency of a successful answer.
func (t Latencies) Record(route string, latency time.Duration) {
	latency = max(latency, 1)
	average := t[route]
	if average == 0 {
		average = latency
	}
	t[route] = smooth(average, latency)
}

// Typical returns the smoothed latency of a route, or 0 if it has no answers yet.
func (t Latencies) Typical(route string) time.Duration {
	return t[route]
}
