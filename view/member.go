package view

import (
	"net/netip"
	"strings"

	"github.com/damaskpitch/damaskpitch/spec"
)

// MaxInstances is the maximum number of instances per node.
const MaxInstances = 4096

// Reachability is whether the control hosts consider a member's host reachable.
type Reachability string

const (
	// Reachable means that the member renews its lease.
	Reachable Reachability = "up"
	// Unreachable means that the member's lease expired and no prober reached it.
	Unreachable Reachability = "unreachable"
)

// Member is a node of the fleet and its address.
type Member struct {
	Node         string       `json:"node"`
	Epoch        uint64       `json:"epoch"`
	Center       string       `json:"center"`
	Region       string       `json:"region,omitempty"`
	Addr         string       `json:"addr"`
	Reachability Reachability `json:"reach"`
}

// Check returns a spec.FieldError for the first invalid field.
func (m Member) Check() error {
	if m.Node == "" {
		return &spec.FieldError{Field: "Member.node", Want: "a name"}
	}
	if m.Epoch == 0 {
		return &spec.FieldError{Field: "Member.epoch", Value: "0", Want: "a number above 0"}
	}
	return checkAddr("Member.addr", m.Addr)
}

// WithReachability returns a copy of the member with the given reachability.
func (m Member) WithReachability(r Reachability) Member {
	m.Reachability = r
	return m
}

// Instance is a backend server process that a node proxies to.
type Instance struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Addr    string `json:"addr"`
	Leaving bool   `json:"leaving,omitempty"`
	// Born is when the instance started, in milliseconds of its own clock,
	// or 0 if unknown.
	Born int64 `json:"born,omitempty"`
	// Slots is the maximum number of concurrent requests, or 0 for the value of
	// the service.
	Slots int `json:"slots,omitempty"`
}

// Check returns a spec.FieldError for the first invalid field.
func (i Instance) Check() error {
	if !isName(i.ID, 128) {
		return &spec.FieldError{Field: "Instance.id", Value: i.ID, Want: "1 to 128 printable ASCII characters without spaces"}
	}
	if !isName(i.Service, 63) {
		return &spec.FieldError{Field: "Instance.service", Value: i.Service, Want: "1 to 63 printable ASCII characters without spaces"}
	}
	return checkAddr("Instance.addr", i.Addr)
}

// isName reports whether a name can be sent in a header.
func isName(name string, maxLen int) bool {
	unprintable := func(r rune) bool { return r <= ' ' || r >= 0x7f }
	return name != "" && len(name) <= maxLen && !strings.ContainsFunc(name, unprintable)
}

// WithLeaving returns a copy of the instance marked as leaving.
func (i Instance) WithLeaving() Instance {
	i.Leaving = true
	return i
}

// Key identifies an instance in the fleet.
type Key struct {
	Node string `json:"node"`
	ID   string `json:"id"`
}

// String returns the key as NODE/ID.
func (k Key) String() string {
	return k.Node + "/" + k.ID
}

func checkAddr(field, addr string) error {
	if a, err := netip.ParseAddrPort(addr); err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		return &spec.FieldError{Field: field, Value: addr, Want: "an IP address and port, such as 127.0.0.1:7000"}
	}
	return nil
}
