package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	_controls = 5
	// _coreMemory is the memory of a core machine in the site files, in MB.
	_coreMemory = 280
	// _startTimeout bounds how long the fleet may take until it serves requests.
	_startTimeout = 30 * time.Second
)

var errNotReady = errors.New("not ready")

// fleet is a small deployment of the project's programs: control hosts and sidecars, each with
// a loopback address of its own.
type fleet struct {
	dir      string
	commands map[string][]string // by role
	peerPort int
	apiPort  int
	outPort  int
	readyAt  int
	controls []*process
	sidecars []*process
	record   *record

	instances []*instance
}

// process is one program of the deployment.
type process struct {
	name string
	ip   string
	args []string
	file string // settings
	cmd  *exec.Cmd
	done chan struct{}
	// mebibytes is the machine's memory.
	mebibytes int64
}

// memory returns what the process may use in bytes.
func (p *process) memory() int64 { return p.mebibytes << 20 }

var runLine = regexp.MustCompile(`^run = "(.*)"$`)

// deployCommands returns the commands of the roles in the deploy file.
func deployCommands() (map[string][]string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, fmt.Errorf("read the deploy file: %w", err)
	}
	commands := map[string][]string{}
	role := ""
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if name, ok := strings.CutPrefix(line, "[roles."); ok {
			role = strings.TrimSuffix(name, "]")
		}
		if match := runLine.FindStringSubmatch(line); match != nil {
			commands[role] = strings.Fields(match[1])
		}
	}
	if commands["node"] == nil || commands["control"] == nil {
		return nil, errors.New("the deploy file has no role node or control")
	}
	return commands, nil
}

// freePort returns a port that is free on all loopback addresses at present.
func freePort() (int, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, fmt.Errorf("find a free port: %w", err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// newFleet prepares the settings of a deployment of the sidecars' services.
func newFleet(rec *record, services []string, memory int64) (*fleet, error) {
	commands, err := deployCommands()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("create a folder: %w", err)
	}
	f := &fleet{dir: dir, commands: commands, record: rec}
	for _, port := range []*int{&f.peerPort, &f.apiPort, &f.outPort, &f.readyAt} {
		if *port, err = freePort(); err != nil {
			return nil, err
		}
	}
	for n := range _controls {
		f.controls = append(f.controls, &process{name: fmt.Sprintf("core-%d", n+1), ip: fmt.Sprintf("127.0.1.%d", n+1), args: commands["control"], mebibytes: _coreMemory})
	}
	for n := range services {
		f.sidecars = append(f.sidecars, &process{name: fmt.Sprintf("sidecar-%d", n+1), ip: fmt.Sprintf("127.0.2.%d", n+1), args: commands["node"], mebibytes: memory})
	}
	for n, p := range f.controls {
		if err := f.writeSettings(p, f.controlSettings(n)); err != nil {
			return nil, err
		}
	}
	for n, p := range f.sidecars {
		if err := f.writeSettings(p, f.nodeSettings(n, services[n])); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) writeSettings(p *process, text string) error {
	p.file = filepath.Join(f.dir, p.name+".yaml")
	if err := os.WriteFile(p.file, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}

// seeds returns the list of seed nodes in the form of the templates.
func (f *fleet) seeds() string {
	var list []string
	for _, p := range f.controls[:3] {
		list = append(list, strconv.Quote(fmt.Sprintf("%s:%d", p.ip, f.apiPort)))
	}
	return "[" + strings.Join(list, ",") + "]"
}

// controlSettings returns what the platform makes of deploy/control.yaml for a small
// deployment.
func (f *fleet) controlSettings(n int) string {
	p := f.controls[n]
	return fmt.Sprintf(`name: %s
center: mida
region: coast
data: %s
api: %s:%d
peer: %s:%d
key: one-key-for-the-internal-ports
join: %s
first: true
losses: 2
memory: %dMB
base:
  share: 0.7
  grace: 2000ms
log:
  level: info
`, p.name, filepath.Join(f.dir, p.name), p.ip, f.apiPort, p.ip, f.peerPort, f.seeds(), p.mebibytes)
}

// nodeSettings returns what the platform makes of deploy/node.yaml for a small deployment.
func (f *fleet) nodeSettings(n int, service string) string {
	p := f.sidecars[n]
	return fmt.Sprintf(`name: %s
center: mida
region: coast
caller: %s:%d
peer: %s:%d
local: %s:%d
ready: %s:%d
service: %s
key: one-key-for-the-internal-ports
join: %s
stop: 6s
memory: %dMB
retry:
  ratio: 0.2
  slack: 58
  window: 10s
log:
  level: info
`, p.name, p.ip, f.outPort, p.ip, f.peerPort, p.ip, f.apiPort, p.ip, f.readyAt, service, f.seeds(), p.mebibytes)
}

func (f *fleet) start(p *process) error {
	log, err := os.OpenFile(filepath.Join(f.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open a log: %w", err)
	}
	defer log.Close()
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DAMASKPITCH_BOOT=" + p.file}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// signal sends a signal to a process that was started here.
func (p *process) signal(s os.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (f *fleet) all() []*process {
	return append(append([]*process(nil), f.controls...), f.sidecars...)
}

func (f *fleet) startAll() error {
	for _, p := range f.all() {
		if err := f.start(p); err != nil {
			return err
		}
	}
	return nil
}

// stopAll ends all processes that were started.
func (f *fleet) stopAll() {
	for _, p := range f.all() {
		if p.cmd == nil {
			continue
		}
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	for _, i := range f.instances {
		i.close()
	}
	_ = os.RemoveAll(f.dir)
}

func (f *fleet) outbound(n int) string { return fmt.Sprintf("%s:%d", f.sidecars[n].ip, f.outPort) }

func (f *fleet) beat(n int) string { return fmt.Sprintf("http://%s:%d", f.sidecars[n].ip, f.apiPort) }

func (f *fleet) api(n int) string { return fmt.Sprintf("http://%s:%d", f.controls[n].ip, f.apiPort) }

var plainClient = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call sends one request and returns the status and the body.
func call(method, url string, header map[string]string, body []byte) (int, []byte, error) {
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fmt.Errorf("create a request: %w", err)
	}
	for name, value := range header {
		r.Header.Set(name, value)
	}
	response, err := plainClient.Do(r)
	if err != nil {
		return 0, nil, fmt.Errorf("send a request: %w", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, data, fmt.Errorf("read an answer: %w", err)
	}
	return response.StatusCode, data, nil
}

// order sends an order of the operator, and again to the next host as long as there is no
// clear answer.
func (f *fleet) order(method, match string, body []byte, limit time.Duration) (int, []byte) {
	var status int
	var answer []byte
	header := map[string]string{"If-Match": match, "Content-Type": "application/json"}
	for end, n := time.Now().Add(limit), 0; time.Now().Before(end); n++ {
		var err error
		status, answer, err = call(method, f.api(n%_controls)+"/v1/plan", header, body)
		f.record.add("operator %s If-Match %s to core-%d: status %d %.160q %v", method, match, n%_controls+1, status, answer, err)
		if err == nil && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return status, answer
		}
		time.Sleep(200 * time.Millisecond)
	}
	return status, answer
}

// eventually repeats a check until it passes.
func eventually(limit time.Duration, check func() error) error {
	var err error
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if err = check(); err == nil {
			return nil
		}
	}
	return err
}

// record is the account of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	runs  map[string]int // by instance
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	return &record{file: file, start: time.Now(), runs: map[string]int{}}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// run counts a request that an instance has run, and records the first ones.
func (r *record) run(instance, id string) {
	const most = 20
	r.mu.Lock()
	r.runs[instance]++
	n := r.runs[instance]
	r.mu.Unlock()
	if n <= most {
		r.add("%s runs %s", instance, id)
	}
}
