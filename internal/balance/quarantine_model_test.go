package balance

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/routes"
)

var (
	quarantineModelSeeds = flag.Int("quarantine.seeds", 100, "number of seeds that TestDeadlyPartsAreFoundAndSoundOnesLeftAlone runs")
	quarantineModelFirst = flag.Uint64("quarantine.first", 1, "first seed of TestDeadlyPartsAreFoundAndSoundOnesLeftAlone")
)

const (
	modelStep       = 10 * time.Millisecond
	modelExchange   = 500 * time.Millisecond // between two reports of a router
	modelContact    = 3 * time.Second
	modelDown       = 5 * time.Second
	modelListLag    = 800 * time.Millisecond
	modelServe      = time.Second
	modelTroubleOn  = 12 * time.Second // sound parts are known by then
	modelTroubleOff = 34 * time.Second // when requests with the part cease
	modelBurst      = 6                // requests with the part that come at once after a restart
	modelEnd        = 40 * time.Second
	modelAttempts   = 2
)

// quarantineModel is a fleet of balancers before engines that end as they begin to answer a deadly
// part. Engines and connections are modeled in virtual time; one seed determines all events.
type quarantineModel struct {
	rng     *rand.Rand
	now     time.Duration
	pool    *routes.Pool
	routers []*Balancer
	engines []*modelEngine
	running []*modelRequest
	chain   []uint64 // parts before the own one of a deadly prompt; partDeadly is one of them
	idle    float64  // share of requests on connections that were used before
	next    uint64   // ID of the next own part

	ends     []time.Duration
	arrivals []time.Duration // of deadly requests at engines
}

type modelEngine struct {
	id       fleet.UpstreamID
	boot     int
	listed   int // boot in the list
	upAt     time.Duration
	listedAt time.Duration
}

type modelRequest struct {
	parts     []PromptPart
	router    int
	attempts  int
	tried     []fleet.UpstreamID
	pick      *Pick
	engine    *modelEngine
	began     time.Duration
	idle      bool
	answering bool
}

func newQuarantineModel(seed uint64) *quarantineModel {
	rng := rand.New(rand.NewPCG(seed, 46))
	chains := [][]uint64{{partGuide, partDeadly}, {partDeadly, partSound}, {partGuide, partDeadly, partSound}, {partGuide, partRecord, partDeadly}, {partDeadly, partSound, partRecord}}
	m := &quarantineModel{rng: rng, pool: &routes.Pool{Name: "engines", Engine: &routes.Engine{Slots: 64}}, chain: chains[rng.IntN(len(chains))], idle: rng.Float64(), next: 1000}
	for i := range 8 + rng.IntN(9) {
		m.engines = append(m.engines, &modelEngine{id: fleet.UpstreamID(fmt.Sprint("e", i))})
	}
	m.startRouters(2 + rng.IntN(6))
	return m
}

func (m *quarantineModel) startRouters(n int) {
	m.routers = nil
	for range n {
		b := New(Config{})
		b.SetUpstreams(m.now, m.list())
		m.routers = append(m.routers, b)
	}
}

func (m *quarantineModel) list() (list []ListedUpstream) {
	for _, e := range m.engines {
		list = append(list, ListedUpstream{Upstream: fleet.Upstream{ID: e.id, Pool: m.pool.Name, Boot: fleet.BootID(fmt.Sprint(e.listed))}})
	}
	return list
}

// run runs the model and returns the first rule that it breaks, if any.
func (m *quarantineModel) run(soundRate, deadlyRate float64, restartAt time.Duration) string {
	for ; m.now < modelEnd; m.now += modelStep {
		if m.rng.Float64() < soundRate*modelStep.Seconds() {
			m.arrive(m.soundChain())
		}
		resumeAt := restartAt + modelContact + time.Second
		paused := restartAt > 0 && m.now >= restartAt && m.now < resumeAt
		if m.now >= modelTroubleOn && m.now < modelTroubleOff && !paused && m.rng.Float64() < deadlyRate*modelStep.Seconds() {
			m.arrive(m.chain)
		}
		if restartAt > 0 && m.now == resumeAt {
			for range modelBurst {
				m.arrive(m.chain)
			}
		}
		m.serve()
		m.updateList()
		if m.now%modelExchange == 0 {
			m.exchange()
		}
		if m.now == restartAt {
			m.restart()
		}
		if part, ok := m.blamedSoundPart(); ok {
			return fmt.Sprintf("at %v: sound part %d is quarantined", m.now, part)
		}
	}
	if n := m.lateArrivals(restartAt); n > 3 {
		return fmt.Sprintf("%d requests with the part reached engines too late (limit 3); %d ends", n, len(m.ends))
	}
	return ""
}

// soundChain returns the shared parts of a sound prompt.
func (m *quarantineModel) soundChain() []uint64 {
	switch m.rng.IntN(3) {
	case 0:
		return []uint64{partGuide, partRecord}
	case 1:
		return []uint64{partRecord, partSound}
	default:
		return []uint64{partGuide, partSound}
	}
}

func (m *quarantineModel) arrive(chain []uint64) {
	m.next++
	r := &modelRequest{parts: append(prompt(chain...), prompt(m.next)...), router: m.rng.IntN(len(m.routers))}
	m.attempt(r)
}

// attempt sends a request to an engine unless one of its parts is quarantined.
func (m *quarantineModel) attempt(r *modelRequest) {
	b := m.routers[r.router]
	if _, _, quarantined := b.Quarantined(m.now, r.parts); quarantined || r.attempts == modelAttempts {
		return
	}
	session := SessionState{Owns: func(fleet.UpstreamID) bool { return true }, Routers: len(m.routers), Out: func(fleet.Upstream) bool { return false }}
	r.pick = b.Choose(m.now, &Request{Pool: m.pool, Parts: r.parts, PromptTokens: 400, Draw: m.rng.Uint64(), Tried: r.tried}, session)
	if r.pick == nil {
		return
	}
	r.tried = append(r.tried, r.pick.Upstream.ID)
	for _, e := range m.engines {
		if e.id == r.pick.Upstream.ID {
			r.engine = e
		}
	}
	if m.now < r.engine.upAt {
		r.pick.RecordEnd(m.now)
		r.pick.End(m.now, OutcomeBroken)
		m.attempt(r)
		return
	}
	r.attempts++
	r.began, r.answering, r.idle = m.now, false, m.rng.Float64() < m.idle
	if r.isDeadly() {
		m.arrivals = append(m.arrivals, m.now)
	}
	m.running = append(m.running, r)
}

func (r *modelRequest) isDeadly() bool {
	for _, p := range r.parts {
		if p.ID == partDeadly {
			return true
		}
	}
	return false
}

// serve lets engines answer, and ends those that begin to answer a deadly part.
func (m *quarantineModel) serve() {
	var ended []*modelEngine
	var left []*modelRequest
	for _, r := range m.running {
		switch age := m.now - r.began; {
		case r.isDeadly() && age >= 3*modelStep:
			ended = append(ended, r.engine)
			left = append(left, r)
		case age >= modelServe:
			r.pick.End(m.now, OutcomeServed)
		default:
			if !r.answering && age >= 3*modelStep {
				r.answering = true
				r.pick.RecordServed(m.now)
				r.pick.RecordBytes(m.now)
			}
			left = append(left, r)
		}
	}
	m.running = left
	for _, e := range ended {
		m.end(e)
	}
}

// end ends an engine with the requests that run there.
func (m *quarantineModel) end(e *modelEngine) {
	if m.now < e.upAt {
		return
	}
	e.boot++
	e.upAt, e.listedAt = m.now+modelDown, m.now+modelDown+modelListLag
	m.ends = append(m.ends, m.now)
	var left, broken []*modelRequest
	for _, r := range m.running {
		if r.engine == e {
			broken = append(broken, r)
		} else {
			left = append(left, r)
		}
	}
	m.running = left
	m.rng.Shuffle(len(broken), func(i, j int) { broken[i], broken[j] = broken[j], broken[i] })
	for _, r := range broken {
		switch {
		case r.answering:
			r.pick.RecordLateBreak(m.now)
		case r.idle:
			r.pick.RecordIdleBreak(m.now)
		default:
			r.pick.RecordBreak(m.now)
		}
		r.pick.End(m.now, OutcomeBroken)
		if !r.answering {
			m.attempt(r)
		}
	}
}

func (m *quarantineModel) updateList() {
	changed := false
	for _, e := range m.engines {
		if e.listed != e.boot && m.now >= e.listedAt {
			e.listed, changed = e.boot, true
		}
	}
	if changed {
		for _, b := range m.routers {
			b.SetUpstreams(m.now, m.list())
		}
	}
}

func (m *quarantineModel) exchange() {
	for _, from := range m.routers {
		for _, to := range m.routers {
			if from != to {
				to.MergeSuspicions(m.now, suspicions(from, m.now))
			}
		}
	}
}

// restart replaces all routers by new ones, which know what the note of a former one says.
func (m *quarantineModel) restart() {
	note := m.routers[0].QuarantinedSuspicions(m.now)
	m.running = nil
	m.startRouters(len(m.routers))
	for _, b := range m.routers {
		b.MergeSuspicions(m.now, note)
	}
}

func (m *quarantineModel) blamedSoundPart() (uint64, bool) {
	for _, b := range m.routers {
		if part, _, ok := b.Quarantined(m.now, prompt(partGuide, partRecord, partSound)); ok {
			return part, true
		}
	}
	return 0, false
}

// lateArrivals returns the number of requests with the part at engines later than modelContact after
// the fifth end, and after a restart.
func (m *quarantineModel) lateArrivals(restartAt time.Duration) (n int) {
	if len(m.ends) < 5 {
		return 0
	}
	from := m.ends[4] + modelContact
	if restartAt > 0 && restartAt >= m.ends[4] {
		from = max(from, restartAt+modelContact)
	}
	for _, at := range m.arrivals {
		if at > from {
			n++
		}
	}
	return n
}

// Deadly parts went on unnoticed before a sound part, on used connections, and after a restart.
func TestDeadlyPartsAreFoundAndSoundOnesLeftAlone(t *testing.T) {
	for i := range *quarantineModelSeeds {
		seed := *quarantineModelFirst + uint64(i)
		m := newQuarantineModel(seed)
		soundRate, deadlyRate := 10+90*m.rng.Float64(), 0.4+3*m.rng.Float64()
		var restartAt time.Duration
		if m.rng.IntN(2) == 0 {
			restartAt = modelTroubleOn + 10*time.Second + time.Duration(m.rng.IntN(8))*time.Second
		}
		if broken := m.run(soundRate, deadlyRate, restartAt); broken != "" {
			t.Errorf("seed %d, prompts %v, %.1f deadly ones a second beside %.0f, %.2f of them on used connections, restart at %v: %s",
				seed, m.chain, deadlyRate, soundRate, m.idle, restartAt, broken)
		}
	}
}
