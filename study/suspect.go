package study

import (
	"math/rand/v2"
	"time"

	"github.com/damaskpitch/damaskpitch/poison"
)

// _viewDelay is how long a report takes to the control hosts, and a ban to the nodes.
const _viewDelay = 30 * time.Millisecond

// SuspectCase is a request that comes again and again while instances crash: for a reason
// of their own, or because it is deadly.
type SuspectCase struct {
	// Instances is the number of instances of the service.
	Instances int
	// Rate is how often the request comes, in requests a second.
	Rate float64
	// RunTime is how long an instance takes for the request.
	RunTime time.Duration
	// CrashShare is the share of the instances that crash by themselves, all at CrashAt.
	CrashShare float64
	CrashAt    time.Duration
	// Restart is how long a crashed instance is away.
	Restart time.Duration
	// Deadly requests crash each instance that begins to run them.
	Deadly bool
	// Length is the simulated time.
	Length time.Duration
}

// SuspectResult counts what happened to the requests and the instances.
type SuspectResult struct {
	Served, Deferred, Refused, Lost int
	// Crashes are those that the request caused; LateRetries are its runs later than three
	// seconds after the third of them.
	Crashes, LateRetries int
}

// suspectPolicy decides about a request of which instances crashed while they ran it.
type suspectPolicy interface {
	// verdict returns what a node does with the request; a trial that is due counts as taken.
	verdict(at time.Duration) poison.Verdict
	crashed(life string, at time.Duration)
	completed(at time.Duration)
}

// evidencePolicy is the policy of package poison, with what nodes know of the bans.
type evidencePolicy struct {
	model poison.Model
	known knownBan
	next  *knownBan // on its way to the nodes
}

// knownBan is a ban, or none, and when the nodes learn of it.
type knownBan struct {
	ban     *poison.Ban
	knownAt time.Duration
}

func (p *evidencePolicy) verdict(at time.Duration) poison.Verdict {
	if p.next != nil && at >= p.next.knownAt {
		p.known, p.next = *p.next, nil
	}
	if p.known.ban == nil {
		return poison.Allowed
	}
	verdict := p.known.ban.Verdict(at - p.known.knownAt)
	if verdict != poison.TrialDue {
		return verdict
	}
	for _, cmd := range p.update(poison.TrialMsg{At: at}, at) {
		if _, ok := cmd.(poison.TrialCmd); ok {
			return poison.Allowed
		}
	}
	return poison.Deferred
}

func (p *evidencePolicy) crashed(life string, at time.Duration) {
	p.update(poison.CrashMsg{Life: life, Fingerprints: []uint64{0}, At: at}, at+_viewDelay)
}

func (p *evidencePolicy) completed(at time.Duration) {
	if p.known.ban != nil {
		p.update(poison.CompletedMsg{At: at}, at+_viewDelay)
	}
}

func (p *evidencePolicy) update(msg poison.Msg, at time.Duration) []poison.Cmd {
	var cmds []poison.Cmd
	p.model, cmds = p.model.Update(msg)
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case poison.BanCmd:
			p.next = &knownBan{ban: &cmd.Ban, knownAt: at}
		case poison.UnbanCmd:
			p.next = &knownBan{knownAt: at}
		case poison.TrialCmd:
		}
	}
	return cmds
}

// suspectRun is a run of the request at an instance.
type suspectRun struct {
	instance int
	endsAt   time.Duration
}

// playSuspect plays a case under a policy, in steps of a millisecond.
func playSuspect(c SuspectCase, p suspectPolicy, seed uint64) SuspectResult {
	const step = time.Millisecond
	rng := rand.New(rand.NewPCG(seed, 3))
	var (
		res          SuspectResult
		runs         []suspectRun
		backAt       = make([]time.Duration, c.Instances)
		third        time.Duration
		lives, owing int
	)
	crash := func(instance int, at time.Duration) {
		lives++
		backAt[instance] = at + c.Restart
		inFlight := 0
		kept := runs[:0]
		for _, r := range runs {
			if r.instance == instance {
				inFlight++
				continue
			}
			kept = append(kept, r)
		}
		runs = kept
		res.Lost += inFlight
		if inFlight > 0 {
			p.crashed(string(rune(lives)), at+_viewDelay)
		}
	}
	for at := time.Duration(0); at < c.Length; at += step {
		if at == c.CrashAt {
			for instance := range int(c.CrashShare * float64(c.Instances)) {
				crash(instance, at)
			}
		}
		kept := runs[:0]
		for _, r := range runs {
			if r.endsAt > at {
				kept = append(kept, r)
				continue
			}
			res.Served++
			p.completed(at + _viewDelay)
		}
		runs = kept
		if due := int(at.Seconds() * c.Rate); due <= owing {
			continue
		}
		owing++
		switch p.verdict(at) {
		case poison.Deferred:
			res.Deferred++
			continue
		case poison.Refused, poison.TrialDue:
			res.Refused++
			continue
		case poison.Allowed:
		}
		instance := rng.IntN(c.Instances)
		for range c.Instances {
			if backAt[instance] <= at {
				break
			}
			instance = (instance + 1) % c.Instances
		}
		runs = append(runs, suspectRun{instance: instance, endsAt: at + c.RunTime})
		if !c.Deadly {
			continue
		}
		if res.Crashes >= 3 && at > third+3*time.Second {
			res.LateRetries++
		}
		res.Crashes++
		if res.Crashes == 3 {
			third = at
		}
		crash(instance, at)
	}
	return res
}

// PlaySuspect plays a case under the policy of package poison.
func PlaySuspect(c SuspectCase, seed uint64) SuspectResult {
	return playSuspect(c, &evidencePolicy{model: poison.New(poison.Config{})}, seed)
}
