package proto

import (
	"strconv"
	"time"

	"github.com/damaskpitch/damaskpitch/spec"
)

const (
	// MaxFlows is the maximum number of services in a heartbeat: 6 of them take some 300
	// bytes.
	MaxFlows = 6
	// MaxFlowCenters is the maximum number of data centres that a node tells of for one
	// service.
	MaxFlowCenters = 8
)

// ServiceFlow is what a node tells of a service in a heartbeat: the state of its instances,
// and the attempts that it sent since the previous heartbeat.
type ServiceFlow struct {
	Service string `cbor:"1,keyasint"`
	Slots   int    `cbor:"2,keyasint,omitempty"`
	Running int    `cbor:"3,keyasint,omitempty"`
	Queued  int    `cbor:"4,keyasint,omitempty"`
	// Sent counts attempts by the data centre that they were sent to.
	Sent map[string]int `cbor:"5,keyasint,omitempty"`
}

// Check returns a FieldError for the first invalid field.
func (h Heartbeat) Check() error {
	if len(h.Flows) > MaxFlows {
		return &spec.FieldError{Field: "Heartbeat.flows", Value: strconv.Itoa(len(h.Flows)), Want: "at most " + strconv.Itoa(MaxFlows)}
	}
	for _, f := range h.Flows {
		if len(f.Sent) > MaxFlowCenters {
			return &spec.FieldError{Field: "ServiceFlow.sent", Value: strconv.Itoa(len(f.Sent)), Want: "at most " + strconv.Itoa(MaxFlowCenters)}
		}
		for _, n := range append([]int{f.Slots, f.Running, f.Queued}, mapValues(f.Sent)...) {
			if n < 0 {
				return &spec.FieldError{Field: "ServiceFlow", Value: strconv.Itoa(n), Want: "no negative count"}
			}
		}
	}
	return nil
}

func mapValues(m map[string]int) []int {
	list := make([]int, 0, len(m))
	for _, n := range m {
		list = append(list, n)
	}
	return list
}

// ListFlows asks the leader for the flows that nodes have told of.
type ListFlows struct{}

// ListFlowsReply is the reply to ListFlows.
type ListFlowsReply struct {
	Nodes []NodeFlows `json:"nodes"`
}

// NodeFlows is what a node told of its services, and how long ago.
type NodeFlows struct {
	Node   string        `json:"node"`
	Center string        `json:"center"`
	Age    time.Duration `json:"age"`
	Time   time.Duration `json:"time"` // that Sent of its services covers
	Flows  []ServiceFlow `json:"flows"`
}
