package control

import (
	"context"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/consensus"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

func TestPanickingBatchEndsProcess(t *testing.T) {
	is := is.New(t)
	var recorded []string
	calls := 0
	b := batcher[int]{
		guard: &fleet.Guard{Record: func(work string, _ any, _ []byte) { recorded = append(recorded, work) }},
		call: func() (int, error) {
			if calls++; calls == 1 {
				panic("test")
			}
			return calls, nil
		},
	}
	_, err := b.get(t.Context())
	is.True(errorx.IsOfType(err, fleet.ErrPanic))
	is.Equal(recorded, []string{"control batch"})
	got, err := b.get(t.Context())
	is.NoErr(err)
	is.Equal(got, 2)
}

// The transport without a pool panics whenever it opens a stream.
func TestPanickingTransportEndsProcess(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	panics := 0
	guard := &fleet.Guard{Record: func(string, any, []byte) {
		if panics++; panics == 2 {
			cancel()
		}
	}}
	newTransport(ctx, nil, guard, hclog.NewNullLogger()).sendLoop("peer", make(chan consensus.Message))
	is.Equal(panics, 2)
}
