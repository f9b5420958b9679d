package quota

import (
	"strconv"
	"time"

	"github.com/damaskpitch/damaskpitch/spec"
)

// _maxNeeds is the largest number of needs in a report. What is left over is sent with the
// next one.
const _maxNeeds = 64

// Need is a node's use of a customer's tokens. Its counters are cumulative within a life.
type Need struct {
	Customer string `json:"c"`
	// Life orders the starts of the counters within an epoch of the node.
	Life     uint64 `json:"l"`
	Taken    uint64 `json:"t,omitempty"` // by requests
	Undone   uint64 `json:"u,omitempty"` // by requests that reached no instance
	Returned uint64 `json:"r,omitempty"` // to the home
	Refused  uint64 `json:"f,omitempty"`
	// Debt is the number of tokens taken beyond what the home is known to have granted.
	Debt uint64 `json:"d,omitempty"`
	// Want is the recent demand, in requests per 1,000 seconds.
	Want uint64 `json:"w,omitempty"`
	// Waiting is the number of requests that wait for a token.
	Waiting uint64 `json:"q,omitempty"`
}

// Check returns a FieldError for the first invalid field.
func (n Need) Check() error {
	const most = 1 << 50
	for _, c := range []uint64{n.Taken, n.Undone, n.Returned, n.Refused, n.Debt, n.Want, n.Waiting} {
		if c > most {
			return &spec.FieldError{Field: "Need", Value: strconv.FormatUint(c, 10), Want: "counters of at most 2^50"}
		}
	}
	return nil
}

// net returns the tokens that the node has used up.
func (n Need) net() int64 {
	return int64(n.Taken) - int64(n.Undone) + int64(n.Returned)
}

// Grant is the home's reply to a Need: what the node may have used up in this life, and the
// rate in units a second at which it may go on for a while if the home does not answer.
type Grant struct {
	Customer string `json:"c"`
	Granted  int64  `json:"g,omitempty"`
	Rate     int64  `json:"r,omitempty"`
}

// Report is what a node sends to the home. Seq orders the reports of an epoch.
type Report struct {
	Node  string
	Epoch uint64
	Seq   uint64
	Needs []Need
}

// Answer is the home's reply to a Report.
type Answer struct {
	// Term identifies the home's time in office.
	Term uint64
	// WaitLeft is how long the home will go on to grant nothing.
	WaitLeft time.Duration
	Grants   []Grant
	// Tight has the hashes of the customers of which nodes may not overdraw; AllTight
	// stands for more than fit.
	Tight    []uint32
	AllTight bool
	// Ignored is set if the home has had a later report.
	Ignored bool
}
