package view

import (
	"net/netip"

	"github.com/damaskpitch/damaskpitch/spec"
)

// MaxInstances is the greatest number of instances beside one node.
const MaxInstances = 4096

// Reachability is what the control hosts know of a member's host.
type Reachability string

const (
	// Reachable means that the member renews its lease.
	Reachable Reachability = "up"
	// Unreachable means that the member's silence was confirmed.
	Unreachable Reachability = "unreachable"
)

// Member is one node of the fleet and where to reach it.
type Member struct {
	Node         string       `json:"node"`
	Epoch        uint64       `json:"epoch"`
	Center       string       `json:"center"`
	Region       string       `json:"region,omitempty"`
	Addr         string       `json:"addr"`
	Reachability Reachability `json:"reach"`
}

// Check returns a FieldError for the first field that is wrong.
func (m Member) Check() error {
	if m.Node == "" {
		return &spec.FieldError{Field: "Member.node", Want: "a name"}
	}
	if m.Epoch == 0 {
		return &spec.FieldError{Field: "Member.epoch", Value: "0", Want: "a start number"}
	}
	return checkAddr("Member.addr", m.Addr)
}

// WithReachability returns the member with another reach.
func (m Member) WithReachability(r Reachability) Member {
	m.Reachability = r
	return m
}

// Instance is one backend server process that a node fronts.
type Instance struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Addr    string `json:"addr"`
	Leaving bool   `json:"leaving,omitempty"`
	// Born is when the instance started, in milliseconds of its own clock, or 0.
	Born int64 `json:"born,omitempty"`
	// Slots is the number of requests that it runs at a time, 0 for its
	// service's.
	Slots int `json:"slots,omitempty"`
}

// Check returns a FieldError for the first field that is wrong.
func (i Instance) Check() error {
	if i.ID == "" || len(i.ID) > 128 {
		return &spec.FieldError{Field: "Instance.id", Value: i.ID, Want: "1 to 128 bytes"}
	}
	if i.Service == "" || len(i.Service) > 63 {
		return &spec.FieldError{Field: "Instance.service", Value: i.Service, Want: "1 to 63 bytes"}
	}
	return checkAddr("Instance.addr", i.Addr)
}

// WithLeaving returns the instance marked as leaving.
func (i Instance) WithLeaving() Instance {
	i.Leaving = true
	return i
}

// Key names an instance within the fleet.
type Key struct {
	Node string `json:"node"`
	ID   string `json:"id"`
}

// String returns the node and the instance.
func (k Key) String() string {
	return k.Node + "/" + k.ID
}

func checkAddr(field, addr string) error {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return &spec.FieldError{Field: field, Value: addr, Want: "an IP address and port, such as 127.0.0.1:7000"}
	}
	return nil
}
