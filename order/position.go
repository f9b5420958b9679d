package order

// Position follows the bytes of a connection that a server is given, so that it is known
// where the next request begins. The server says what it has parsed.
type Position struct {
	phase   phase
	simple  bool // the request begins like GET or HEAD
	scanner Scanner
	given   int64
	extra   int64 // bytes given behind the head of a request that the server has not begun
	first   byte  // the first of these
	body    int64 // bytes of the body that have not been given
	end     int64 // of the request that the server has begun to serve
}

type phase byte

const (
	_between phase = iota // nothing of the next request has been given
	_inHead
	_headGiven // the server has not begun to serve the request
	_inBody
	_unknown
)

// Give takes the next bytes and returns how many of them to give to the server: nothing
// behind the head of a GET or HEAD, or of any request if always is set. Where a request has
// a body, the server usually reads it together with the head.
func (p *Position) Give(b []byte, always bool) int {
	n := 0
	for n < len(b) {
		rest := b[n:]
		switch p.phase {
		case _between:
			p.phase, p.scanner, p.extra = _inHead, Scanner{}, 0
			p.simple = rest[0] == 'G' || rest[0] == 'H'
			if rest[0] == '\r' || rest[0] == '\n' {
				// Servers skip empty lines in some places.
				p.phase = _unknown
			}
		case _inHead:
			end, found := p.scanner.Scan(rest)
			n += end
			if found {
				p.phase = _headGiven
			}
		case _headGiven:
			if n > 0 && (always || p.simple) {
				p.given += int64(n)
				return n
			}
			if p.extra == 0 {
				p.first = rest[0]
			}
			p.extra += int64(len(rest))
			n = len(b)
		case _inBody:
			part := min(p.body, int64(len(rest)))
			n += int(part)
			p.body -= part
			if p.body == 0 {
				p.phase = _between
			}
		case _unknown:
			n = len(b)
		}
	}
	p.given += int64(n)
	return n
}

// Begin says that the server begins to serve the request whose head was given, with a body
// of a length, -1 if it is not known.
func (p *Position) Begin(length int64) {
	p.end = p.given - p.extra + length
	switch {
	case p.phase == _headGiven && length == 0 && p.extra == 1:
		// net/http begins to read one byte ahead just before the request is served.
		p.phase = _between
		p.given--
		p.Give([]byte{p.first}, true)
	case p.phase != _headGiven || length < p.extra:
		p.phase = _unknown
	case length == p.extra:
		p.phase = _between
	default:
		p.phase, p.body = _inBody, length-p.extra
	}
}

// Lose says that it is no longer known where requests begin.
func (p *Position) Lose() {
	p.phase = _unknown
}

// Given returns the number of bytes that the server has been given.
func (p *Position) Given() int64 {
	return p.given
}

// End returns where the request ends that the server has begun to serve, if that is known.
func (p *Position) End() int64 {
	return p.end
}

// Known reports whether it is known where the next request begins.
func (p *Position) Known() bool {
	return p.phase != _unknown
}

// Between reports whether the next byte is the first one of a request.
func (p *Position) Between() bool {
	return p.phase == _between
}

// Ended reports whether nothing has been given behind the end of a request, or of a head
// that the server has not begun to serve.
func (p *Position) Ended() bool {
	return p.phase == _between && p.given > 0 || p.phase == _headGiven && p.extra == 0
}
