package answer

import (
	"bytes"
	"math"
)

// Bounds of a Parser.
const (
	// DefaultMaxEvent is the default bound in bytes on one event, including its field
	// names.
	DefaultMaxEvent = 256 << 10
	// minBuffer is the size in bytes of a parser's first buffer.
	minBuffer = 4 << 10
)

var (
	doneData = []byte("[DONE]")
	utf8BOM  = []byte("\xef\xbb\xbf")
)

// Parser incrementally parses Server-Sent Events (WHATWG HTML, section 9.2). It
// buffers at most one event and the bytes of one read, and allocates only while its
// buffer grows. The zero value is ready for use. It is not safe for concurrent use.
type Parser struct {
	// MaxEvent bounds one event in bytes; 0 means DefaultMaxEvent.
	MaxEvent int

	buf  []byte
	end  int // buf[:end] holds bytes that were read
	line int // start of the current line
	scan int // buf[line:scan] holds no line terminator

	hasData   bool
	dataStart int // buf[dataStart:dataEnd] is the only data line so far
	dataEnd   int
	joined    []byte // data of an event with several data lines
	isJoined  bool
	offset    uint64

	skipLF  bool // the last line ended with CR: a following LF belongs to it
	started bool // the first line was parsed
}

// Space returns a buffer of at least one byte to read into. It invalidates the data
// returned by Next. The error is of type ErrEventTooLarge.
func (p *Parser) Space() ([]byte, error) {
	p.compact()
	if p.end == len(p.buf) {
		if p.end >= p.maxEvent() {
			return nil, ErrEventTooLarge.New("event without an end after %d bytes exceeds the limit of %d bytes", p.end, p.maxEvent())
		}
		p.grow()
	}
	return p.buf[p.end:], nil
}

func (p *Parser) maxEvent() int {
	if p.MaxEvent <= 0 {
		return DefaultMaxEvent
	}
	return p.MaxEvent
}

// compact moves the bytes that are still needed to the start of the buffer.
func (p *Parser) compact() {
	keep := p.line
	if p.hasData && !p.isJoined {
		keep = p.dataStart
	}
	if keep == 0 {
		return
	}
	copy(p.buf, p.buf[keep:p.end])
	p.end -= keep
	p.line -= keep
	p.scan -= keep
	p.dataStart -= keep
	p.dataEnd -= keep
}

// grow doubles the buffer, up to MaxEvent.
func (p *Parser) grow() {
	size := min(max(2*len(p.buf), minBuffer), p.maxEvent())
	buf := make([]byte, size)
	copy(buf, p.buf[:p.end])
	p.buf = buf
}

// Advance adds n bytes that were read into the buffer returned by Space.
func (p *Parser) Advance(n int) { p.end += n }

// Next returns the next complete event, or false if more bytes are needed. The
// event's Data is valid until the next call of Next or Space. The error is of type
// ErrEventTooLarge.
func (p *Parser) Next() (Event, bool, error) {
	for {
		line, ok := p.nextLine()
		if !ok {
			return Event{}, false, nil
		}
		if len(line) > 0 {
			if err := p.parseField(line); err != nil {
				return Event{}, false, err
			}
			continue
		}
		if ev, ok := p.dispatch(); ok {
			return ev, true, nil
		}
	}
}

// nextLine returns the next line without its terminator: LF, CR LF or CR.
func (p *Parser) nextLine() ([]byte, bool) {
	if p.skipLF && p.line < p.end {
		p.skipLF = false
		if p.buf[p.line] == '\n' {
			p.line++
			p.scan = p.line
		}
	}
	rest := p.buf[p.scan:p.end]
	at := bytes.IndexByte(rest, '\n')
	if at >= 0 {
		rest = rest[:at]
	}
	if cr := bytes.IndexByte(rest, '\r'); cr >= 0 {
		at = cr
	}
	if at < 0 {
		p.scan = p.end
		return nil, false
	}
	stop := p.scan + at
	p.skipLF = p.buf[stop] == '\r'
	line := p.buf[p.line:stop]
	p.line = stop + 1
	p.scan = p.line
	if !p.started {
		p.started = true
		line = bytes.TrimPrefix(line, utf8BOM)
	}
	return line, true
}

// parseField parses one line that is not blank. It skips comments and fields other than
// data and id.
func (p *Parser) parseField(line []byte) error {
	name, value := line, []byte(nil)
	if colon := bytes.IndexByte(line, ':'); colon >= 0 {
		name, value = line[:colon], line[colon+1:]
		if len(value) > 0 && value[0] == ' ' {
			value = value[1:]
		}
	}
	switch string(name) {
	case "data":
		return p.appendDataLine(value)
	case "id":
		p.offset = parseOffset(value)
	}
	return nil
}

// appendDataLine adds the value of a data line to the event. The value must be the end of
// the line just returned by nextLine.
func (p *Parser) appendDataLine(value []byte) error {
	if !p.hasData {
		p.hasData = true
		p.dataEnd = p.line - 1
		p.dataStart = p.dataEnd - len(value)
		return nil
	}
	if !p.isJoined {
		p.isJoined = true
		p.joined = append(p.joined[:0], p.buf[p.dataStart:p.dataEnd]...)
	}
	if len(p.joined)+1+len(value) > p.maxEvent() {
		return ErrEventTooLarge.New("event with at least %d bytes of data exceeds the limit of %d bytes", len(p.joined)+1+len(value), p.maxEvent())
	}
	p.joined = append(p.joined, '\n')
	p.joined = append(p.joined, value...)
	return nil
}

// dispatch returns the event that a blank line ends, or false if it has no data. The
// standard calls this step dispatch.
func (p *Parser) dispatch() (Event, bool) {
	ev := Event{Offset: p.offset}
	has := p.hasData
	if p.isJoined {
		ev.Data = p.joined
	} else if has {
		ev.Data = p.buf[p.dataStart:p.dataEnd]
	}
	p.hasData, p.isJoined, p.offset = false, false, 0
	if !has {
		return Event{}, false
	}
	if bytes.Equal(ev.Data, doneData) {
		ev = Event{Done: true}
	}
	return ev, true
}

// parseOffset parses a decimal number. It returns 0, which means no offset, for anything
// else.
func parseOffset(value []byte) uint64 {
	if len(value) == 0 {
		return 0
	}
	var n uint64
	for _, c := range value {
		digit := uint64(c - '0')
		if c < '0' || c > '9' || n > (math.MaxUint64-digit)/10 {
			return 0
		}
		n = n*10 + digit
	}
	return n
}
