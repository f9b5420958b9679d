package detect

import "time"

// Msg is a message to the detector; At is the time since the process started.
type Msg interface{ detectMsg() }

// ResultMsg reports a finished request: its latency at the instance and whether it
// failed.
type ResultMsg struct {
	At      time.Duration
	Latency time.Duration
	Failed  bool
	// Median is the usual time for requests of the same kind, 0 for the service's
	// median.
	Median time.Duration
}

// CancelMsg reports a request whose caller gave up after it had run for a time.
type CancelMsg struct {
	At      time.Duration
	Elapsed time.Duration
	// Median is as in ResultMsg.
	Median time.Duration
}

// StallMsg reports that a running request has exceeded the stall timeout once more.
type StallMsg struct{ At time.Duration }

// BodyTimeMsg reports a response that is long enough to measure the transfer of
// its body.
type BodyTimeMsg struct {
	At time.Duration
	// PerMiB is the transfer time of 1 MiB.
	PerMiB time.Duration
}

// StatsMsg carries statistics of the whole service from an ingress.
type StatsMsg struct {
	At time.Duration
	// Median is the service's median time of a request.
	Median time.Duration
	// BodyTimePerMiB is the service's median transfer time of 1 MiB of a response
	// body, or 0 if unknown.
	BodyTimePerMiB time.Duration
	// FailingShare is the share of instances whose last attempt failed.
	FailingShare float64
}

// GrantMsg reports that the arbiter granted the ejection.
type GrantMsg struct{ At time.Duration }

// DenyMsg reports that the arbiter did not grant the ejection; RetrySoon says that it
// wants the request repeated soon.
type DenyMsg struct {
	At        time.Duration
	RetrySoon bool
}

// RestoredMsg reports that the arbiter ended the ejection early, since the service has
// too few other healthy instances.
type RestoredMsg struct{ At time.Duration }

// ClockMsg advances the clock.
type ClockMsg struct{ At time.Duration }

func (ResultMsg) detectMsg()   {}
func (CancelMsg) detectMsg()   {}
func (StallMsg) detectMsg()    {}
func (BodyTimeMsg) detectMsg() {}
func (StatsMsg) detectMsg()    {}
func (GrantMsg) detectMsg()    {}
func (DenyMsg) detectMsg()     {}
func (RestoredMsg) detectMsg() {}
func (ClockMsg) detectMsg()    {}

// Cmd is a decision of the detector.
type Cmd interface{ detectCmd() }

// EjectCmd requests an ejection for a duration.
type EjectCmd struct {
	Duration time.Duration
	Reason   Reason
}

// RestoreCmd ends the ejection: the instance gets real requests again.
type RestoreCmd struct{}

func (EjectCmd) detectCmd()   {}
func (RestoreCmd) detectCmd() {}
