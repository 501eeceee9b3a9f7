package exchange

import (
	"net/http"
	"strconv"
)

// Request is an HTTP request to an upstream.
type Request struct {
	Method string
	// Target is the request target (RFC 9112, section 3.2).
	Target string
	Host   string
	// Header holds end-to-end fields only.
	Header http.Header
	Body   []byte
	// Matches reports whether an answer belongs to this request; nil accepts all.
	Matches func(http.Header) bool
}

// encode appends the request in wire form.
func (r *Request) encode(b []byte) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, value := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, value...)
			b = append(b, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, r.Body...)
}
