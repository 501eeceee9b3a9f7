package exchange

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
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
	// Matches reports whether an answer belongs to this request; nil accepts all, on a new
	// connection.
	Matches func(http.Header) bool
	// Trail is set for a request that may be sent more than once. It is the same for all
	// exchanges of the request.
	Trail *Trail
	// Once is set for a request that may run at most once. A new connection is watched for a short time
	// before it carries the request: an upstream that resets it after bytes were written leaves
	// open whether it ran the request.
	Once bool
	// Limit bounds the connections to the upstream's address.
	Limit ConnLimit
}

// ConnLimit bounds the connections of a pool to one address, idle ones included. The zero value sets
// no bound.
type ConnLimit struct {
	// Open is the most connections that may be open at a time.
	Open int
	// Kept is the most of them that stay open when they are idle, and above which an idle connection to
	// another address of the group is closed for a new one.
	Kept int
	// Group names the upstreams that serve the same requests.
	Group string
}

// mayReuse reports whether a connection that has carried other requests may carry this one.
func (r *Request) mayReuse(c *conn) bool { return r.Matches != nil && !r.Trail.holds(c) }

// Trail holds the connections that have carried a request. None of them carries it again: the
// upstream may repeat the answer to the earlier exchange, which matches the request as well.
// The zero value is empty. It is safe for concurrent use.
type Trail struct {
	mu    sync.Mutex
	conns []*conn
}

func (t *Trail) add(c *conn) {
	if t == nil {
		return
	}
	t.mu.Lock()
	t.conns = append(t.conns, c)
	t.mu.Unlock()
}

func (t *Trail) holds(c *conn) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Contains(t.conns, c)
}

// encodeHead appends the request in wire form up to its body.
func (r *Request) encodeHead(b []byte) []byte {
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
			b = appendValue(b, value)
			b = append(b, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// appendValue appends the value of a field, with spaces in place of control characters, which
// would end the field.
func appendValue(b []byte, value string) []byte {
	start := len(b)
	b = append(b, value...)
	for i, c := range b[start:] {
		if c < ' ' && c != '\t' || c == 0x7f {
			b[start+i] = ' '
		}
	}
	return b
}
