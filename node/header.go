package node

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/ledger"
	"github.com/damaskpitch/damaskpitch/route"
)

const (
	_prefix = "Damaskpitch-"
	// _inner begins the headers between nodes; they cross data centres with each
	// attempt, so they are short.
	_inner = "Dp-"

	// HeaderOutcome tells a caller whether the request ran.
	HeaderOutcome = _prefix + "Outcome"
	// HeaderReason tells a caller why a request was refused.
	HeaderReason = _prefix + "Reason"
	// HeaderCaller names the caller that shares the slots fairly.
	HeaderCaller = _prefix + "Caller"
	// HeaderTimeout asks for a shorter deadline than the service's.
	HeaderTimeout = _prefix + "Timeout"
	// HeaderRequest names a request in logs and towards backend servers.
	HeaderRequest = "Request-Id"
	// HeaderKey carries the idempotency key of a request.
	HeaderKey = "Idempotency-Key"

	_headerSecret   = _inner + "Secret"
	_headerAttempt  = _inner + "Attempt"
	_headerOwner    = _inner + "Owner"
	_headerInstance = _inner + "Instance"
	_headerLeft     = _inner + "Left"
	_headerHint     = _inner + "Hint"
	_headerFate     = _inner + "Fate"
	_headerLoad     = _inner + "Load"
	_headerTook     = _inner + "Took"
	_headerPace     = _inner + "Pace"
	_headerPrint    = _inner + "Print"
	_headerSick     = _inner + "Sick"
	_headerOrigin   = _inner + "Origin"
	_headerSlice    = _inner + "Slice"
	_headerHold     = _inner + "Hold"
	_headerPatience = _inner + "Patience"
	_headerOnce     = _inner + "Once"
	_headerCareful  = _inner + "Careful"
	_headerRepeat   = _inner + "Repeat"
	_headerAgain    = _inner + "Again"
	_headerReached  = _inner + "Reached"
	_headerRoute    = _inner + "Route"
	_headerRank     = _inner + "Rank"
	_headerTarget   = _inner + "Target"
)

// errHeader reports an internal header that does not parse.
var errHeader = errors.New("malformed header")

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// cleanHeader returns a copy without hop-by-hop and internal headers.
func cleanHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	for name := range out {
		if strings.HasPrefix(name, _prefix) || strings.HasPrefix(name, _inner) {
			delete(out, name)
		}
	}
	return out
}

func parseRef(text string) (ledger.Ref, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 3 || parts[0] == "" {
		return ledger.Ref{}, errors.Errorf("%s %q: %w", _headerAttempt, text, errHeader)
	}
	epoch, errEpoch := strconv.ParseUint(parts[1], 10, 64)
	seq, errSeq := strconv.ParseUint(parts[2], 10, 64)
	if errEpoch != nil || errSeq != nil {
		return ledger.Ref{}, errors.Errorf("%s %q: %w", _headerAttempt, text, errHeader)
	}
	return ledger.Ref{Node: parts[0], Epoch: epoch, Seq: seq}, nil
}

func formatHint(h route.Hint) string {
	return strings.Join([]string{
		formatMicros(h.Median),
		strconv.FormatFloat(h.FailureRate, 'f', 2, 64),
		formatMicros(h.BodyTimePerMiB),
	}, " ")
}

// parseHint takes a hint; nodes of an earlier version tell no pace.
func parseHint(text string) (route.Hint, bool) {
	fields := strings.Fields(text)
	if len(fields) < 2 {
		return route.Hint{}, false
	}
	median, ok := parseMicros(fields[0])
	failing, err := strconv.ParseFloat(fields[1], 64)
	hint := route.Hint{Median: median, FailureRate: failing}
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
