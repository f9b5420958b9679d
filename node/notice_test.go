package node

import (
	"net/http"
	"testing"
)

// TestParseNotice guards against limits that are no numbers, and against one that would
// keep an instance from ever telling that its limit has ended.
func TestParseNotice(t *testing.T) {
	names := Headers{}.withDefaults()
	tests := []struct {
		name    string
		rate    string
		leaving string
		want    notice
		ok      bool
	}{
		{"no notice", "", "", notice{}, true},
		{"a limit", "2.2", "", notice{maxRate: 2.2}, true},
		{"a limit and leaving", "1", "1", notice{maxRate: 1, leaving: true}, true},
		{"leaving, another value", "", "0", notice{}, true},
		{"no requests at all", "0", "", notice{maxRate: _minRate}, true},
		{"negative", "-1", "", notice{}, false},
		{"no number", "NaN", "", notice{}, false},
		{"infinite", "Inf", "", notice{}, false},
		{"too large", "1e999", "", notice{}, false},
		{"text", "few", "", notice{}, false},
		{"text and leaving", "few", "1", notice{leaving: true}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			header := http.Header{}
			header.Set(names.MaxRate, test.rate)
			header.Set(names.Leaving, test.leaving)
			if got, ok := names.parseNotice(header); got != test.want || ok != test.ok {
				t.Errorf("%+v, %t, want %+v, %t", got, ok, test.want, test.ok)
			}
		})
	}
}
