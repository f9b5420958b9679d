package order

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	// _byteCost and _lineCost estimate what the parsed head of a request and its copies
	// take up. A line as short as "ab:" was measured to take about 200 bytes parsed, and an
	// exchange makes one copy of the header.
	_byteCost = 2
	_lineCost = 400
)

// Scanner finds the end of a head, its first empty line, however the bytes are cut into
// reads. It finds the end where http.ReadRequest does.
type Scanner struct{ state scanState }

type scanState byte

const (
	_inLine    scanState = iota // or before the first byte
	_lineBegun                  // after LF
	_crAtBegin                  // after LF CR
)

// Scan takes the next bytes of a head and returns how many of them belong to it and
// whether it ends with them.
func (s *Scanner) Scan(b []byte) (int, bool) {
	for i := 0; i < len(b); i++ {
		switch {
		case s.state == _inLine:
			lf := bytes.IndexByte(b[i:], '\n')
			if lf < 0 {
				return len(b), false
			}
			i += lf
			s.state = _lineBegun
		case b[i] == '\n':
			s.state = _inLine
			return i + 1, true
		case b[i] == '\r' && s.state == _lineBegun:
			s.state = _crAtBegin
		default:
			s.state = _inLine
		}
	}
	return len(b), false
}

// Cost estimates what a head takes up once it is parsed, in bytes.
func Cost(head []byte) int64 {
	return int64(_byteCost*len(head) + _lineCost*bytes.Count(head, []byte("\n")))
}

// framingHeaders say where a request ends or what becomes of its connection.
var framingHeaders = []string{
	"Content-Length", "Transfer-Encoding", "Expect", "Upgrade", "Trailer", "Te", "Proxy-Connection", "Http2-Settings",
}

// Parse parses a whole head of a request that may start before its turn. It returns
// false unless the request is a GET or HEAD whose head leaves no doubt about its end.
func Parse(head []byte) (*http.Request, bool) {
	if !plainLines(head) {
		return nil, false
	}
	source := bytes.NewReader(head)
	reader := bufio.NewReader(source)
	r, err := http.ReadRequest(reader)
	if err != nil || r.Method != http.MethodGet && r.Method != http.MethodHead || r.Proto != "HTTP/1.1" {
		return nil, false
	}
	if r.Body != http.NoBody && r.Body != nil || r.ContentLength != 0 || len(r.TransferEncoding) > 0 || r.Close || reader.Buffered()+source.Len() > 0 {
		return nil, false
	}
	if !strings.HasPrefix(r.RequestURI, "/") || r.Host == "" || !httpguts.ValidHostHeader(r.Host) {
		return nil, false
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return nil, false
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return nil, false
			}
		}
	}
	for _, name := range framingHeaders {
		if _, ok := r.Header[name]; ok {
			return nil, false
		}
	}
	for _, value := range r.Header["Connection"] {
		if !strings.EqualFold(value, "keep-alive") {
			return nil, false
		}
	}
	return r, true
}

// plainLines reports whether each line of a head ends with CRLF, none continues the line
// before it, and there is no other control character than tabs.
func plainLines(head []byte) bool {
	for rest := head; len(rest) > 0; {
		line, after, ok := bytes.Cut(rest, []byte("\r\n"))
		if !ok || len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			return false
		}
		for _, c := range line {
			if c < ' ' && c != '\t' || c == 0x7f {
				return false
			}
		}
		if len(line) == 0 {
			return len(after) == 0 && len(rest) < len(head)
		}
		rest = after
	}
	return false
}
