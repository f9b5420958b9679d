package store

import (
	"fmt"
	"reflect"
	"runtime"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/claim"
)

// claimed returns a model that holds so many claims.
func claimed(n int) Model {
	m := New(Config{})
	for i := range n {
		feed(&m, Claim{Key: fmt.Sprint("k", i), Digest: 1, Holder: "n.1.1", TTL: time.Hour})
	}
	return m
}

// TestFreezeCost keeps what a snapshot costs the loop that applies entries
// independent of the number of claims: 1.1 million at the planned size would
// hold the loop for longer than an election waits.
func TestFreezeCost(t *testing.T) {
	allocs := map[int]float64{}
	for _, n := range []int{1000, 100000} {
		m := claimed(n)
		allocs[n] = testing.AllocsPerRun(10, func() {
			m, _, _ = m.Freeze()
			m = m.Thaw()
		})
	}
	if allocs[100000] > allocs[1000]+5 {
		t.Errorf("allocations grow with the claims: %v", allocs)
	}
}

// TestFreezeWhole goes on applying entries while a snapshot is frozen: the
// snapshot holds the state of its index, and what came after is not lost.
func TestFreezeWhole(t *testing.T) {
	m := claimed(100)
	want, err := m.Save()
	if err != nil {
		t.Fatal(err)
	}
	m, frozen, ok := m.Freeze()
	if !ok {
		t.Fatal("not frozen")
	}
	feed(&m, Claim{Key: "later", Digest: 1, Holder: "n.1.1", TTL: time.Hour})
	feed(&m, Settle{Key: "k7", Holder: "n.1.1", Outcome: "notrun"})
	if _, _, again := m.Freeze(); again {
		t.Error("frozen twice")
	}
	got, err := frozen.Encode()
	if err != nil {
		t.Fatal(err)
	}
	m = m.Thaw()
	a, errA := Load(Config{}, want)
	b, errB := Load(Config{}, got)
	if errA != nil || errB != nil || !reflect.DeepEqual(a.claims.Records(), b.claims.Records()) || a.Index() != b.Index() {
		t.Errorf("the snapshot differs from the state at its index: %v, %v", errA, errB)
	}
	if result := feed(&m, Claim{Key: "later", Digest: 1, Holder: "other"}); result.(Claimed).Granted {
		t.Error("a claim from the time of the snapshot was lost")
	}
	if result := feed(&m, Claim{Key: "k7", Digest: 1, Holder: "other", TTL: time.Hour}); !result.(Claimed).Granted {
		t.Error("a claim that was given back during the snapshot is held")
	}
}

// BenchmarkFreeze is what a snapshot costs the loop, at 100,000 claims.
func BenchmarkFreeze(b *testing.B) {
	m := claimed(100000)
	for b.Loop() {
		m, _, _ = m.Freeze()
		m = m.Thaw()
	}
}

// BenchmarkSave is what encoding a snapshot costs, at 100,000 claims.
func BenchmarkSave(b *testing.B) {
	m := claimed(100000)
	for b.Loop() {
		if _, err := m.Save(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkClaimMemory reports the memory of one settled claim with an answer
// of 200 bytes.
func BenchmarkClaimMemory(b *testing.B) {
	const claims = 100000
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		m := claimed(claims)
		for n := range claims {
			answer := claim.Answer{Status: 200, Body: make([]byte, 200)}
			feed(&m, Settle{Key: fmt.Sprint("k", n), Holder: "n.1.1", Outcome: claim.Ran, Answer: answer})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(m)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/claims, "bytes/claim")
}
