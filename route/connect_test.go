package route

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestConnectTimeout checks how long a connect may take after what was seen of a data
// centre.
func TestConnectTimeout(t *testing.T) {
	near := ConnectTimes{}
	for range 20 {
		near = near.WithConnect("mida", time.Millisecond)
	}
	cases := []struct {
		name string
		c    ConnectTimes
		want time.Duration
	}{
		{"unknown", ConnectTimes{}, MaxConnectTimeout},
		{"other data centre", ConnectTimes{}.WithConnect("kilifi", time.Millisecond), MaxConnectTimeout},
		{"timeout of an unknown one", ConnectTimes{}.WithTimeout("mida"), MaxConnectTimeout},
		{"near", near, _minConnectTimeout},
		{"one slow connect", near.WithConnect("mida", 20*time.Millisecond), 160 * time.Millisecond},
		{"another region", ConnectTimes{}.WithConnect("mida", 150*time.Millisecond), MaxConnectTimeout},
	}
	for _, c := range cases {
		if got := c.c.Timeout("mida"); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// TestConnectTimesAdapt checks the pattern that a part of a data centre is cut off: the
// timeout stays short while some connects time out, and grows to its maximum within
// thirty if all do, so that a link that has become slow is not taken for dead for ever.
func TestConnectTimesAdapt(t *testing.T) {
	const maxTimeouts = 30
	rng := rand.New(rand.NewPCG(5, 6))
	c := ConnectTimes{}
	for range 2000 {
		if rng.IntN(5) == 0 {
			c = c.WithTimeout("mida")
		} else {
			c = c.WithConnect("mida", time.Millisecond+time.Duration(rng.IntN(1000))*time.Microsecond)
		}
		if got := c.Timeout("mida"); got > MaxConnectTimeout/3 {
			t.Fatalf("timeout of %v while a fifth of the connects time out", got)
		}
	}
	for n := 1; c.Timeout("mida") < MaxConnectTimeout; n++ {
		if n > maxTimeouts {
			t.Fatalf("timeout of %v after %d timeouts", c.Timeout("mida"), n)
		}
		c = c.WithTimeout("mida")
	}
}
