package meter

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestScrape checks that the handler exports counters and histograms.
func TestScrape(t *testing.T) {
	m := New("test")
	m.Scope.Counter("writes").Inc(3)
	m.Scope.Histogram("answer_seconds", LatencyBuckets()).RecordDuration(5 * time.Millisecond)
	time.Sleep(2 * _reportInterval)
	w := httptest.NewRecorder()
	m.Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"damaskpitch_test_writes 3",
		`damaskpitch_test_answer_seconds_bucket{le="0.004"} 0`,
		`damaskpitch_test_answer_seconds_bucket{le="0.008"} 1`,
		"damaskpitch_test_answer_seconds_count 1",
	} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("%q is not in:\n%s", want, w.Body.String())
		}
	}
}
