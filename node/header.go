package node

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/route"
)

const (
	_publicPrefix = "Damaskpitch-"
	// _internalPrefix marks headers between nodes. It is short because they are sent
	// with each attempt, also between data centres.
	_internalPrefix = "Dp-"

	// HeaderOutcome tells a caller whether the request ran.
	HeaderOutcome = _publicPrefix + "Outcome"
	// HeaderReason tells a caller why a request was refused.
	HeaderReason = _publicPrefix + "Reason"
	// HeaderCaller names the caller, by which slots are shared fairly.
	HeaderCaller = _publicPrefix + "Caller"
	// HeaderCustomer names the customer of a request to its backend server.
	HeaderCustomer = _publicPrefix + "Customer"
	// HeaderTimeout requests a shorter timeout than the service's, in milliseconds.
	HeaderTimeout = _publicPrefix + "Timeout"
	// HeaderRequestID identifies a request in logs and to backend servers.
	HeaderRequestID = "Request-Id"
	// HeaderIdempotencyKey carries the idempotency key of a request.
	HeaderIdempotencyKey = "Idempotency-Key"

	_headerSecret          = _internalPrefix + "Secret"
	_headerAttempt         = _internalPrefix + "Attempt"
	_headerOwner           = _internalPrefix + "Owner"
	_headerInstance        = _internalPrefix + "Instance"
	_headerTimeLeft        = _internalPrefix + "Left"
	_headerHint            = _internalPrefix + "Hint"
	_headerExecution       = _internalPrefix + "Fate"
	_headerLoad            = _internalPrefix + "Load"
	_headerLatency         = _internalPrefix + "Took"
	_headerBodyTime        = _internalPrefix + "Pace"
	_headerFingerprint     = _internalPrefix + "Print"
	_headerUnhealthy       = _internalPrefix + "Sick"
	_headerCallerService   = _internalPrefix + "Origin"
	_headerMaxWait         = _internalPrefix + "Slice"
	_headerWaitLeft        = _internalPrefix + "Hold"
	_headerAdmission       = _internalPrefix + "Patience"
	_headerOnce            = _internalPrefix + "Once"
	_headerFinalAttempt    = _internalPrefix + "Careful"
	_headerRetry           = _internalPrefix + "Repeat"
	_headerRepeatShare     = _internalPrefix + "Redone"
	_headerRefusesFor      = _internalPrefix + "Again"
	_headerReachedInstance = _internalPrefix + "Reached"
	_headerRoute           = _internalPrefix + "Route"
	_headerPriority        = _internalPrefix + "Rank"
	_headerTarget          = _internalPrefix + "Target"
	_headerReports         = _internalPrefix + "News"
	_headerFar             = _internalPrefix + "Far" // from another data centre
	_headerMaxRate         = _internalPrefix + "Rate"
	_headerCustomer        = _internalPrefix + "Customer"
)

// errMalformedHeader reports an internal header that cannot be parsed.
var errMalformedHeader = errors.New("malformed header")

// hopByHopHeaders apply to a single connection and are not forwarded. Expect is among
// them: each hop decides whether to wait for permission to send the body.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// headerText returns a text that identifies a name and can be sent in a header, where control
// characters are invalid and spaces at the ends are removed.
func headerText(name string) string {
	if strings.TrimSpace(name) != name || strings.ContainsFunc(name, unicode.IsControl) {
		return strconv.QuoteToASCII(name)
	}
	return name
}

// headerSize returns the size in bytes of a request's header.
func headerSize(r *http.Request) int64 {
	const separators = len(": \r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return int64(size)
}

// forwardableHeader returns a header without hop-by-hop fields and without those of this
// product. It shares the values, which may be replaced but not changed: a copy of a head
// of short lines takes as much memory as the head itself.
func forwardableHeader(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !strings.HasPrefix(name, _publicPrefix) && !strings.HasPrefix(name, _internalPrefix) {
			out[name] = slices.Clip(values)
		}
	}
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

func parseRef(text string) (ledger.Ref, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 3 || parts[0] == "" {
		return ledger.Ref{}, errors.Errorf("%s %q: %w", _headerAttempt, text, errMalformedHeader)
	}
	epoch, errEpoch := strconv.ParseUint(parts[1], 10, 64)
	seq, errSeq := strconv.ParseUint(parts[2], 10, 64)
	if errEpoch != nil || errSeq != nil {
		return ledger.Ref{}, errors.Errorf("%s %q: %w", _headerAttempt, text, errMalformedHeader)
	}
	return ledger.Ref{Node: parts[0], Epoch: epoch, Seq: seq}, nil
}

func formatHint(h route.Hint) string {
	return strings.Join([]string{
		formatMicros(h.Median),
		strconv.FormatFloat(h.FailingShare, 'f', 2, 64),
		formatMicros(h.BodyTimePerMiB),
	}, " ")
}

// parseHint parses a hint; nodes of an earlier version send no body time.
func parseHint(text string) (route.Hint, bool) {
	fields := strings.Fields(text)
	if len(fields) < 2 {
		return route.Hint{}, false
	}
	median, ok := parseMicros(fields[0])
	failureRate, err := strconv.ParseFloat(fields[1], 64)
	hint := route.Hint{Median: median, FailingShare: failureRate}
	if len(fields) > 2 {
		hint.BodyTimePerMiB, _ = parseMicros(fields[2])
	}
	return hint, ok && err == nil
}

func formatMicros(d time.Duration) string {
	return strconv.FormatInt(d.Microseconds(), 10)
}

func parseMicros(text string) (time.Duration, bool) {
	n, err := strconv.ParseInt(text, 10, 64)
	return time.Duration(n) * time.Microsecond, err == nil
}

func formatMillis(d time.Duration) string {
	return strconv.FormatInt(d.Milliseconds(), 10)
}

func parseMillis(text string) (time.Duration, bool) {
	n, err := strconv.ParseInt(text, 10, 64)
	return time.Duration(n) * time.Millisecond, err == nil && n >= 0
}
