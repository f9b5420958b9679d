package store

import (
	"fmt"
	"reflect"
	"runtime"
	"testing"
	"time"

	"github.com/damaskpitch/damaskpitch/claim"
)

// modelWithClaims returns a model with n running claims.
func modelWithClaims(n int) Model {
	m := New(Config{})
	for i := range n {
		applyAll(&m, Claim{Key: fmt.Sprint("k", i), Digest: 1, Holder: "n.1.1", TTL: time.Hour})
	}
	return m
}

// TestSnapshotCostIndependentOfClaims guards against a snapshot that blocks the
// apply loop for a time that grows with the number of claims: with the 1.1 million
// of the planned size it would block for longer than an election timeout.
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
		t.Errorf("allocations grow with the number of claims: %v", allocs)
	}
}

// TestApplyDuringSnapshot checks that a snapshot holds the state at its index, and
// that entries applied while it is encoded are kept.
func TestApplyDuringSnapshot(t *testing.T) {
	m := modelWithClaims(100)
	want, err := m.Save()
	if err != nil {
		t.Fatal(err)
	}
	m, snapshot, ok := m.BeginSnapshot()
	if !ok {
		t.Fatal("no snapshot was started")
	}
	applyAll(&m, Claim{Key: "later", Digest: 1, Holder: "n.1.1", TTL: time.Hour})
	applyAll(&m, SettleClaim{Key: "k7", Holder: "n.1.1", Outcome: "notrun"})
	if _, _, again := m.BeginSnapshot(); again {
		t.Error("a second snapshot was started before the first one ended")
	}
	got, err := snapshot.Encode()
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
		t.Error("a claim granted during the snapshot was lost")
	}
	if result := applyAll(&m, Claim{Key: "k7", Digest: 1, Holder: "other", TTL: time.Hour}); !result.(ClaimResult).Granted {
		t.Error("a claim released during the snapshot is still held")
	}
}

// BenchmarkBeginSnapshot measures how long starting and ending a snapshot block
// the apply loop, with 100,000 claims.
func BenchmarkBeginSnapshot(b *testing.B) {
	m := modelWithClaims(100000)
	for b.Loop() {
		m, _, _ = m.BeginSnapshot()
		m = m.EndSnapshot()
	}
}

// BenchmarkSave measures encoding a snapshot with 100,000 claims.
func BenchmarkSave(b *testing.B) {
	m := modelWithClaims(100000)
	for b.Loop() {
		if _, err := m.Save(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkClaimMemory reports the memory of one settled claim with an answer of
// 200 bytes.
func BenchmarkClaimMemory(b *testing.B) {
	const claims = 100000
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		m := modelWithClaims(claims)
		for n := range claims {
			answer := claim.Answer{Status: 200, Body: make([]byte, 200)}
			applyAll(&m, SettleClaim{Key: fmt.Sprint("k", n), Holder: "n.1.1", Outcome: claim.Ran, Answer: answer})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(m)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/claims, "bytes/claim")
}
