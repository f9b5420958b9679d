package config

import (
	"bytes"
	"io"
	"net/netip"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"

	"github.com/damaskpitch/damaskpitch/spec"
	"github.com/damaskpitch/damaskpitch/strict"
)

const (
	_defaultGroups = 4
	// _planQueueSize only bounds the memory of a queue: requests of a plan are
	// refused by their expected wait, not by the queue's length.
	_planQueueSize = 256
)

// Control holds the settings of a control host.
type Control struct {
	Name   string `json:"name" validate:"required,label"`
	Center string `json:"center" validate:"required,label"`
	Region string `json:"region,omitempty" validate:"omitempty,label"`
	Data   string `json:"data" validate:"required"`
	API    string `json:"api" validate:"required,ip_port"`
	Peer   string `json:"peer" validate:"required,ip_port"`
	Key    string `json:"key" validate:"required,min=16"`
	Token  string `json:"token,omitempty" validate:"omitempty,min=16"`
	Hosts  []Host `json:"hosts,omitempty" validate:"required_without=Join,max=30,dive"`
	// Join lists the API addresses of control hosts for peer discovery, as an
	// alternative to Hosts; all hosts must use the same peer port.
	Join []string `json:"join,omitempty" validate:"max=30,dive,ip_port"`
	// First is set when the whole fleet starts for the first time; the host with
	// the lowest peer address in Join then bootstraps it.
	First bool `json:"first,omitempty"`
	// Losses is the number of hosts that may fail at once without losing a
	// committed write: writes wait for 2*Losses+1 voters.
	Losses int  `json:"losses,omitempty" validate:"gte=0,lte=7"`
	Base   Base `json:"base,omitempty"`
	// Groups is the number of claim groups, over which idempotency keys are
	// sharded; it must not change during the lifetime of a fleet.
	Groups uint32 `json:"groups,omitempty" validate:"lte=256"`
	// Memory is what the process may use; it sets the limit of the garbage collector.
	Memory spec.Size `json:"memory,omitempty" validate:"omitempty,gte=64000000"`
	Heads  Heads     `json:"heads,omitempty"`
	Log    Log       `json:"log,omitempty"`
}

// Base provides the service settings that a plan leaves out; zero values take
// the defaults of a service.
type Base struct {
	Share    float64       `json:"share,omitempty" validate:"gte=0,lte=1"`
	Grace    spec.Duration `json:"grace,omitempty" validate:"gte=0,lte=600000000000"`
	Patience spec.Patience `json:"patience,omitempty" validate:"omitempty,oneof=quick sure"`
}

// Service returns a service with these settings and defaults for the rest.
func (b Base) Service() spec.Service {
	return spec.Service{Share: b.Share, Grace: b.Grace, Patience: b.Patience, Queue: _planQueueSize}.WithDefaults()
}

// Host is a control host and the address at which its peers reach it.
type Host struct {
	Name   string `json:"name" validate:"required,label"`
	Addr   string `json:"addr" validate:"required,ip_port"`
	Center string `json:"center,omitempty" validate:"omitempty,label"`
}

// Node holds the settings of the node process on a backend server host.
type Node struct {
	Name   string `json:"name" validate:"required,label"`
	Center string `json:"center" validate:"required,label"`
	Region string `json:"region,omitempty" validate:"omitempty,label"`
	Caller string `json:"caller" validate:"required,ip_port"`
	Peer   string `json:"peer" validate:"required,ip_port"`
	// Advertise is the peer address announced to others, if it differs from Peer.
	Advertise string   `json:"advertise,omitempty" validate:"omitempty,ip_port"`
	Local     string   `json:"local" validate:"required,ip_port"`
	Key       string   `json:"key" validate:"required,min=16"`
	Control   []string `json:"control,omitempty" validate:"required_without=Join,max=30,dive,ip_port"`
	// Join lists the API addresses of control hosts, as an alternative to
	// Control; all hosts must use the same peer port.
	Join  []string `json:"join,omitempty" validate:"max=30,dive,ip_port"`
	Seeds []string `json:"seeds,omitempty" validate:"max=100,dive,ip_port"`
	// Ready is the address of a separate readiness endpoint, if one is needed.
	Ready string `json:"ready,omitempty" validate:"omitempty,ip_port"`
	// Service is the service of the backend server on this host, when that
	// server also sends requests.
	Service string `json:"service,omitempty" validate:"omitempty,label"`
	// Stop bounds a planned shutdown on a host where no successor process takes
	// over; new requests go to other hosts immediately.
	Stop spec.Duration `json:"stop,omitempty" validate:"gte=0,lte=600000000000"`
	// Revoke is the time within which a withdrawn customer key stops working at this
	// node, also while no control host can be reached; 0 for no such bound.
	Revoke spec.Duration `json:"revoke,omitempty" validate:"gte=0,lte=600000000000"`
	Retry  Retry         `json:"retry,omitempty"`
	// Pipeline bounds what the node does for callers that send requests on a connection
	// before the response to the first one.
	Pipeline Pipeline `json:"pipeline,omitempty"`
	// Memory is what the process may use; it sets the limit of the garbage collector.
	Memory spec.Size `json:"memory,omitempty" validate:"omitempty,gte=64000000"`
	Heads  Heads     `json:"heads,omitempty"`
	Bodies Bodies    `json:"bodies,omitempty"`
	Log    Log       `json:"log,omitempty"`
}

// Pipeline bounds the requests that start before their turn; 0 selects a default.
type Pipeline struct {
	// Requests is how many requests of a connection run at once.
	Requests int `json:"requests,omitempty" validate:"gte=0,lte=64"`
	// Held is how many bytes are held for the requests of a connection that wait.
	Held int64 `json:"held,omitempty" validate:"gte=0,lte=1073741824"`
	// Total is how many bytes are held for all of them, with the buffers of connections.
	Total int64 `json:"total,omitempty" validate:"gte=0,lte=1073741824"`
}

// Retry is the retry budget of all nodes together: a ratio of the requests,
// plus a fixed allowance, per time window.
type Retry struct {
	Ratio  float64       `json:"ratio,omitempty" validate:"gte=0,lte=1"`
	Slack  int           `json:"slack,omitempty" validate:"gte=0,lte=100000"`
	Window spec.Duration `json:"window,omitempty" validate:"gte=0,lte=600000000000"`
}

// Log sets the minimum log level and the sampling of routing decisions, of
// which one in Sample is logged.
type Log struct {
	Level  string `json:"level,omitempty" validate:"omitempty,oneof=debug info warn error"`
	Sample int    `json:"sample,omitempty" validate:"gte=0,lte=1000000"`
}

// PeerAddr returns the address at which other processes reach the node.
func (n Node) PeerAddr() string {
	if n.Advertise != "" {
		return n.Advertise
	}
	return n.Peer
}

// ControlAddrs returns the initial peer addresses of the control hosts.
func (n Node) ControlAddrs() []string {
	if len(n.Control) > 0 {
		return n.Control
	}
	return withPort(n.Join, n.Peer)
}

// JoinAddrs returns the peer addresses of the hosts in Join.
func (c Control) JoinAddrs() []string {
	return withPort(c.Join, c.Peer)
}

// Bootstraps reports whether this host bootstraps a fleet that uses peer
// discovery: its peer address is the first in string order.
func (c Control) Bootstraps() bool {
	return c.First && len(c.Join) > 0 && c.Peer == slices.Min(c.JoinAddrs())
}

// withPort replaces the port of each address with that of portFrom.
func withPort(addrs []string, portFrom string) []string {
	port := netip.MustParseAddrPort(portFrom).Port()
	out := make([]string, 0, len(addrs))
	for _, addr := range addrs {
		out = append(out, netip.AddrPortFrom(netip.MustParseAddrPort(addr).Addr(), port).String())
	}
	return out
}

// LoadControl reads and validates the settings of a control host.
func LoadControl(file string) (Control, error) {
	var c Control
	if err := load(file, &c); err != nil {
		return c, err
	}
	return c, c.check(file)
}

// LoadNode reads and validates the settings of a node.
func LoadNode(file string) (Node, error) {
	var n Node
	if err := load(file, &n); err != nil {
		return n, err
	}
	if len(n.Control) == 0 && len(n.Join) == 0 {
		return n, errors.Errorf("%s: %w", file, &spec.FieldError{Field: "Node.control", Want: "addresses of control hosts, unless join is set"})
	}
	return n, nil
}

func load(file string, dst any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Errorf("read settings: %w", err)
	}
	return parse(file, data, dst)
}

func parse(file string, data []byte, dst any) error {
	if err := strict.CheckYAML(data); err != nil {
		return errors.Mark(errors.Errorf("%s: %w", file, err), spec.ErrInvalid)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict(), yaml.Validator(newValidator()))
	if err := decoder.Decode(dst); err != nil {
		return errors.Mark(errors.Errorf("%s: %w", file, err), spec.ErrInvalid)
	}
	if err := decoder.Decode(&struct{}{}); !errors.Is(err, io.EOF) {
		return errors.Mark(errors.Errorf("%s: more than one document", file), spec.ErrInvalid)
	}
	return nil
}

func (c Control) check(file string) error {
	if err := checkWritable(c.Data); err != nil {
		return errors.Errorf("%s: %w", file, err)
	}
	if len(c.Hosts) == 0 && len(c.Join) == 0 {
		return errors.Errorf("%s: %w", file, &spec.FieldError{Field: "Control.hosts", Want: "all control hosts, unless join is set"})
	}
	isSelf := func(h Host) bool { return h.Name == c.Name }
	if len(c.Hosts) == 0 || slices.ContainsFunc(c.Hosts, isSelf) {
		return nil
	}
	return errors.Errorf("%s: %w", file, &spec.FieldError{
		Field: "Control.hosts",
		Value: c.Name,
		Want:  "an entry with this host's name",
	})
}

// checkWritable creates the data folder if it does not exist, and checks that files
// can be written in it.
func checkWritable(folder string) error {
	err := os.MkdirAll(folder, 0o700)
	if err == nil {
		var probe *os.File
		probe, err = os.CreateTemp(folder, "probe-")
		if err == nil {
			err = errors.CombineErrors(probe.Close(), os.Remove(probe.Name()))
		}
	}
	if err == nil {
		return nil
	}
	return &spec.FieldError{Field: "Control.data", Value: folder, Want: "a writable folder: " + err.Error()}
}

// ClaimGroups returns the number of claim groups. Without a list of hosts there are
// none unless Groups is set.
func (c Control) ClaimGroups() uint32 {
	if c.Groups == 0 && len(c.Hosts) > 0 {
		return _defaultGroups
	}
	return c.Groups
}

// AddrOf returns the peer address of a control host, or "" if it is not listed.
func (c Control) AddrOf(name string) string {
	for _, h := range c.Hosts {
		if h.Name == name {
			return h.Addr
		}
	}
	return ""
}

func newValidator() *validator.Validate {
	v := spec.NewValidator()
	if err := v.RegisterValidation("ip_port", isIPPort); err != nil {
		panic(err)
	}
	return v
}

func isIPPort(field validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(field.Field().String())
	return err == nil
}
