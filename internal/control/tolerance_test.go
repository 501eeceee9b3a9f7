package control

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/wigeonflow/wigeonflow/internal/consensus"
)

// Nothing told an operator that the next loss would leave no majority.
func TestGroupThatBearsTooFewLossesIsLogged(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	registry := metrics.NewRegistry()
	m := newToleranceMonitor(hclog.New(&hclog.LoggerOptions{Output: &out}), 1, registry)
	gauge := metrics.GetOrRegisterGauge("control.losses_left", registry)
	is.Equal(gauge.Value(), int64(-1))

	none := consensus.Status{Members: []consensus.MemberStatus{voter("a", true), voter("b", true), voter("c", false)}}
	m.observe(0, none)
	m.observe(toleranceDelay-1, none)
	is.Equal(gauge.Value(), int64(0))
	is.Equal(out.String(), "") // it may recover at once
	for _, now := range []time.Duration{toleranceDelay, 2 * toleranceDelay} {
		m.observe(now, none)
	}
	is.Equal(strings.Count(out.String(), "bears fewer losses"), 1)
	is.True(strings.Contains(out.String(), "losses_left=0 required=1 voters=3 silent=[\"c\"]"))

	m.observe(3*toleranceDelay, consensus.Status{LossesLeft: 1})
	is.True(strings.Contains(out.String(), "again"))
	is.Equal(gauge.Value(), int64(1))
	m.reset()
	is.Equal(gauge.Value(), int64(-1))
}
