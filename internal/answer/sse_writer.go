package answer

import (
	"bytes"
	"strconv"
)

// AppendEvent appends ev as a Server-Sent Event to dst. Data must hold no CR;
// LF in it starts a further data line.
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

// AppendData appends an event that consists of data alone to dst.
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

// AppendDone appends the explicit end of a stream to dst.
func AppendDone(dst []byte) []byte { return append(dst, "data: [DONE]\n\n"...) }

var newline = []byte("\n")
