package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/goccy/go-yaml"
	"github.com/gorilla/mux"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// PlatformConfig configures a Platform. The zero value of each field means the
// default that its comment names.
type PlatformConfig struct {
	// Instances is the list at the start; default empty.
	Instances []fleet.Upstream
	// Lag is the delay before readers see a change; default 0.
	Lag time.Duration
	// Probe lists only instances that answer GET /healthz.
	Probe bool
	// ProbeInterval is the time between two probes; default 1 s.
	ProbeInterval time.Duration
	// ProbeTimeout bounds one probe; default 500 ms.
	ProbeTimeout time.Duration
	// MaxBodyBytes bounds the body of PUT /instances; default 16 MiB.
	MaxBodyBytes int64
}

func (c PlatformConfig) withDefaults() PlatformConfig {
	fleet.SetDefault(&c.ProbeInterval, time.Second)
	fleet.SetDefault(&c.ProbeTimeout, 500*time.Millisecond)
	fleet.SetDefault(&c.MaxBodyBytes, 16<<20)
	return c
}

// Platform serves the list of live and leaving instances with a lag. It is an
// http.Handler. Close ends its probes.
type Platform struct {
	cfg    PlatformConfig
	router *mux.Router
	stop   context.CancelFunc
	done   chan struct{}

	mu     sync.Mutex
	listed []fleet.Upstream // the newest list, unhealthy instances included
	// versions are the published lists from the one that readers see to the newest.
	versions []InstanceList
	// healthy holds the boot IDs of the instances that answered the last probe; nil
	// until the first round of probes has ended.
	healthy map[fleet.UpstreamID]fleet.BootID
}

// InstanceList is the response body of GET /instances.
type InstanceList struct {
	// AsOfMs is the time as of which the list is valid, in milliseconds since the
	// Unix epoch.
	AsOfMs    int64            `json:"as_of_ms"`
	Instances []fleet.Upstream `json:"instances"`
}

// NewPlatform returns a platform and starts its probes if cfg.Probe is set.
func NewPlatform(cfg PlatformConfig) *Platform {
	cfg = cfg.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	p := &Platform{cfg: cfg, stop: stop, done: make(chan struct{}), listed: slices.Clone(cfg.Instances)}
	p.versions = []InstanceList{p.newVersion(time.Now().Add(-cfg.Lag))}
	m := mux.NewRouter()
	m.HandleFunc("/instances", p.serveGet).Methods(http.MethodGet)
	m.HandleFunc("/instances", p.servePut).Methods(http.MethodPut)
	m.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {}).Methods(http.MethodGet)
	p.router = m
	go p.probeLoop(ctx)
	return p
}

// Close ends the probes.
func (p *Platform) Close() {
	p.stop()
	<-p.done
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.router.ServeHTTP(w, r) }

// Put replaces the list of instances; readers see the new one after the lag.
func (p *Platform) Put(list []fleet.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed = slices.Clone(list)
	p.publish(time.Now())
}

// newVersion returns the list as of now, without the instances that failed the last
// probe. It sets a missing boot ID to the one that the probe returned.
func (p *Platform) newVersion(now time.Time) InstanceList {
	list := InstanceList{AsOfMs: now.UnixMilli(), Instances: []fleet.Upstream{}}
	for _, u := range p.listed {
		boot, ok := p.healthy[u.ID]
		if p.healthy != nil && !ok {
			continue
		}
		if u.Boot == "" {
			u.Boot = boot
		}
		list.Instances = append(list.Instances, u)
	}
	return list
}

// publish appends a version of the list as of now; readers see it after the lag.
func (p *Platform) publish(now time.Time) {
	p.versions = append(p.versions, p.newVersion(now))
	p.prune(now)
}

// prune drops the versions before the one that is visible at now.
func (p *Platform) prune(now time.Time) {
	visible := 0
	for i, v := range p.versions {
		if v.AsOfMs <= now.Add(-p.cfg.Lag).UnixMilli() {
			visible = i
		}
	}
	p.versions = slices.Delete(p.versions, 0, visible)
}

// visible returns the version that readers see at now: the newest one that is at least
// as old as the lag.
func (p *Platform) visible(now time.Time) InstanceList {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune(now)
	return p.versions[0]
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	list := p.visible(time.Now())
	tag := entityTag(list.Instances)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, list)
}

// entityTag hashes the list alone, without its time, so that a reader need not
// fetch an unchanged list again.
func entityTag(list []fleet.Upstream) string {
	data, _ := json.Marshal(list)
	return fmt.Sprintf("%q", fmt.Sprintf("%016x", xxhash.Sum64(data)))
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	var list InstanceList
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, p.cfg.MaxBodyBytes)).Decode(&list); err != nil {
		writeError(w, http.StatusBadRequest, "malformed instance list: "+err.Error())
		return
	}
	p.Put(list.Instances)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) probeLoop(ctx context.Context) {
	defer close(p.done)
	if !p.cfg.Probe {
		return
	}
	for {
		p.probeAll(ctx)
		if !sleepUntil(ctx, time.Now().Add(p.cfg.ProbeInterval)) {
			return
		}
	}
}

// probeAll probes every listed instance concurrently and publishes a version
// without those that failed.
func (p *Platform) probeAll(ctx context.Context) {
	p.mu.Lock()
	listed := slices.Clone(p.listed)
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, p.cfg.ProbeTimeout)
	defer cancel()
	boots := make([]string, len(listed))
	alive := make([]bool, len(listed))
	var wg sync.WaitGroup
	for i, u := range listed {
		wg.Go(func() { boots[i], alive[i] = probe(ctx, u.Addr) })
	}
	wg.Wait()
	healthy := make(map[fleet.UpstreamID]fleet.BootID)
	for i, u := range listed {
		if alive[i] {
			healthy[u.ID] = fleet.BootID(boots[i])
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.healthy = healthy
	p.publish(time.Now())
}

// probe requests GET /healthz of one instance. It returns the instance's boot ID and
// whether the status was 200.
func probe(ctx context.Context, addr string) (boot string, alive bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/healthz", nil)
	if err != nil {
		return "", false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", false
	}
	_ = resp.Body.Close()
	return resp.Header.Get(HeaderBootID), resp.StatusCode == http.StatusOK
}

// instanceFile is the content of a YAML file of instances.
type instanceFile struct {
	Instances []fileInstance `yaml:"instances"`
}

type fileInstance struct {
	ID      fleet.UpstreamID       `yaml:"id"`
	Pool    fleet.PoolID           `yaml:"pool"`
	Addr    string                 `yaml:"addr"`
	Zone    fleet.AvailabilityZone `yaml:"zone"`
	Boot    fleet.BootID           `yaml:"boot"`
	Leaving bool                   `yaml:"leaving"`
	Version string                 `yaml:"version"`
	Slots   int                    `yaml:"slots"`
}

// ReadInstances reads a YAML file with a list "instances". Unknown fields are an
// error.
func ReadInstances(path string) ([]fleet.Upstream, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var file instanceFile
	if err := yaml.UnmarshalWithOptions(data, &file, yaml.Strict()); err != nil {
		return nil, fleet.At(err, "standin.read instances", path)
	}
	list := make([]fleet.Upstream, 0, len(file.Instances))
	for _, i := range file.Instances {
		list = append(list, fleet.Upstream(i))
	}
	return list, nil
}
