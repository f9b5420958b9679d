package order

// Msg is a message to the model of a connection. Requests are numbered from 1 in the order
// in which they are read.
type Msg interface{ orderMsg() }

// TurnMsg says that the server has begun to serve the next request.
type TurnMsg struct {
	// Open says that the requests behind it may start: it is idempotent, has no body, and
	// leaves the connection open.
	Open bool
}

// ReadMsg says that the head of the request behind the last one was read ahead. It must
// be one that the model wants.
type ReadMsg struct {
	// Early says that the request may start before its turn.
	Early bool
	// Cost is what its parsed head takes up, in bytes.
	Cost int64
}

// HoldMsg asks for room for a part of the response to an early request.
type HoldMsg struct {
	Seq   uint64
	Bytes int64
}

// DrainedMsg says that what was held for the request in turn has been sent.
type DrainedMsg struct{}

// DoneMsg says that an early request has ended.
type DoneMsg struct{ Seq uint64 }

// AnsweredMsg says that the response to the request in turn has been sent.
type AnsweredMsg struct {
	// Closing says that the connection closes behind the response.
	Closing bool
}

// BrokenMsg says that the connection is broken, or that the server and this model
// disagree about its requests.
type BrokenMsg struct{}

// StopMsg says that the process has been told to stop.
type StopMsg struct{}

func (TurnMsg) orderMsg()     {}
func (ReadMsg) orderMsg()     {}
func (HoldMsg) orderMsg()     {}
func (DrainedMsg) orderMsg()  {}
func (DoneMsg) orderMsg()     {}
func (AnsweredMsg) orderMsg() {}
func (BrokenMsg) orderMsg()   {}
func (StopMsg) orderMsg()     {}

// Cmd is a decision of the model.
type Cmd interface{ orderCmd() }

// StartCmd starts a request before its turn.
type StartCmd struct{ Seq uint64 }

// DeliverCmd sends the response of an early request, whose turn has come.
type DeliverCmd struct{ Seq uint64 }

// HoldCmd grants room that a HoldMsg asked for.
type HoldCmd struct{ Seq uint64 }

// CancelCmd cancels an early request.
type CancelCmd struct{ Seq uint64 }

func (StartCmd) orderCmd()   {}
func (DeliverCmd) orderCmd() {}
func (HoldCmd) orderCmd()    {}
func (CancelCmd) orderCmd()  {}
