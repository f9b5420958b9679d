package config

import (
	"bytes"
	"net/netip"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"

	"github.com/damaskpitch/damaskpitch/spec"
)

const _defaultGroups = 4

// Control is the settings of a control host.
type Control struct {
	Name   string `json:"name" validate:"required,label"`
	Center string `json:"center" validate:"required,label"`
	Region string `json:"region,omitempty" validate:"omitempty,label"`
	Data   string `json:"data" validate:"required"`
	API    string `json:"api" validate:"required,ip_port"`
	Peer   string `json:"peer" validate:"required,ip_port"`
	Key    string `json:"key" validate:"required,min=16"`
	Token  string `json:"token,omitempty" validate:"omitempty,min=16"`
	Hosts  []Host `json:"hosts" validate:"min=1,max=30,dive"`
	// Groups is the number of groups that idempotency keys are spread over; it
	// never changes in a fleet's life.
	Groups uint32 `json:"groups,omitempty" validate:"lte=256"`
	Log    Log    `json:"log,omitempty"`
}

// Host is one control host as the others reach it.
type Host struct {
	Name   string `json:"name" validate:"required,label"`
	Addr   string `json:"addr" validate:"required,ip_port"`
	Center string `json:"center,omitempty" validate:"omitempty,label"`
}

// Node is the settings of the process on a backend server host.
type Node struct {
	Name   string `json:"name" validate:"required,label"`
	Center string `json:"center" validate:"required,label"`
	Region string `json:"region,omitempty" validate:"omitempty,label"`
	Caller string `json:"caller" validate:"required,ip_port"`
	Peer   string `json:"peer" validate:"required,ip_port"`
	// Advertise is the peer address that others reach, where it is another.
	Advertise string   `json:"advertise,omitempty" validate:"omitempty,ip_port"`
	Local     string   `json:"local" validate:"required,ip_port"`
	Key       string   `json:"key" validate:"required,min=16"`
	Control   []string `json:"control" validate:"min=1,max=30,dive,ip_port"`
	Seeds     []string `json:"seeds,omitempty" validate:"max=100,dive,ip_port"`
	Log       Log      `json:"log,omitempty"`
}

// Log sets what is logged: the least level, and one of how many routing
// decisions.
type Log struct {
	Level  string `json:"level,omitempty" validate:"omitempty,oneof=debug info warn error"`
	Sample int    `json:"sample,omitempty" validate:"gte=0,lte=1000000"`
}

// PeerAddr returns the address that other processes reach the node at.
func (n Node) PeerAddr() string {
	if n.Advertise != "" {
		return n.Advertise
	}
	return n.Peer
}

// LoadControl reads and checks a control host's settings.
func LoadControl(file string) (Control, error) {
	var c Control
	if err := load(file, &c); err != nil {
		return c, err
	}
	return c, c.check(file)
}

// LoadNode reads and checks a node's settings.
func LoadNode(file string) (Node, error) {
	var n Node
	err := load(file, &n)
	return n, err
}

func load(file string, into any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Errorf("read settings: %w", err)
	}
	return parse(file, data, into)
}

func parse(file string, data []byte, into any) error {
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict(), yaml.Validator(newValidator()))
	if err := decoder.Decode(into); err != nil {
		return errors.Mark(errors.Errorf("%s: %w", file, err), spec.ErrInvalid)
	}
	return nil
}

func (c Control) check(file string) error {
	if err := checkFolder(c.Data); err != nil {
		return errors.Errorf("%s: %w", file, err)
	}
	for _, h := range c.Hosts {
		if h.Name == c.Name {
			return nil
		}
	}
	return errors.Errorf("%s: %w", file, &spec.FieldError{
		Field: "Control.hosts",
		Value: c.Name,
		Want:  "an entry with this host's name",
	})
}

// checkFolder makes the data folder and writes to it.
func checkFolder(folder string) error {
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
	return &spec.FieldError{Field: "Control.data", Value: folder, Want: "a folder that can be written: " + err.Error()}
}

// ClaimGroups returns the number of groups of idempotency keys.
func (c Control) ClaimGroups() uint32 {
	if c.Groups == 0 {
		return _defaultGroups
	}
	return c.Groups
}

// AddrOf returns the address of a control host as this one reaches it.
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
