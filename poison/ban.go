package poison

import "time"

// Verdict is what a node does with a request whose fingerprint is banned.
type Verdict int

const (
	// Allowed requests are served: there is no ban, or it has ended.
	Allowed Verdict = iota
	// Deferred requests are refused for now, while the owners look for completed runs.
	Deferred
	// Refused requests are refused for good.
	Refused
	// TrialDue requests may be served as a trial, if the control hosts grant it.
	TrialDue
)

// Ban is a ban of a fingerprint. Its times count from when a node learns of it.
type Ban struct {
	// Evidence is how long requests are deferred.
	Evidence time.Duration `json:"evidence"`
	// Trial is the time until a trial request.
	Trial time.Duration `json:"trial"`
	// End is the time until a node ends the ban by itself.
	End time.Duration `json:"end"`
	// Lookback is how far back, before a node learned of the ban, a completed run counts.
	Lookback time.Duration `json:"back"`
}

// Verdict returns what a node does that has known the ban for the given time.
func (b Ban) Verdict(age time.Duration) Verdict {
	switch {
	case age >= b.End:
		return Allowed
	case age >= b.Trial:
		return TrialDue
	case age >= b.Evidence:
		return Refused
	}
	return Deferred
}
