package claim

import (
	"fmt"
	"maps"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSnapshot compares a model that takes snapshots with one that does not. Both
// must return the same commands, and the records of a snapshot must not change
// until it ends.
func TestSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Retention: 5 * time.Second}
		plain, snapshotted := New(cfg), New(cfg)
		var records, copied map[string]Record
		at := time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				var cmds []Cmd
				snapshotted, cmds = snapshotted.Update(BeginSnapshotMsg{})
				if len(cmds) == 1 {
					records = cmds[0].(SnapshotCmd).Records
					copied = maps.Clone(records)
				}
			case 1:
				if !maps.EqualFunc(records, copied, equalRecords) {
					t.Fatalf("records of the snapshot changed from %v to %v", copied, records)
				}
				snapshotted, _ = snapshotted.Update(EndSnapshotMsg{})
				records, copied = nil, nil
			default:
				msg := drawMsg(t, at)
				var want, got []Cmd
				plain, want = plain.Update(msg)
				snapshotted, got = snapshotted.Update(msg)
				if !reflect.DeepEqual(want, got) {
					t.Fatalf("%+v returned %+v without snapshots, %+v with them", msg, want, got)
				}
			}
		}
		if !maps.EqualFunc(plain.Records(), snapshotted.Records(), equalRecords) {
			t.Fatalf("records are %v without snapshots, %v with them", plain.Records(), snapshotted.Records())
		}
	})
}

func equalRecords(a, b Record) bool { return reflect.DeepEqual(a, b) }

func drawMsg(t *rapid.T, at time.Duration) Msg {
	key := fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key"))
	holder := fmt.Sprint("h", rapid.IntRange(0, 1).Draw(t, "holder"))
	if rapid.Bool().Draw(t, "acquire") {
		return AcquireMsg{Key: key, Holder: holder, At: at, TTL: time.Second}
	}
	outcome := rapid.SampledFrom([]Outcome{Ran, NotRun, Unclear}).Draw(t, "outcome")
	return SettleMsg{Key: key, Holder: holder, At: at, Outcome: outcome, Answer: Answer{Status: 200}}
}
