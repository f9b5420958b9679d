package study

import (
	"math/rand/v2"
	"slices"
	"strconv"
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

// suspectPlay is the state of one simulation.
type suspectPlay struct {
	SuspectCase
	policy suspectPolicy
	rng    *rand.Rand
	runs   []suspectRun
	backAt []time.Duration // by instance: when it is back after its latest crash
	lives  int             // crashes so far
	third  time.Duration   // time of the third crash that the request caused
	result SuspectResult
}

// playSuspect plays a case under a policy, in steps of a millisecond.
func playSuspect(c SuspectCase, policy suspectPolicy, seed uint64) SuspectResult {
	const step = time.Millisecond
	p := suspectPlay{SuspectCase: c, policy: policy, rng: rand.New(rand.NewPCG(seed, 3)), backAt: make([]time.Duration, c.Instances)}
	sent := 0
	for at := time.Duration(0); at < c.Length; at += step {
		if at == c.CrashAt {
			for instance := range int(c.CrashShare * float64(c.Instances)) {
				p.crash(instance, at)
			}
		}
		p.finishRuns(at)
		if int(at.Seconds()*c.Rate) > sent {
			sent++
			p.send(at)
		}
	}
	return p.result
}

// crash ends an instance and what it runs.
func (p *suspectPlay) crash(instance int, at time.Duration) {
	p.lives++
	p.backAt[instance] = at + p.Restart
	before := len(p.runs)
	p.runs = slices.DeleteFunc(p.runs, func(r suspectRun) bool { return r.instance == instance })
	lost := before - len(p.runs)
	p.result.Lost += lost
	if lost > 0 {
		p.policy.crashed(strconv.Itoa(p.lives), at+_viewDelay)
	}
}

// finishRuns ends the runs whose time has come.
func (p *suspectPlay) finishRuns(at time.Duration) {
	before := len(p.runs)
	p.runs = slices.DeleteFunc(p.runs, func(r suspectRun) bool { return r.endsAt <= at })
	for range before - len(p.runs) {
		p.result.Served++
		p.policy.completed(at + _viewDelay)
	}
}

// send sends the request once.
func (p *suspectPlay) send(at time.Duration) {
	switch p.policy.verdict(at) {
	case poison.Deferred:
		p.result.Deferred++
		return
	case poison.Refused, poison.TrialDue:
		p.result.Refused++
		return
	case poison.Allowed:
	}
	instance := p.chooseInstance(at)
	p.runs = append(p.runs, suspectRun{instance: instance, endsAt: at + p.RunTime})
	if !p.Deadly {
		return
	}
	if p.result.Crashes >= 3 && at > p.third+3*time.Second {
		p.result.LateRetries++
	}
	p.result.Crashes++
	if p.result.Crashes == 3 {
		p.third = at
	}
	p.crash(instance, at)
}

// chooseInstance returns a random instance that is up.
func (p *suspectPlay) chooseInstance(at time.Duration) int {
	first := p.rng.IntN(p.Instances)
	for n := range p.Instances {
		if instance := (first + n) % p.Instances; p.backAt[instance] <= at {
			return instance
		}
	}
	return first
}

// PlaySuspect plays a case under the policy of package poison.
func PlaySuspect(c SuspectCase, seed uint64) SuspectResult {
	return playSuspect(c, &evidencePolicy{model: poison.New(poison.Config{})}, seed)
}
