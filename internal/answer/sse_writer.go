package answer

import (
	"bytes"
	"strconv"
)

// AppendEvent appends ev as a Server-Sent Event to dst. Data must not contain CR; each
// LF in it starts another data line.
func AppendEvent(dst []byte, ev Event) []byte {
	if ev.Done {
		return AppendDone(dst)
	}
	if ev.Offset > 0 {
		dst = append(dst, "id: "...)
		dst = strconv.AppendUint(dst, ev.Offset, 10)
		dst = append(dst, '\n')
	}
	return AppendData(dst, ev.Data)
}

// AppendData appends an event that has only data to dst.
func AppendData(dst, data []byte) []byte {
	for {
		line, rest, more := bytes.Cut(data, newline)
		dst = append(dst, "data: "...)
		dst = append(dst, line...)
		dst = append(dst, '\n')
		if !more {
			return append(dst, '\n')
		}
		data = rest
	}
}

// AppendDone appends the event that ends a stream to dst.
func AppendDone(dst []byte) []byte { return append(dst, "data: [DONE]\n\n"...) }

var newline = []byte("\n")
