package gateway

import (
	"io"
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/telemetry"
)

const (
	// budgetDivisor makes the budget of held bytes out of the process's memory. What bodies of
	// requests may take beside it follows from it, see bodyBudget.
	budgetDivisor = 4
	// reserveDivisor makes the part of the budget that a holding may not take which is larger than
	// what is left: holdings that have failed for it are still to be released.
	reserveDivisor = 8
	// defaultMemory is the memory of a process in bytes whose limit is not known.
	defaultMemory = 256 << 20
)

// errBudget is the type of errors of answers that fail because the byte account is full.
var errBudget = fleet.Errors.NewType("gateway_byte_budget")

// heldPart tells what bytes are held for. It is a label of the metrics of held bytes.
type heldPart uint8

const (
	heldAnswer      heldPart = iota // complete answers being read or written
	heldFailed                      // failed answers, kept until another upstream serves the request
	heldStream                      // incomplete events of streams being relayed
	heldReplacement                 // what replacements have read of their answers
	heldParts
)

var heldPartNames = [heldParts]string{"answer", "failed_answer", "stream", "replacement"}

// byteAccount counts the bytes that a router holds of answers, and keeps them within a
// budget. What grows beyond the bytes that are left makes the largest holding fail, which may be
// itself: however many holdings are large, small ones find room. It is safe for concurrent use.
type byteAccount struct {
	budget  int64
	failed  [heldParts]metrics.Counter // holdings that failed
	mu      sync.Mutex
	total   int64
	peak    int64 // highest total so far
	parts   [heldParts]int64
	failing int64 // bytes of holdings that failed and are not yet released
	fixed   int64 // bytes of holdings without a fail function
	// holdings are those with bytes.
	holdings map[*holding]struct{}
}

// newByteAccount returns an account for a process that may use the given memory in bytes; 0 if that
// is not known. Its gauges are registered in the registry.
func newByteAccount(memory int64, registry metrics.Registry) *byteAccount {
	if memory <= 0 {
		memory = defaultMemory
	}
	b := &byteAccount{budget: memory / budgetDivisor, holdings: make(map[*holding]struct{})}
	gauge := func(value func() int64, name string, labels ...string) {
		metrics.NewRegisteredFunctionalGauge(telemetry.MetricName(name, labels...), registry, func() int64 {
			b.mu.Lock()
			defer b.mu.Unlock()
			return value()
		})
	}
	gauge(func() int64 { return b.budget }, "gateway_held_bytes_budget")
	gauge(func() int64 { return b.peak }, "gateway_held_bytes_peak")
	gauge(func() int64 { return b.fixed }, "gateway_held_bytes_writing")
	for part := range heldParts {
		name := heldPartNames[part]
		gauge(func() int64 { return b.parts[part] }, "gateway_held_bytes", "part", name)
		b.failed[part] = metrics.GetOrRegisterCounter(telemetry.MetricName("gateway_held_failed", "part", name), registry)
	}
	return b
}

// held returns the bytes that are held now, and the highest value so far.
func (b *byteAccount) held() (total, peak int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total, b.peak
}

// writing returns the bytes that are held of answers that are being written.
func (b *byteAccount) writing() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fixed
}

// holding counts the bytes that are held of one answer.
type holding struct {
	account *byteAccount
	part    heldPart
	bytes   int64
	// fail ends the reading of the answer, or its keeping; nil where the answer is being written.
	fail     func(error)
	isFailed bool
}

// open returns a holding without bytes. fail is called at most once, from any goroutine, if the
// holding is to be released for others.
func (b *byteAccount) open(part heldPart, fail func(error)) *holding {
	return &holding{account: b, part: part, fail: fail}
}

// grow adds n bytes before they are allocated. It returns an errBudget, and the holding has failed,
// if there is no room for them.
func (h *holding) grow(n int) error {
	b := h.account
	b.mu.Lock()
	fail, cause := b.makeRoom(h, int64(n))
	err := b.add(h, int64(n))
	b.mu.Unlock()
	if fail != nil {
		fail(cause)
	}
	return err
}

// makeRoom marks a holding as failed if h, with n bytes more, is larger than what is left, and
// returns its fail function with the error for it. If h is the largest, it fails itself. b.mu must be
// held.
func (b *byteAccount) makeRoom(h *holding, n int64) (fail func(error), cause error) {
	size := h.bytes + n
	if size <= b.budget-b.total-n+b.failing {
		return nil, nil
	}
	largest := b.largest()
	if largest == nil || largest.bytes <= size {
		b.markFailed(h)
		return nil, nil
	}
	b.markFailed(largest)
	return largest.fail, errBudget.New("the answer is the largest with %d bytes, and all answers hold %d of at most %d", largest.bytes, b.total, b.budget)
}

// add adds n bytes to a holding that has not failed, if there is room. b.mu must be held.
func (b *byteAccount) add(h *holding, n int64) error {
	limit := b.budget
	if h.bytes+n > b.budget-b.total-n {
		limit -= b.budget / reserveDivisor
	}
	if b.total+n > limit {
		b.markFailed(h)
	}
	if h.isFailed {
		return errBudget.New("the answer needs %d bytes, and all answers hold %d of at most %d", h.bytes+n, b.total, b.budget)
	}
	b.set(h, h.bytes+n)
	return nil
}

// markFailed records that a holding has failed. b.mu must be held.
func (b *byteAccount) markFailed(h *holding) {
	if h.isFailed {
		return
	}
	h.isFailed = true
	b.failing += h.bytes
	b.failed[h.part].Inc(1)
}

// largest returns the largest holding that may fail and has not yet; nil if there is none. b.mu must
// be held.
func (b *byteAccount) largest() *holding {
	var largest *holding
	for h := range b.holdings {
		if h.fail != nil && !h.isFailed && (largest == nil || h.bytes > largest.bytes) {
			largest = h
		}
	}
	return largest
}

// set sets the bytes of a holding. b.mu must be held.
func (b *byteAccount) set(h *holding, bytes int64) {
	added := bytes - h.bytes
	b.total += added
	b.parts[h.part] += added
	if h.fail == nil {
		b.fixed += added
	}
	b.peak = max(b.peak, b.total)
	if h.isFailed {
		b.failing += added
	}
	if h.bytes = bytes; bytes > 0 {
		b.holdings[h] = struct{}{}
	} else {
		delete(b.holdings, h)
	}
}

// shrink takes n bytes away.
func (h *holding) shrink(n int) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.set(h, max(h.bytes-int64(n), 0))
}

// release takes all bytes away.
func (h *holding) release() {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.set(h, 0)
}

// move counts the bytes as those of another part from now on, and replaces fail. It returns false,
// and changes nothing, if the holding has failed.
func (h *holding) move(part heldPart, fail func(error)) bool {
	b := h.account
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.isFailed {
		return false
	}
	b.parts[h.part] -= h.bytes
	b.parts[part] += h.bytes
	if h.fail == nil {
		b.fixed -= h.bytes
	}
	if fail == nil {
		b.fixed += h.bytes
	}
	h.part, h.fail = part, fail
	return true
}

// appendTo appends data to a buffer that the holding counts by its capacity. A nil holding counts
// nothing.
func (h *holding) appendTo(buffer, data []byte) ([]byte, error) {
	if h == nil {
		return append(buffer, data...), nil
	}
	if need := len(buffer) + len(data); need > cap(buffer) {
		size := max(need, 2*cap(buffer), streamBuffer)
		if err := h.grow(size); err != nil {
			return buffer, err
		}
		former := cap(buffer)
		buffer = append(make([]byte, 0, size), buffer...)
		h.shrink(former)
	}
	return append(buffer, data...), nil
}

// heldReader reads bytes that a holding counts until all are read.
type heldReader struct {
	inner io.Reader
	held  *holding
	size  int // counted bytes
}

// Read implements io.Reader.
func (r *heldReader) Read(b []byte) (int, error) {
	n, err := r.inner.Read(b)
	if err != nil {
		r.held.shrink(r.size)
		r.size = 0
	}
	return n, err
}
