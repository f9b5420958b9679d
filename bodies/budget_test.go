package bodies

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// apply sends messages and returns the decisions on the last of them.
func apply(b *Budget, msgs ...Msg) []Cmd {
	var cmds []Cmd
	for _, msg := range msgs {
		*b, cmds = b.Update(msg)
	}
	return cmds
}

// TestBudget guards against bodies that exceed the capacity, a large body that keeps small ones
// waiting, and a wait that is longer than the patience.
func TestBudget(t *testing.T) {
	full := []Msg{ArriveMsg{ID: 1, Bytes: 60}, ArriveMsg{ID: 2, Bytes: 40}}
	tests := []struct {
		name string
		msgs []Msg
		want []Cmd
	}{
		{"fits", []Msg{ArriveMsg{ID: 1, Bytes: 100}}, []Cmd{GrantCmd{ID: 1}}},
		{"does not fit", append(full, ArriveMsg{ID: 3, Bytes: 1}), nil},
		{"room again", append(full, ArriveMsg{ID: 3, Bytes: 50}, LeaveMsg{ID: 1}), []Cmd{GrantCmd{ID: 3}}},
		{"smallest first", append(full, ArriveMsg{ID: 3, Bytes: 50}, ArriveMsg{ID: 4, Bytes: 30}, LeaveMsg{ID: 2}), []Cmd{GrantCmd{ID: 4}}},
		{"oldest first", append(full, ArriveMsg{ID: 3, Bytes: 40}, ArriveMsg{ID: 4, Bytes: 40}, LeaveMsg{ID: 2}), []Cmd{GrantCmd{ID: 3}}},
		{"shorter than declared", append(full, ArriveMsg{ID: 3, Bytes: 50}, ShrinkMsg{ID: 1, Bytes: 10}), []Cmd{GrantCmd{ID: 3}}},
		{"no longer than declared", append(full, ArriveMsg{ID: 3, Bytes: 1}, ShrinkMsg{ID: 1, Bytes: 90}), nil},
		{"too many wait", append(full, ArriveMsg{ID: 3, Bytes: 60}, ArriveMsg{ID: 4, Bytes: 60}), []Cmd{RefuseCmd{ID: 4}}},
		{"the largest is refused", append(full, ArriveMsg{ID: 3, Bytes: 80}, ArriveMsg{ID: 4, Bytes: 30}), []Cmd{RefuseCmd{ID: 3}}},
		{"overdue", append(full, ArriveMsg{ID: 3, Bytes: 1}, OverdueMsg{ID: 3, At: time.Second}), []Cmd{RefuseCmd{ID: 3}}},
		{"not yet overdue", append(full, ArriveMsg{ID: 3, Bytes: 1}, OverdueMsg{ID: 3, At: time.Second - 1}), nil},
		{"overdue after it got room", append(full, OverdueMsg{ID: 1, At: time.Minute}), nil},
		{"left while waiting", append(full, ArriveMsg{ID: 3, Bytes: 1}, LeaveMsg{ID: 3}, LeaveMsg{ID: 1}), nil},
		{"more than there is", []Msg{ArriveMsg{ID: 1, Bytes: 101}}, []Cmd{RefuseCmd{ID: 1}}},
	}
	for _, test := range tests {
		b := New(Config{Capacity: 100, Patience: time.Second})
		if got := apply(&b, test.msgs...); !slices.Equal(got, test.want) {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

// TestBudgetInvariants guards against room that is lost or given twice, and against bodies that
// wait beside room for them.
func TestBudgetInvariants(t *testing.T) {
	const capacity = 1000
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 1))
		b := New(Config{Capacity: capacity, Patience: time.Second})
		held, waiting := map[uint64]int64{}, map[uint64]int64{}
		for step := range 300 {
			at := time.Duration(step) * 100 * time.Millisecond
			var id uint64
			var msg Msg
			switch random.IntN(4) {
			case 0, 1:
				id = uint64(1000 + step)
				waiting[id] = 1 + random.Int64N(capacity)
				msg = ArriveMsg{ID: id, Bytes: waiting[id], At: at}
			case 2:
				id = anyOf(held, waiting, random)
				delete(held, id)
				delete(waiting, id)
				msg = LeaveMsg{ID: id}
			case 3:
				id = anyOf(held, waiting, random)
				if _, ok := held[id]; ok && random.IntN(2) == 0 {
					held[id] = random.Int64N(held[id] + 1)
					msg = ShrinkMsg{ID: id, Bytes: held[id]}
					break
				}
				msg = OverdueMsg{ID: id, At: at}
			}
			for _, cmd := range apply(&b, msg) {
				switch cmd := cmd.(type) {
				case GrantCmd:
					held[cmd.ID] = waiting[cmd.ID]
					delete(waiting, cmd.ID)
				case RefuseCmd:
					delete(waiting, cmd.ID)
				}
			}
			var used, queued int64
			smallest := int64(capacity + 1)
			for _, n := range held {
				used += n
			}
			for _, n := range waiting {
				queued, smallest = queued+n, min(smallest, n)
			}
			if b.Used() != used || used > capacity || queued > capacity || b.Waiting() != len(waiting) || used+smallest <= capacity {
				t.Fatalf("seed %d, step %d: used %d, want %d; %d bytes of %d bodies wait, want %d bodies; the smallest has %d",
					seed, step, b.Used(), used, queued, b.Waiting(), len(waiting), smallest)
			}
		}
	}
}

// anyOf returns one of the bodies, or 0.
func anyOf(held, waiting map[uint64]int64, random *rand.Rand) uint64 {
	var ids []uint64
	for id := range held {
		ids = append(ids, id)
	}
	for id := range waiting {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return 0
	}
	slices.Sort(ids)
	return ids[random.IntN(len(ids))]
}

// TestPool guards against a body that waits for room for ever, or keeps room that it left.
func TestPool(t *testing.T) {
	p := NewPool(Config{Capacity: 100, Patience: 20 * time.Millisecond})
	first, err := p.Acquire(t.Context(), 100)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.Acquire(t.Context(), 10); !errors.Is(err, ErrFull) {
		t.Errorf("beside a full pool: %v", err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	if _, err := p.Acquire(ctx, 10); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a caller that leaves: %v", err)
	}
	first.Shrink(40)
	second, err := p.Acquire(t.Context(), 60)
	if err != nil {
		t.Fatal(err)
	}
	first.Release()
	first.Release()
	second.Release()
	if used := p.Used(); used != 0 {
		t.Errorf("%d bytes are used after all have left", used)
	}
	var none *Charge
	none.Shrink(1)
	none.Release()
}
