package claim

import (
	"fmt"
	"maps"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestFreeze holds a model that is frozen now and then to one that never is:
// both decide alike, and what a freeze hands out never changes until its thaw.
func TestFreeze(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Retention: 5 * time.Second}
		plain, cold := New(cfg), New(cfg)
		var handed, copied map[string]Record
		at := time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				var cmds []Cmd
				cold, cmds = cold.Update(FreezeMsg{})
				if len(cmds) == 1 {
					handed = cmds[0].(FrozenCmd).Records
					copied = maps.Clone(handed)
				}
			case 1:
				if !maps.EqualFunc(handed, copied, equalRecords) {
					t.Fatalf("frozen records changed from %v to %v", copied, handed)
				}
				cold, _ = cold.Update(ThawMsg{})
				handed, copied = nil, nil
			default:
				msg := draw(t, at)
				var want, got []Cmd
				plain, want = plain.Update(msg)
				cold, got = cold.Update(msg)
				if !reflect.DeepEqual(want, got) {
					t.Fatalf("%+v came to %+v, frozen to %+v", msg, want, got)
				}
			}
		}
		if !maps.EqualFunc(plain.Records(), cold.Records(), equalRecords) {
			t.Fatalf("records %v, frozen %v", plain.Records(), cold.Records())
		}
	})
}

func equalRecords(a, b Record) bool { return reflect.DeepEqual(a, b) }

func draw(t *rapid.T, at time.Duration) Msg {
	key := fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key"))
	holder := fmt.Sprint("h", rapid.IntRange(0, 1).Draw(t, "holder"))
	if rapid.Bool().Draw(t, "take") {
		return TakeMsg{Key: key, Holder: holder, At: at, TTL: time.Second}
	}
	outcome := rapid.SampledFrom([]Outcome{Ran, NotRun, Unclear}).Draw(t, "outcome")
	return SettleMsg{Key: key, Holder: holder, At: at, Outcome: outcome, Answer: Answer{Status: 200}}
}
