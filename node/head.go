package node

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	_minFinalStatus = 200
	_maxStatus      = 599
)

// errInvalidHead reports a response that is none in the protocol.
var errInvalidHead = errors.New("invalid response head")

// isFinalStatus reports whether a status may end an exchange. 101 may not, since no
// request asks for another protocol.
func isFinalStatus(status int) bool {
	return status >= _minFinalStatus && status <= _maxStatus
}

// checkHead returns an error for a response whose head net/http accepts, but that is none
// in the protocol.
func checkHead(r *http.Response) error {
	if !isFinalStatus(r.StatusCode) {
		return errors.Errorf("status %d: %w", r.StatusCode, errInvalidHead)
	}
	if r.ProtoMajor != 1 {
		return errors.Errorf("version %d.%d: %w", r.ProtoMajor, r.ProtoMinor, errInvalidHead)
	}
	for name := range r.Header {
		// Such a field may be one that delimits the body.
		if strings.Contains(name, " ") {
			return errors.Errorf("field name %.40q: %w", name, errInvalidHead)
		}
	}
	return nil
}
