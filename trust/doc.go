// Package trust is a circuit breaker for one instance. After a failure, the instance
// gets only requests that can be retried elsewhere, one at a time, as probes. Other
// requests stay away until enough probes have succeeded.
//
//	m = m.Update(trust.ResultMsg{At: now, Failed: true})
//	ok := m.Admits(trust.Request{At: now, Once: true})
//
// The breaker reacts faster than an ejection and needs no arbiter. It is advisory:
// the caller must use a suspected instance if there is no other, so that no capacity
// is lost. A Model lasts as long as its instance.
package trust
