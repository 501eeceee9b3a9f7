package upstream

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A delay is passed on in milliseconds of 32 bits.
func TestRetryAfter(t *testing.T) {
	cases := map[string]time.Duration{
		"": 0, "soon": 0, "-1": 0, "2": 2 * time.Second, "86400": maxRetryAfter, "86401": maxRetryAfter, "4294968": maxRetryAfter,
		"9223372037": maxRetryAfter, "9223372036854775807": maxRetryAfter, "9223372036854775808": maxRetryAfter, "-9223372036854775809": 0,
	}
	for field, want := range cases {
		t.Run(field, func(t *testing.T) {
			is.New(t).Equal(retryAfter(http.Header{"Retry-After": {field}}), want)
		})
	}
}
