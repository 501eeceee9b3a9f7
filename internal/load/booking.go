package load

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"github.com/google/uuid"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/standin"
)

// booking collects the results of all requests with one idempotency key.
type booking struct {
	recorder *recorder // of the target that the requests went to
	answers  []string  // the complete ones
	rejected int
	unknown  int // other verdicts, after which the booking may have run
}

// bookings collects the results of all bookings of a run, by idempotency key, for the
// check at its end. add is safe for concurrent use.
type bookings struct {
	mu   sync.Mutex
	keys map[string]*booking
}

func newBookings() *bookings { return &bookings{keys: make(map[string]*booking)} }

// add records the result of one request with this key. The answer counts only if it is
// complete.
func (b *bookings) add(key string, rec *recorder, res result, answer string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k, ok := b.keys[key]
	if !ok {
		k = &booking{recorder: rec}
		b.keys[key] = k
	}
	switch res.verdict {
	case VerdictComplete:
		k.answers = append(k.answers, answer)
	case VerdictRejected:
		k.rejected++
	default:
		k.unknown++
	}
}

// sendBooking sends one booking and its repeats with the same idempotency key
// concurrently, each to a random ready address. It records every result. key is the
// workspace's key.
func (c *client) sendBooking(ctx context.Context, t *target, key string) {
	id := uuid.NewString()
	body, _ := json.Marshal(map[string]string{"bundle": id})
	var wg sync.WaitGroup
	for range 1 + max(c.cfg.Repeats, 0) {
		url := t.pickURL()
		wg.Go(func() {
			res, answer := c.sendBookingOnce(ctx, url, key, id, body)
			t.rec.add(res)
			t.bookings.add(id, t.rec, res, answer)
		})
	}
	wg.Wait()
}

// sendBookingOnce sends one booking with the idempotency key id. It returns the result and,
// if the answer is JSON, the answer.
func (c *client) sendBookingOnce(ctx context.Context, url, key, id string, body []byte) (result, string) {
	headers := map[string]string{standin.HeaderIdempotencyKey: id, "Content-Type": "application/json"}
	res, data := c.callService(ctx, kindBooking, http.MethodPost, url, c.cfg.BookingPath, key, headers, body)
	if data == nil {
		return res, ""
	}
	var got standin.Booking
	if err := json.Unmarshal(data, &got); err != nil {
		res.verdict, res.detail = VerdictLost, err.Error()
		return res, ""
	}
	sum := sha256.Sum256(body)
	if got.BodySHA256 != hex.EncodeToString(sum[:]) || got.Path != c.cfg.BookingPath || got.Key != id {
		res.verdict, res.detail = VerdictMisdelivered, fmt.Sprintf("booking %s: answer %+v has another body digest, path or key", id, got)
	}
	return res, string(data)
}

// verify compares the answers for each key with the runs that the services counted,
// and records the violations.
func (b *bookings) verify(runs map[string]int) {
	for key, k := range b.keys {
		n := runs[key]
		switch {
		case n > 1:
			k.recorder.addViolation(VerdictDuplicated, fmt.Sprintf("key %s ran %d times, want at most once", key, n))
		case n == 0 && len(k.answers) > 0:
			k.recorder.addViolation(VerdictLost, fmt.Sprintf("key %s was answered but never ran", key))
		case n == 1 && len(k.answers) == 0 && k.unknown == 0:
			k.recorder.addViolation(VerdictFalseRejection, fmt.Sprintf("key %s ran although all %d of its requests were rejected as not run", key, k.rejected))
		}
		for _, answer := range k.answers {
			if answer != k.answers[0] {
				k.recorder.addViolation(VerdictMisdelivered, fmt.Sprintf("key %s: two of its complete answers differ", key))
			}
		}
	}
}

// fetchRuns returns the runs of each key, summed over all services.
func (c *client) fetchRuns(ctx context.Context) (map[string]int, error) {
	total := make(map[string]int)
	for _, url := range c.cfg.Runs {
		resp, cancel, err := c.send(ctx, http.MethodGet, url+"/standin/runs", "", nil, nil)
		if err != nil {
			cancel()
			return nil, fleet.At(err, "load.runs", url)
		}
		var got standin.Runs
		err = json.NewDecoder(resp.Body).Decode(&got)
		_ = resp.Body.Close()
		cancel()
		if err != nil {
			return nil, fleet.At(err, "load.runs", url)
		}
		for key, n := range got.Runs {
			total[key] += n
		}
	}
	return total, nil
}
