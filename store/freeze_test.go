package store

import (
	"fmt"
	"reflect"
	"runtime"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/claim"
)

// modelWithClaims returns a model that holds so many claims.
func modelWithClaims(n int) Model {
	m := New(Config{})
	for i := range n {
		applyAll(&m, Claim{Key: fmt.Sprint("k", i), Digest: 1, Holder: "n.1.1", TTL: time.Hour})
	}
	return m
}

// TestSnapshotCostIndependentOfClaims keeps what a snapshot costs the loop that applies entries
// independent of the number of claims: 1.1 million at the planned size would
// hold the loop for longer than an election waits.
func TestSnapshotCostIndependentOfClaims(t *testing.T) {
	allocs := map[int]float64{}
	for _, n := range []int{1000, 100000} {
		m := modelWithClaims(n)
		allocs[n] = testing.AllocsPerRun(10, func() {
			m, _, _ = m.BeginSnapshot()
			m = m.EndSnapshot()
		})
	}
	if allocs[100000] > allocs[1000]+5 {
		t.Errorf("allocations grow with the claims: %v", allocs)
	}
}

// TestApplyDuringSnapshot goes on applying entries while a snapshot is frozen: the
// snapshot holds the state of its index, and what came after is not lost.
func TestApplyDuringSnapshot(t *testing.T) {
	m := modelWithClaims(100)
	want, err := m.Save()
	if err != nil {
		t.Fatal(err)
	}
	m, frozen, ok := m.BeginSnapshot()
	if !ok {
		t.Fatal("not frozen")
	}
	applyAll(&m, Claim{Key: "later", Digest: 1, Holder: "n.1.1", TTL: time.Hour})
	applyAll(&m, CompleteClaim{Key: "k7", Holder: "n.1.1", Outcome: "notrun"})
	if _, _, again := m.BeginSnapshot(); again {
		t.Error("frozen twice")
	}
	got, err := frozen.Encode()
	if err != nil {
		t.Fatal(err)
	}
	m = m.EndSnapshot()
	a, errA := Load(Config{}, want)
	b, errB := Load(Config{}, got)
	if errA != nil || errB != nil || !reflect.DeepEqual(a.claims.Records(), b.claims.Records()) || a.Index() != b.Index() {
		t.Errorf("the snapshot differs from the state at its index: %v, %v", errA, errB)
	}
	if result := applyAll(&m, Claim{Key: "later", Digest: 1, Holder: "other"}); result.(ClaimResult).Granted {
		t.Error("a claim from the time of the snapshot was lost")
	}
	if result := applyAll(&m, Claim{Key: "k7", Digest: 1, Holder: "other", TTL: time.Hour}); !result.(ClaimResult).Granted {
		t.Error("a claim that was given back during the snapshot is held")
	}
}

// BenchmarkBeginSnapshot is what a snapshot costs the loop, at 100,000 claims.
func BenchmarkBeginSnapshot(b *testing.B) {
	m := modelWithClaims(100000)
	for b.Loop() {
		m, _, _ = m.BeginSnapshot()
		m = m.EndSnapshot()
	}
}

// BenchmarkSave is what encoding a snapshot costs, at 100,000 claims.
func BenchmarkSave(b *testing.B) {
	m := modelWithClaims(100000)
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
		m := modelWithClaims(claims)
		for n := range claims {
			answer := claim.Answer{Status: 200, Body: make([]byte, 200)}
			applyAll(&m, CompleteClaim{Key: fmt.Sprint("k", n), Holder: "n.1.1", Outcome: claim.Ran, Answer: answer})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(m)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/claims, "bytes/claim")
}
