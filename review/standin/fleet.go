package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"
)

const (
	controlPort = 18620 // of control hosts, and of nodes for their instance
	callerPort  = 18629
	readyPort   = 18625
	instPort    = 18628
	peerPort    = 17600
	readyWait   = 30 * time.Second

	// Bounds of the small installations.
	stabilityWindow = 3 * time.Second
	configApply     = 2 * time.Second
	drainTime       = 2 * time.Second
	heartbeat       = 1500 * time.Millisecond
)

// machine is a machine with one process of the project.
type machine struct {
	name    string
	ip      string
	role    string
	service string
	cmd     *exec.Cmd
	started time.Time // of the process
}

func (m *machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// fleet is a small installation on loopback addresses: five control hosts and some nodes.
type fleet struct {
	rec      *record
	dir      string
	net      int // second byte of all addresses
	run      map[string][]string
	template map[string]string
	controls []*machine
	nodes    []*machine
	seeds    []string
	first    bool

	mu     sync.Mutex
	closed bool
	insts  []*instance
}

var (
	section     = regexp.MustCompile(`\{\{#(\w+)\}\}(.*?)\{\{/\w+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
	roleHeader  = regexp.MustCompile(`^\[roles\.(\w+)\]`)
	assignment  = regexp.MustCompile(`^(\w+) = "(.*)"`)
)

func newFleet(rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, run: map[string][]string{}, template: map[string]string{}, first: true}
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	role := ""
	for line := range strings.SplitSeq(string(deploy), "\n") {
		if found := roleHeader.FindStringSubmatch(line); found != nil {
			role = found[1]
		}
		found := assignment.FindStringSubmatch(line)
		switch {
		case role == "" || found == nil:
		case found[1] == "run":
			f.run[role] = strings.Fields(found[2])
		case found[1] == "template":
			text, err := os.ReadFile(found[2])
			if err != nil {
				return nil, err
			}
			f.template[role] = string(text)
		}
	}
	if len(f.run["node"]) == 0 || len(f.run["control"]) == 0 {
		return nil, fmt.Errorf("deploy/system.toml names no command for node and control")
	}
	f.net, err = freeNet()
	return f, err
}

// freeNet returns the second byte of loopback addresses on which nothing listens.
func freeNet() (int, error) {
	for i := range 100 {
		n := 20 + (os.Getpid()+i*7)%200
		free := true
		for _, port := range []int{controlPort, callerPort, readyPort, instPort, peerPort} {
			l, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:%d", n, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return n, nil
		}
	}
	return 0, fmt.Errorf("no free loopback addresses")
}

// startControls starts five control hosts.
func (f *fleet) startControls() error {
	for n := range 5 {
		m := &machine{name: fmt.Sprintf("core-%d", n+1), ip: fmt.Sprintf("127.%d.1.%d", f.net, n+1), role: "control"}
		f.controls = append(f.controls, m)
		if n < 3 {
			f.seeds = append(f.seeds, m.addr(controlPort))
		}
	}
	for _, m := range f.controls {
		if err := f.startProcess(m); err != nil {
			return err
		}
	}
	return nil
}

// addNode starts a node for an instance of a service.
func (f *fleet) addNode(service string) (*machine, error) {
	n := len(f.nodes) + 1
	m := &machine{name: fmt.Sprintf("side-%d", n), ip: fmt.Sprintf("127.%d.2.%d", f.net, n), role: "node", service: service}
	f.nodes = append(f.nodes, m)
	return m, f.startProcess(m)
}

// settings fills in the template of a machine's role.
func (f *fleet) settings(m *machine) string {
	data := filepath.Join(f.dir, "data", m.name)
	values := map[string]string{
		"node_name": m.name, "center": "mida", "region": "coast", "data_dir": data, "ip": m.ip, "service": m.service,
		"internal_port_range.0": fmt.Sprint(peerPort), "bootstrap": fmt.Sprint(f.first), "fault_tolerance.machines": "2",
		"listen.control": m.addr(controlPort), "listen.outbound": m.addr(callerPort), "listen.readiness_addr": m.addr(readyPort),
		"bounds.floor_share": "0.7", "bounds.drain": "2000ms", "bounds.grace": "6s",
		"bounds.retry_budget_ratio": "0.2", "bounds.retry_budget_slack": "58", "bounds.budget_window": "10s",
	}
	text := section.ReplaceAllStringFunc(f.template[m.role], func(found string) string {
		body := section.FindStringSubmatch(found)[2]
		var out strings.Builder
		for i, seed := range f.seeds {
			comma := ","
			if i == len(f.seeds)-1 {
				comma = ""
			}
			out.WriteString(strings.ReplaceAll(strings.ReplaceAll(body, "{{.}}", seed), "{{,}}", comma))
		}
		return out.String()
	})
	return placeholder.ReplaceAllStringFunc(text, func(found string) string {
		return values[placeholder.FindStringSubmatch(found)[1]]
	})
}

func (f *fleet) startProcess(m *machine) error {
	file := filepath.Join(f.dir, m.name+".yaml")
	if err := os.WriteFile(file, []byte(f.settings(m)), 0o600); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(f.dir, "data", m.name), 0o700); err != nil {
		return err
	}
	logs, err := os.OpenFile(filepath.Join(f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	command := f.run[m.role]
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return fmt.Errorf("the case has ended")
	}
	m.cmd = exec.Command(command[0], command[1:]...)
	m.cmd.Env = append(os.Environ(), "DAMASKPITCH_BOOT="+file)
	m.cmd.Stdout, m.cmd.Stderr = logs, logs
	m.started = time.Now()
	f.rec.add("start %s (%s)", m.name, strings.Join(command, " "))
	return m.cmd.Start()
}

// kill sends SIGKILL to the machine's process.
func (f *fleet) kill(m *machine) {
	f.rec.add("SIGKILL %s", m.name)
	_ = m.cmd.Process.Kill()
	_ = m.cmd.Wait()
}

// close ends all processes and instances.
func (f *fleet) close() {
	f.mu.Lock()
	f.closed = true
	insts := f.insts
	f.mu.Unlock()
	for _, i := range insts {
		i.stop()
	}
	for _, m := range append(append([]*machine(nil), f.controls...), f.nodes...) {
		if m.cmd == nil || m.cmd.Process == nil || m.cmd.ProcessState != nil {
			continue
		}
		_ = m.cmd.Process.Kill()
		_ = m.cmd.Wait()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}

// eventually repeats check until it succeeds.
func eventually(what string, check func() error) error {
	var err error
	for end := time.Now().Add(readyWait); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if err = check(); err == nil {
			return nil
		}
	}
	return fmt.Errorf("%s: %w", what, err)
}

type planRoute struct {
	Name     string `json:"name"`
	Host     string `json:"host"`
	Path     string `json:"path"`
	Kind     string `json:"kind"`
	Timeout  string `json:"timeout"`
	Target   string `json:"target"`
	Priority int    `json:"priority"`
	Service  string `json:"service"`
	Attempts int    `json:"attempts"`
}

type planService struct {
	Name     string `json:"name"`
	Health   string `json:"health"`
	Conns    int    `json:"conns"`
	Protocol string `json:"protocol"`
	TLS      bool   `json:"tls"`
}

type planLimits struct {
	Header int    `json:"header"`
	Body   int    `json:"body"`
	Read   string `json:"read"`
	Idle   string `json:"idle"`
}

type wholePlan struct {
	Version  int           `json:"version"`
	Routes   []planRoute   `json:"routes"`
	Services []planService `json:"services"`
	Limits   planLimits    `json:"limits"`
}

// route returns a route with the timeout, target and attempts of the small installations.
func route(name, path, kind, service string) planRoute {
	return planRoute{Name: name, Host: host, Path: path, Kind: kind, Timeout: "8s", Target: "2s", Priority: 1, Service: service, Attempts: 2}
}

// putPlan sends a whole configuration until it is acknowledged.
func (f *fleet) putPlan(match, version int, routes []planRoute, services ...string) error {
	p := wholePlan{Version: version, Routes: routes, Limits: planLimits{Header: 16384, Body: 67108864, Read: "3s", Idle: "15s"}}
	for _, name := range services {
		p.Services = append(p.Services, planService{Name: name, Health: "/healthz", Conns: 330, Protocol: "h1"})
	}
	return f.operator(http.MethodPut, match, p)
}

// addRoutes adds routes to the configuration.
func (f *fleet) addRoutes(match, version int, routes []planRoute) error {
	return f.operator(http.MethodPatch, match, map[string]any{"version": version, "put": map[string]any{"routes": routes}})
}

func (f *fleet) operator(method string, match int, content any) error {
	body, err := json.Marshal(content)
	if err != nil {
		return err
	}
	n := 0
	err = eventually("configuration", func() error {
		m := f.controls[n%len(f.controls)]
		n++
		r, err := http.NewRequest(method, "http://"+m.addr(controlPort)+"/v1/plan", bytes.NewReader(body))
		if err != nil {
			return err
		}
		r.Header.Set("If-Match", fmt.Sprint(match))
		r.Header.Set("Content-Type", "application/json")
		response, err := operatorClient.Do(r)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		text, _ := io.ReadAll(response.Body)
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("%s answered %d: %s", m.name, response.StatusCode, text)
		}
		return nil
	})
	if err == nil {
		f.rec.add("configuration acknowledged: %s If-Match %d %.500s", method, match, body)
	}
	return err
}

var operatorClient = &http.Client{Timeout: 6 * time.Second}

// awaitReady waits until all nodes are ready and each instance has had a request.
func (f *fleet) awaitReady() error {
	return eventually("ready nodes", func() error {
		for _, m := range f.nodes {
			response, err := operatorClient.Get("http://" + m.addr(readyPort) + "/v1/ready")
			if err != nil {
				return err
			}
			_ = response.Body.Close()
			if response.StatusCode != http.StatusOK {
				return fmt.Errorf("%s is not ready", m.name)
			}
		}
		return nil
	})
}
