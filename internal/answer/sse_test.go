package answer

import (
	"bytes"
	"math/rand"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// parseAll feeds input to a parser in pieces of piece() bytes and returns its events with
// their data copied.
func parseAll(input []byte, maxEvent int, piece func() int) ([]Event, error) {
	p := Parser{MaxEvent: maxEvent}
	var events []Event
	for {
		ev, ok, err := p.Next()
		if err != nil {
			return events, err
		}
		if ok {
			ev.Data = bytes.Clone(ev.Data)
			events = append(events, ev)
			continue
		}
		if len(input) == 0 {
			return events, nil
		}
		space, err := p.Space()
		if err != nil {
			return events, err
		}
		n := copy(space[:min(len(space), max(piece(), 1))], input)
		p.Advance(n)
		input = input[n:]
	}
}

// parseReference parses the whole input by the steps of the standard. Parser must return
// the same events.
func parseReference(input string) []Event {
	input = strings.TrimPrefix(input, string(utf8BOM))
	input = strings.ReplaceAll(input, "\r\n", "\n")
	lines := strings.Split(strings.ReplaceAll(input, "\r", "\n"), "\n")
	var events []Event
	var data []string
	var offset uint64
	for _, line := range lines[:len(lines)-1] { // the last line has no terminator
		if line == "" {
			if data != nil {
				ev := Event{Offset: offset, Data: []byte(strings.Join(data, "\n"))}
				if string(ev.Data) == "[DONE]" {
					ev = Event{Done: true}
				}
				events = append(events, ev)
			}
			data, offset = nil, 0
			continue
		}
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "data":
			data = append(data, value)
		case "id":
			offset = parseOffset([]byte(value))
		}
	}
	return events
}

func equalEvents(a, b []Event) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Offset != b[i].Offset || a[i].Done != b[i].Done || !bytes.Equal(a[i].Data, b[i].Data) {
			return false
		}
	}
	return true
}

func TestParserReadsEvents(t *testing.T) {
	for _, c := range []struct {
		name, input string
		want        []Event
	}{
		{"one event", "id: 1\ndata: a\n\n", []Event{{Offset: 1, Data: []byte("a")}}},
		{"no number", "data: a\n\n", []Event{{Data: []byte("a")}}},
		{"number does not carry over", "id: 1\ndata: a\n\ndata: b\n\n", []Event{{Offset: 1, Data: []byte("a")}, {Data: []byte("b")}}},
		{"end", "data: [DONE]\n\n", []Event{{Done: true}}},
		{"CR LF", "id: 2\r\ndata: a\r\n\r\n", []Event{{Offset: 2, Data: []byte("a")}}},
		{"CR alone", "id: 2\rdata: a\r\r", []Event{{Offset: 2, Data: []byte("a")}}},
		{"several data lines", "data: a\ndata: b\ndata:c\n\n", []Event{{Data: []byte("a\nb\nc")}}},
		{"comments and other fields", ": ping\n\nevent: x\nretry: 5\ndata: a\n\n", []Event{{Data: []byte("a")}}},
		{"byte order mark", "\xef\xbb\xbfdata: a\n\n", []Event{{Data: []byte("a")}}},
		{"number too large", "id: 99999999999999999999\ndata: a\n\n", []Event{{Data: []byte("a")}}},
		{"not a number", "id: 1x\ndata: a\n\n", []Event{{Data: []byte("a")}}},
		{"empty data", "data\n\n", []Event{{}}},
		{"cut inside an event", "data: a\n\ndata: b\n", []Event{{Data: []byte("a")}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.True(equalEvents(parseReference(c.input), c.want))
			for size := 1; size <= len(c.input); size++ {
				got, err := parseAll([]byte(c.input), 0, func() int { return size })
				is.NoErr(err)
				is.True(equalEvents(got, c.want))
			}
		})
	}
}

func TestParserBoundsMemory(t *testing.T) {
	for _, c := range []struct{ name, input string }{
		{"line without end", "data: " + strings.Repeat("a", 10_000)},
		{"many data lines", strings.Repeat("data: aaaaaaaa\n", 2_000)},
		{"number line without end", "id: " + strings.Repeat("1", 10_000)},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := parseAll([]byte(c.input), 5_000, func() int { return 100 })
			is.New(t).True(err != nil)
		})
	}
}

func TestParserKeepsBufferSmallOverComments(t *testing.T) {
	is := is.New(t)
	got, err := parseAll([]byte(strings.Repeat(": ping\n", 5_000)+"data: a\n\n"), 5_000, func() int { return 1000 })
	is.NoErr(err)
	is.Equal(len(got), 1)
}

func FuzzParser(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\ndata: [DONE]\n\n"), int64(1))
	f.Add([]byte("data: a\r\ndata: b\r\r\n\n: c\nid: 7\rdata\n\n"), int64(2))
	f.Add([]byte("\xef\xbb\xbfdata:a\n\n\n\ndata"), int64(3))
	f.Fuzz(func(t *testing.T, input []byte, seed int64) {
		rng := rand.New(rand.NewSource(seed))
		got, err := parseAll(input, 1<<20, func() int { return rng.Intn(9) })
		if err != nil {
			t.Fatal(err)
		}
		if want := parseReference(string(input)); !equalEvents(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

func FuzzAppendEvent(f *testing.F) {
	f.Add([]byte("{}"), uint64(1))
	f.Add([]byte("a\nb\n"), uint64(0))
	f.Fuzz(func(t *testing.T, data []byte, offset uint64) {
		if bytes.ContainsRune(data, '\r') || string(data) == "[DONE]" {
			return // AppendEvent doesn't support these
		}
		want := []Event{{Offset: offset, Data: data}, {Done: true}}
		written := AppendDone(AppendEvent(nil, want[0]))
		got, err := parseAll(written, 1<<20, func() int { return 7 })
		if err != nil || !equalEvents(got, want) {
			t.Fatalf("got %v, %v, want %v", got, err, want)
		}
	})
}
