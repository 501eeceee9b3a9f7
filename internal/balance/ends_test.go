package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// breakOffIdle sends a prompt whose engine ends before it answers on a connection that had been idle.
func (f *promptFleet) breakOffIdle(t *testing.T, now time.Duration, parts []PromptPart) *Pick {
	t.Helper()
	p := f.send(t, 0, now, parts)
	f.draw++
	p.Upstream.Boot = fleet.BootID(fmt.Sprint("before ", f.draw))
	p.RecordIdleBreak(now)
	p.End(now, OutcomeBroken)
	return p
}

// Engines that ended on connections used before didn't count against a deadly part.
func TestDeadlyPartOnIdleConnectionsIsQuarantined(t *testing.T) {
	evidence := map[string]func(f *promptFleet, p *Pick, now time.Duration){
		"no connection is accepted": func(_ *promptFleet, p *Pick, now time.Duration) { p.RecordEnd(now) },
		"an answer breaks off":      func(_ *promptFleet, p *Pick, now time.Duration) { p.RecordLateBreak(now) },
		"another idle connection breaks off": func(f *promptFleet, p *Pick, now time.Duration) {
			p.RecordIdleBreak(now)
		},
		"the list shows a new start": func(f *promptFleet, p *Pick, now time.Duration) {
			var list []ListedUpstream
			for id, s := range f.routers[0].states {
				l := s.ListedUpstream
				if id == p.state.ID {
					l.Boot = p.Upstream.Boot + " next"
				}
				list = append(list, l)
			}
			f.routers[0].SetUpstreams(now, list)
		},
	}
	for name, show := range evidence {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newPromptFleet(1, 12)
			now := time.Second
			for i := range uint64(quarantineUpstreams) {
				show(f, f.breakOffIdle(t, now, prompt(partGuide, partDeadly, 100+i)), now+endWindow-time.Millisecond)
				now += endWindow + time.Second
			}
			is.True(f.quarantined(now, 0, partGuide, partDeadly, 200))
			is.True(!f.quarantined(now, 0, partGuide, 200))
		})
	}
}

// The end may be seen on another connection before the idle one.
func TestIdleConnectionThatBreaksOffAfterTheEndCounts(t *testing.T) {
	is := is.New(t)
	f := newPromptFleet(1, 12)
	for i := range uint64(quarantineUpstreams) {
		p := f.send(t, 0, time.Second, prompt(partGuide, partDeadly, 100+i))
		p.Upstream.Boot = fleet.BootID(fmt.Sprint("before ", i))
		p.RecordEnd(time.Second)
		p.RecordIdleBreak(2 * time.Second)
	}
	is.True(f.quarantined(2*time.Second, 0, partGuide, partDeadly, 200))
}

// An engine that closes idle connections must not cast suspicion on the prompts that meet that.
func TestClosedIdleConnectionsBlameNoPart(t *testing.T) {
	is := is.New(t)
	f := newPromptFleet(1, 12)
	now := time.Second
	for i := range uint64(20) {
		f.breakOffIdle(t, now, prompt(partGuide, partDeadly, 100+i))
		now += endWindow
	}
	for i := range uint64(20) { // closed again and again at short intervals, while it answers others
		f.breakOffIdle(t, now, prompt(partGuide, partDeadly, 300+i)).RecordBytes(now + time.Millisecond)
		now += 10 * time.Millisecond
	}
	is.True(!f.quarantined(now, 0, partGuide, partDeadly, 200))
	for _, s := range f.routers[0].states {
		is.True(len(s.idleBreaks) <= maxIdleBreaks)
	}
}
