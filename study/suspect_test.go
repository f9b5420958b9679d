package study

import (
	"fmt"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/poison"
)

// fixedBan is the policy that package poison had before: two crashes ban a request for ten
// minutes, unless it has completed at the node of the crashed instance before.
type fixedBan struct {
	crashes  map[string]bool
	bannedAt time.Duration
	banned   bool
}

func (p *fixedBan) verdict(at time.Duration) poison.Verdict {
	if p.banned && at >= p.bannedAt {
		return poison.Refused
	}
	return poison.Allowed
}

func (p *fixedBan) crashed(life string, at time.Duration) {
	p.crashes[life] = true
	if len(p.crashes) == 2 {
		p.banned, p.bannedAt = true, at+_viewDelay
	}
}

func (p *fixedBan) completed(time.Duration) {}

// TestSuspects counts, for requests that were there when instances crashed for another
// reason, how many are refused for good, and for deadly ones how many instances they crash
// and how often they are tried again late. The bounds are those of the users' rules.
func TestSuspects(t *testing.T) {
	const (
		seeds    = 5
		length   = 60 * time.Second
		retries  = 3
		denied   = 5
		perMille = 2
	)
	for _, instances := range []int{8, 14, 52} {
		for _, rate := range []float64{0.5, 5, 30, 300} {
			for _, share := range []float64{0, 0.15, 0.3} {
				deadly := share == 0
				c := SuspectCase{
					Instances: instances, Rate: rate, RunTime: 700 * time.Millisecond, CrashShare: share,
					CrashAt: 650 * time.Millisecond, Restart: 4500 * time.Millisecond, Deadly: deadly, Length: length,
				}
				var before, after SuspectResult
				for seed := range uint64(seeds) {
					b := playSuspect(c, &fixedBan{crashes: map[string]bool{}}, seed)
					a := PlaySuspect(c, seed)
					before.add(b)
					after.add(a)
					total := a.Served + a.Deferred + a.Refused + a.Lost
					if !deadly && a.Refused > denied+total*perMille/1000 {
						t.Errorf("%+v, seed %d: %+v", c, seed, a)
					}
					if deadly && a.LateRetries > retries {
						t.Errorf("%+v, seed %d: %+v", c, seed, a)
					}
				}
				kind := fmt.Sprintf("%.0f %% crash", 100*share)
				if deadly {
					kind = "deadly"
				}
				t.Logf("| %d | %v | %s | %s | %s |", instances, rate, kind, before.row(seeds), after.row(seeds))
			}
		}
	}
}

func (r *SuspectResult) add(other SuspectResult) {
	r.Served += other.Served
	r.Deferred += other.Deferred
	r.Refused += other.Refused
	r.Lost += other.Lost
	r.Crashes += other.Crashes
	r.LateRetries += other.LateRetries
}

// row returns the means of n plays.
func (r *SuspectResult) row(n int) string {
	mean := func(sum int) string { return fmt.Sprintf("%.1f", float64(sum)/float64(n)) }
	return fmt.Sprintf("%s served, %s deferred, %s refused, %s crashes", mean(r.Served), mean(r.Deferred), mean(r.Refused), mean(r.Crashes))
}
