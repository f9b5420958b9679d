package heads

import "bytes"

// What a head is charged. Measured for net/http of Go 1.26: a field of a parsed head takes
// up to 103 bytes beside its text, a copy of the map of fields 84 and the list by which a
// transport sorts them 40. An ingress has one copy and an attempt's list at a time.
const (
	_lineCost = 320 // bytes
	_byteCost = 6   // for each byte of text, which hops read and write
)

// _readBuffer is the size in bytes of the buffer through which net/http reads. What is
// read with a larger one belongs to a body.
const _readBuffer = 4 << 10

// count is a number of bytes and of the line ends among them.
type count struct{ bytes, lines int }

func (c count) plus(other count) count {
	return count{c.bytes + other.bytes, c.lines + other.lines}
}

// cost returns the charge for a head, which is more than it takes in memory.
func (c count) cost() int64 {
	return int64(c.bytes)*_byteCost + int64(c.lines)*_lineCost
}

// scanner counts the heads in the bytes that are read from a connection. It does not
// interpret those of HTTP/1: it is told when a head is expected, and what it takes for the
// end of a head only decides whether bytes count for this one or for the next.
type scanner struct {
	inHead bool
	head   count // of the head that is expected or has been read
	text   bool  // a line that is not empty has been read
	blank  bool  // the present line is empty so far

	// ahead and older are what was read after the head, in parts of _readBuffer bytes at
	// most. The buffer of net/http may hold as much of the next head.
	ahead, older count

	preface int     // bytes of the connection preface of HTTP/2 that have been read
	frames  *frames // set for a connection with HTTP/2
}

// newScanner returns the scanner of a new connection, which expects a head.
func newScanner() scanner { return scanner{inHead: true, blank: true} }

// expect begins a head, of which net/http may already have buffered a part.
func (s *scanner) expect() {
	*s = scanner{inHead: true, blank: true, head: s.ahead.plus(s.older), preface: _noPreface}
}

// cost returns the charge for the heads that have been read and not been parsed, or whose
// request runs with HTTP/1.
func (s *scanner) cost() int64 {
	if s.frames != nil {
		return s.frames.cost
	}
	return s.head.cost()
}

// read counts bytes that were read with a buffer of a size, and reports whether the cost
// may have changed.
func (s *scanner) read(p []byte, size int) bool {
	if s.frames != nil {
		return s.frames.read(p)
	}
	if s.preface != _noPreface {
		if n := s.readPreface(p); s.frames != nil {
			return s.frames.read(p[n:])
		}
	}
	if s.inHead {
		// net/http reads on only if the head has not ended, whatever was taken for its end.
		s.ahead, s.older = count{}, count{}
		n := s.readHead(p)
		s.ahead = countOf(p[n:])
		return true
	}
	if size > _readBuffer {
		s.ahead, s.older = count{}, count{}
		return false
	}
	c := countOf(p)
	if s.ahead.bytes+c.bytes > _readBuffer {
		s.ahead, s.older = count{}, s.ahead
	}
	s.ahead = s.ahead.plus(c)
	return false
}

// readPreface compares the first bytes of a connection with the preface of HTTP/2, and
// returns how many of them belong to it.
func (s *scanner) readPreface(p []byte) int {
	n := min(len(p), len(_http2Preface)-s.preface)
	if string(p[:n]) != _http2Preface[s.preface:s.preface+n] {
		s.preface = _noPreface
		return 0
	}
	s.preface += n
	if s.preface == len(_http2Preface) {
		s.frames = &frames{}
	}
	return n
}

// readHead counts bytes up to the end of the head and returns how many they are.
func (s *scanner) readHead(p []byte) int {
	read := 0
	for read < len(p) {
		line := p[read:]
		end := bytes.IndexByte(line, '\n')
		if end >= 0 {
			line = line[:end]
		}
		if len(line) > 1 || len(line) == 1 && line[0] != '\r' {
			s.blank, s.text = false, true
		}
		if end < 0 {
			s.head.bytes += len(line)
			return len(p)
		}
		read += end + 1
		s.head = s.head.plus(count{end + 1, 1})
		if s.blank && s.text {
			return read
		}
		s.blank = true
	}
	return read
}

func countOf(p []byte) count { return count{len(p), bytes.Count(p, []byte{'\n'})} }
