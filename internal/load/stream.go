package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/standin"
)

// streamCheck compares a stream with the expected answer. It accepts any split of
// the text into events.
type streamCheck struct {
	expected     string
	id           string // of the first chunk
	offset       int    // bytes of expected received so far
	events       int    // events with text
	misdelivered bool
	failed       bool // an error event arrived
	done         bool // the end event arrived
	usage        standin.Usage
}

// chunk is the part of a stream's JSON that the check reads.
type chunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *standin.Usage  `json:"usage"`
	Error json.RawMessage `json:"error"`
}

var (
	dataPrefix    = []byte("data: ")
	doneMark      = []byte("[DONE]")
	contentMark   = []byte(`"content":"`)
	idMark        = []byte(`{"id":"`)
	usageMark     = []byte(`"usage":{`)
	errorMark     = []byte(`"error"`)
	stringEndMark = byte('"')
)

// checkLine checks one line of the stream. It reports whether the line contains text of
// the answer.
func (s *streamCheck) checkLine(line []byte) bool {
	data, ok := bytes.CutPrefix(line, dataPrefix)
	if !ok || s.done {
		s.misdelivered = s.misdelivered || ok // data after the end
		return false
	}
	if bytes.Equal(data, doneMark) {
		s.done = true
		return false
	}
	if id, content, ok := scanChunk(data); ok {
		s.checkText(id, content)
		return true
	}
	return s.checkChunk(data)
}

// scanChunk extracts the ID and text of a plain chunk without decoding its JSON,
// which costs less processor time. It returns false for any chunk that may hold
// more.
func scanChunk(data []byte) (id, content []byte, ok bool) {
	rest, ok := bytes.CutPrefix(data, idMark)
	if !ok || bytes.IndexByte(data, '\\') >= 0 || bytes.Contains(data, usageMark) || bytes.Contains(data, errorMark) {
		return nil, nil, false
	}
	id, rest, ok = bytes.Cut(rest, []byte{stringEndMark})
	if !ok || bytes.Count(rest, contentMark) != 1 {
		return nil, nil, false
	}
	_, rest, _ = bytes.Cut(rest, contentMark)
	content, _, ok = bytes.Cut(rest, []byte{stringEndMark})
	return id, content, ok
}

// checkChunk checks a chunk by decoding its JSON. It reports whether the chunk contains
// text of the answer.
func (s *streamCheck) checkChunk(data []byte) bool {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		s.misdelivered = true
		return false
	}
	if c.Error != nil {
		s.failed = true
		return false
	}
	if c.Usage != nil {
		s.usage = *c.Usage
	}
	var content strings.Builder
	for _, choice := range c.Choices {
		content.WriteString(choice.Delta.Content)
	}
	s.checkText([]byte(c.ID), []byte(content.String()))
	return content.Len() > 0
}

// checkText compares the text of one event with the expected text at the offset, and its
// ID with that of the first event.
func (s *streamCheck) checkText(id, content []byte) {
	if s.id == "" {
		s.id = string(id)
	}
	if string(id) != s.id {
		s.misdelivered = true
	}
	if len(content) == 0 {
		return
	}
	s.events++
	if !strings.HasPrefix(s.expected[s.offset:], string(content)) {
		s.misdelivered = true
		return
	}
	s.offset += len(content)
}

// verdict returns the verdict of a stream that has ended.
func (s *streamCheck) verdict() Verdict {
	switch {
	case s.misdelivered:
		return VerdictMisdelivered
	case s.failed:
		return VerdictFailed
	case !s.done || s.offset < len(s.expected):
		return VerdictLost
	}
	return VerdictComplete
}

// readStream checks a stream to its end and returns the arrival time of each event with
// text.
func readStream(body io.Reader, check *streamCheck, now func() time.Duration) (arrivals []time.Duration) {
	reader := bufio.NewReaderSize(body, 4096)
	for {
		line, err := reader.ReadSlice('\n')
		if check.checkLine(bytes.TrimRight(line, "\r\n")) {
			arrivals = append(arrivals, now())
		}
		if err != nil {
			return arrivals
		}
	}
}
