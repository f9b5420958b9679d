package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// _maxEnds is how often processes of a machine may end by themselves, and _minMachines
	// on how many machines, before the rule is broken.
	_maxEnds     = 3
	_minMachines = 2
)

// readMemory returns the resident memory of a process in bytes.
func readMemory(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kib << 10
		}
	}
	return 0
}

// warden is the platform's memory limit: it kills a process that uses more than its machine
// has, and starts it again.
type warden struct {
	fleet *fleet
	stop  chan struct{}
	done  sync.WaitGroup

	mu   sync.Mutex
	ends map[string]int
	peak map[string]int64
}

func startWarden(f *fleet) *warden {
	w := &warden{fleet: f, stop: make(chan struct{}), ends: map[string]int{}, peak: map[string]int64{}}
	w.done.Go(w.run)
	return w
}

func (w *warden) run() {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		for _, p := range w.fleet.all() {
			w.check(p)
		}
	}
}

func (w *warden) check(p *process) {
	used := readMemory(p.cmd.Process.Pid)
	w.mu.Lock()
	w.peak[p.name] = max(w.peak[p.name], used)
	w.mu.Unlock()
	ended := !p.running()
	if !ended && used <= p.memory() {
		return
	}
	w.fleet.record.add("%s uses %d MiB of %d and is killed; it had ended before: %t", p.name, used>>20, p.mebibytes, ended)
	p.signal(syscall.SIGKILL)
	<-p.done
	w.mu.Lock()
	w.ends[p.name]++
	w.mu.Unlock()
	if err := w.fleet.start(p); err != nil {
		w.fleet.record.add("%v", err)
	}
}

// ended returns how often a process has ended by itself, its memory over the limit included.
func (w *warden) ended(p *process) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ends[p.name]
}

// tooOften returns on how many of the machines processes have ended as often as the rule
// allows at no machine.
func (w *warden) tooOften(list []*process) int {
	n := 0
	for _, p := range list {
		if w.ended(p) >= _maxEnds {
			n++
		}
	}
	return n
}

// broken reports whether processes have ended too often on too many machines.
func (w *warden) broken() bool {
	return w.tooOften(w.fleet.sidecars) >= _minMachines || 2*w.tooOften(w.fleet.controls) >= len(w.fleet.controls)
}

// close ends the checks and reports whether the rule is broken.
func (w *warden) close() bool {
	close(w.stop)
	w.done.Wait()
	f := w.fleet
	for _, p := range f.all() {
		f.record.add("%s: ended %d times, peak %d MiB of %d", p.name, w.ends[p.name], w.peak[p.name]>>20, p.mebibytes)
	}
	sidecars, controls := w.tooOften(f.sidecars), w.tooOften(f.controls)
	f.record.add("ended %d times or more: %d of %d sidecars, %d of %d core machines", _maxEnds, sidecars, len(f.sidecars), controls, len(f.controls))
	if !w.broken() {
		return false
	}
	fmt.Fprintln(os.Stderr, "rule broken: processes end by themselves, their memory is over the limit")
	return true
}
