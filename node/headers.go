package node

// Headers holds the names of the HTTP headers that callers, nodes and backend
// servers exchange.
type Headers struct {
	// RequestID carries the ID of a request; backend servers may return it.
	RequestID string
	// Timeout carries the caller's timeout in milliseconds.
	Timeout string
	// TimeLeft carries the milliseconds that a backend server has for the request.
	TimeLeft string
	// CallerService carries the service of the host that a request entered the
	// fleet on, for backend servers. If empty, it is not sent.
	CallerService string
	// ExpectInstance carries the ID of the instance that the request is for; any
	// other instance at the same address responds with status 421. If empty, it is
	// not sent.
	ExpectInstance string
	// NotExecuted marks a response of a backend server that did not run the
	// request. If empty, there is no such header.
	NotExecuted string
	// ResponseStamp is present in every response of a backend server; a successful
	// response without it is invalid. If empty, there is no such header.
	ResponseStamp string
	// MaxRate names, in a response of a backend server, how many requests a second it
	// takes from all nodes together, as a decimal number, for as long as it says so. If
	// empty, there is no such header.
	MaxRate string
	// Leaving marks the responses of a backend server that leaves. If empty, there is no
	// such header.
	Leaving string
	// Customer carries the name of the customer that a request belongs to, for backend
	// servers. It is never taken from the caller.
	Customer string
	// EchoesRequestID tells whether backend servers return RequestID in every
	// response.
	EchoesRequestID bool
}

// withDefaults returns the product's own header names if RequestID is empty.
func (h Headers) withDefaults() Headers {
	if h.RequestID == "" {
		return Headers{
			RequestID: HeaderRequestID,
			Timeout:   HeaderTimeout,
			TimeLeft:  "Request-Timeout",
			MaxRate:   "Instance-Max-Rate",
			Leaving:   "Instance-Leaving",
			Customer:  HeaderCustomer,
		}
	}
	return h
}
