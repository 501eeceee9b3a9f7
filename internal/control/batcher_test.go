package control

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Whoever asks gets the result of a call that began afterwards, and all that ask while a call runs
// share one.
func TestBatcherSharesCalls(t *testing.T) {
	is := is.New(t)
	const askers = 100
	var calls atomic.Int64
	began, end := make(chan struct{}, askers), make(chan struct{})
	b := &batcher[int64]{call: func() (int64, error) {
		n := calls.Add(1)
		began <- struct{}{}
		<-end
		return n, nil
	}}
	var wg sync.WaitGroup
	wg.Go(func() { _, _ = b.get(t.Context()) })
	<-began // the first call runs
	results := make(chan int64, askers)
	joined := make(chan struct{}, askers)
	for range askers {
		wg.Go(func() {
			mine := b.join()
			joined <- struct{}{}
			<-mine.done
			results <- mine.result
		})
	}
	for range askers {
		<-joined
	}
	close(end)
	wg.Wait()
	for range askers {
		is.Equal(<-results, int64(2))
	}
	is.Equal(calls.Load(), int64(2))
	n, err := b.get(t.Context()) // a later one starts a call again
	is.NoErr(err)
	is.Equal(n, int64(3))
}
