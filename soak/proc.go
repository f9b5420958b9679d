package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// _stopTimeout is how long a graceful stop may take: a node finishes requests in
// flight, which takes at most the services' timeout, and rejects callers for 3 s.
const _stopTimeout = 20 * time.Second

// process is one process of the built program.
type process struct {
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

// processSet starts processes and ends them; it signals only those that it
// started.
type processSet struct {
	binary, folder string

	mu      sync.Mutex
	running map[*process]bool
}

func newProcessSet(binary, folder string) *processSet {
	return &processSet{binary: binary, folder: folder, running: map[*process]bool{}}
}

// start runs the program with the settings, and appends its output to NAME.log.
func (s *processSet) start(name, role string, settings any) (*process, error) {
	data, err := yaml.Marshal(settings)
	if err != nil {
		return nil, errors.Errorf("settings of %s: %w", name, err)
	}
	file := filepath.Join(s.folder, name+".yaml")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, errors.Errorf("settings of %s: %w", name, err)
	}
	out, err := os.OpenFile(filepath.Join(s.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Errorf("log of %s: %w", name, err)
	}
	defer func() { _ = out.Close() }()                                                                  // the process has a descriptor of its own
	started := &process{cmd: exec.Command(s.binary, role, "--config", file), done: make(chan struct{})} //nolint:noctx // ended by signals
	started.cmd.Stdout, started.cmd.Stderr = out, out
	if err := started.cmd.Start(); err != nil {
		return nil, errors.Errorf("start %s: %w", name, err)
	}
	s.mu.Lock()
	s.running[started] = true
	s.mu.Unlock()
	go func() {
		_ = started.cmd.Wait() // its log shows how it ended
		s.mu.Lock()
		delete(s.running, started)
		s.mu.Unlock()
		close(started.done)
	}()
	return started, nil
}

// signal sends a signal unless the process has ended.
func (p *process) signal(sig syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(sig) // the process may have just ended
	}
}

// kill ends the process with SIGKILL and waits for it.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop sends SIGTERM and reports whether the process exited with success in time;
// if the time runs out it is killed.
func (p *process) stop() bool {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.cmd.ProcessState.Success()
	case <-time.After(_stopTimeout):
		p.kill()
		return false
	}
}

// killAll kills the processes that still run.
func (s *processSet) killAll() {
	s.mu.Lock()
	var remaining []*process
	for started := range s.running {
		remaining = append(remaining, started)
	}
	s.mu.Unlock()
	for _, started := range remaining {
		started.kill()
	}
}
