package node

import (
	"crypto/subtle"
	"maps"
	"net/http"
	"strconv"
	"strings"

	"github.com/damaskpitch/damaskpitch/probe"
	"github.com/damaskpitch/damaskpitch/retry"
)

const (
	// _headerPacked carries the internal headers of an attempt, or of its response, as one
	// field: each has a letter, its value in short form and a separator. Most attempts are
	// smaller than their internal headers would be.
	_headerPacked    = _internalPrefix + "X"
	_packedSeparator = ';'
	_packedBase      = 36 // of numbers
	// _packedSize is the initial size in bytes of a packed header. Most fit.
	_packedSize = 256
)

// packedForm is the short form of a header's value.
type packedForm uint8

const (
	_packedText   packedForm = iota
	_packedNumber            // decimal, at most 64 bits
	_packedHex               // hexadecimal, at most 64 bits
	_packedRef               // reference to an attempt
	_packedFlag              // "1"
	_packedWord              // one of few words
)

// packedField is a header that is packed.
type packedField struct {
	name  string
	code  byte
	form  packedForm
	words []string // of _packedWord, each sent as its index
	skip  string   // value that means the same as no header
}

var packedFields = []packedField{
	{name: _headerSecret, code: 'S'},
	{name: _headerAttempt, code: 'a', form: _packedRef},
	{name: _headerOwner, code: 'o', form: _packedNumber},
	{name: _headerInstance, code: 'i'},
	{name: _headerTimeLeft, code: 'l', form: _packedNumber},
	{name: _headerHint, code: 'h'},
	{name: _headerExecution, code: 'e', form: _packedWord, words: []string{string(retry.Executed), string(retry.NotExecuted), string(retry.Unknown)}},
	{name: _headerLoad, code: 'b'},
	{name: _headerLatency, code: 't', form: _packedNumber},
	{name: _headerBodyTime, code: 'w', form: _packedNumber},
	{name: _headerFingerprint, code: 'f', form: _packedHex},
	{name: _headerUnhealthy, code: 'u', form: _packedFlag},
	{name: _headerCallerService, code: 's'},
	{name: _headerMaxWait, code: 'm', form: _packedNumber, skip: "0"},
	{name: _headerWaitLeft, code: 'v', form: _packedNumber, skip: "0"},
	{name: _headerAdmission, code: 'p', form: _packedWord, words: []string{string(probe.AdmitIfFree), string(probe.AdmitQueued), string(probe.AdmitAny)}},
	{name: _headerOnce, code: '1', form: _packedFlag},
	{name: _headerFinalAttempt, code: 'z', form: _packedFlag},
	{name: _headerRetry, code: 'y', form: _packedFlag},
	{name: _headerRepeatShare, code: 'd'},
	{name: _headerRefusesFor, code: 'g', form: _packedNumber},
	{name: _headerReachedInstance, code: 'x', form: _packedFlag},
	{name: _headerRoute, code: 'r'},
	{name: _headerPriority, code: 'q', form: _packedNumber, skip: "0"},
	{name: _headerTarget, code: 'j', form: _packedNumber},
	{name: _headerReports, code: 'n'},
	{name: _headerCustomer, code: 'C'},
	{name: _headerFar, code: 'F', form: _packedFlag},
	{name: _headerMaxRate, code: 'k'},
	{name: HeaderCaller, code: 'c'},
	{name: HeaderReason, code: 'R'},
}

// packedByCode finds a packed header by its letter.
var packedByCode = func() (byCode [256]*packedField) {
	for i, f := range packedFields {
		byCode[f.code] = &packedFields[i]
	}
	return byCode
}()

// packHeader replaces the internal headers by one, as far as they have a short form.
func packHeader(h http.Header) {
	packed := make([]byte, 0, _packedSize)
	for i := range packedFields {
		f := &packedFields[i]
		values := h[f.name]
		if len(values) != 1 {
			continue
		}
		value := values[0]
		if value == "" || value == f.skip {
			delete(h, f.name)
			continue
		}
		start := len(packed)
		if start > 0 {
			packed = append(packed, _packedSeparator)
		}
		longer, ok := f.appendShort(append(packed, f.code), value)
		if !ok {
			packed = packed[:start]
			continue
		}
		packed = longer
		delete(h, f.name)
	}
	h[_headerPacked] = []string{string(packed)}
}

// unpackHeader restores the internal headers, and reports whether they were packed.
func unpackHeader(h http.Header) bool {
	packed := h[_headerPacked]
	if len(packed) != 1 {
		return false
	}
	delete(h, _headerPacked)
	values := make([]string, 0, min(len(packedFields), 1+strings.Count(packed[0], string(_packedSeparator))))
	for part := range strings.SplitSeq(packed[0], string(_packedSeparator)) {
		if part == "" {
			continue
		}
		f := packedByCode[part[0]]
		if f == nil {
			continue
		}
		if value, ok := f.restore(part[1:]); ok {
			values = append(values, value)
			h[f.name] = values[len(values)-1 : len(values) : len(values)]
		}
	}
	return true
}

// appendShort appends the short form of a value, or returns false if it has none from which
// restore makes the same value.
func (f *packedField) appendShort(to []byte, value string) ([]byte, bool) {
	switch f.form {
	case _packedNumber:
		return appendNumber(to, value, 10)
	case _packedHex:
		return appendNumber(to, value, 16)
	case _packedRef:
		head, seq, ok := cutLast(value)
		node, epoch, ok2 := cutLast(head)
		if !ok || !ok2 || !isPackableText(node) {
			return to, false
		}
		to = append(append(to, node...), '.')
		if to, ok = appendNumber(to, epoch, 10); !ok {
			return to, false
		}
		return appendNumber(append(to, '.'), seq, 10)
	case _packedFlag:
		return to, value == "1"
	case _packedWord:
		for i, word := range f.words {
			if word == value {
				return strconv.AppendInt(to, int64(i), 10), true
			}
		}
		return to, false
	}
	return append(to, value...), isPackableText(value)
}

// appendNumber appends a number that is given in another base, or returns false if the text
// is not how this base writes a number of 64 bits.
func appendNumber(to []byte, text string, base int) ([]byte, bool) {
	n, err := strconv.ParseUint(text, base, 64)
	if err != nil || text[0] == '0' && len(text) > 1 || strings.ToLower(text) != text {
		return to, false
	}
	return strconv.AppendUint(to, n, _packedBase), true
}

// restore returns the value of a short form, or false if it is malformed.
func (f *packedField) restore(short string) (string, bool) {
	switch f.form {
	case _packedNumber:
		return restoreNumber(short, 10)
	case _packedHex:
		return restoreNumber(short, 16)
	case _packedRef:
		head, seq, ok := cutLast(short)
		node, epoch, ok2 := cutLast(head)
		epoch, ok3 := restoreNumber(epoch, 10)
		seq, ok4 := restoreNumber(seq, 10)
		return node + "." + epoch + "." + seq, ok && ok2 && ok3 && ok4
	case _packedFlag:
		return "1", short == ""
	case _packedWord:
		i, err := strconv.Atoi(short)
		if err != nil || i < 0 || i >= len(f.words) {
			return "", false
		}
		return f.words[i], true
	}
	return short, short != ""
}

// restoreNumber returns a packed number in a base, or false if the text is none of 64 bits.
func restoreNumber(text string, base int) (string, bool) {
	n, err := strconv.ParseUint(text, _packedBase, 64)
	return strconv.FormatUint(n, base), err == nil
}

// cutLast cuts a text around its last dot.
func cutLast(text string) (before, after string, found bool) {
	i := strings.LastIndexByte(text, '.')
	if i < 0 {
		return "", "", false
	}
	return text[:i], text[i+1:], true
}

// isPackableText reports whether a text can be sent within a packed header as it is.
func isPackableText(text string) bool {
	if text == "" || text[0] == ' ' || text[len(text)-1] == ' ' {
		return false
	}
	for i := range len(text) {
		if c := text[i]; c < ' ' || c > '~' || c == _packedSeparator {
			return false
		}
	}
	return true
}

// packAttempt brings the header of an attempt into the form that is sent.
func packAttempt(h http.Header) {
	packHeader(h)
	if len(h["User-Agent"]) == 0 {
		h["User-Agent"] = nil // the transport sends a default otherwise
	}
}

// packedWriter packs the internal headers of the responses to an attempt that had them
// packed, and leaves out what the ingress adds itself.
type packedWriter struct {
	http.ResponseWriter
	requestID string // name of the header with the request's ID
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w packedWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// WriteHeader writes the header. An interim response has no fields.
func (w packedWriter) WriteHeader(status int) {
	h := w.Header()
	if status < _minFinalStatus {
		saved := maps.Clone(h)
		clear(h)
		w.ResponseWriter.WriteHeader(status)
		maps.Copy(h, saved)
		return
	}
	packHeader(h)
	delete(h, w.requestID)
	if len(h["Date"]) == 0 {
		h["Date"] = nil
	}
	w.ResponseWriter.WriteHeader(status)
}

// isPeer reports whether the secret of an attempt is that of the fleet: the key, or the
// digest that nodes send since it is shorter.
func (s *Server) isPeer(secret string) bool {
	isDigest := subtle.ConstantTimeCompare([]byte(secret), []byte(s.peerDigest))
	isKey := subtle.ConstantTimeCompare([]byte(secret), []byte(s.cfg.Settings.Key))
	return isDigest|isKey == 1
}
