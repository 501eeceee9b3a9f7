// Package demo runs a small but complete fleet in one process on loopback: control
// members, routers and stand-ins, each with its own listeners. The demo command
// and the integration tests use it. The parts communicate over the network;
// nothing between them is mocked.
package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/wigeonflow/wigeonflow/internal/agent"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
	"github.com/wigeonflow/wigeonflow/internal/operator"
	"github.com/wigeonflow/wigeonflow/internal/settings"
	"github.com/wigeonflow/wigeonflow/internal/standin"
)

// Keys with which the demonstration's callers and operators authenticate.
const (
	WorkspaceKey = "demo-workspace"
	OperatorKey  = "demo-operator"
)

// Names in the demonstration's plans and allowances.
const (
	Model       = "care-notes"
	Service     = "counter"
	enginePool  = "language"
	servicePool = "counter"
)

// Options configures a fleet. Zero fields mean the defaults.
type Options struct {
	// Dir is the data directory. Required.
	Dir string
	// Control is the number of control members; default 1.
	Control int
	// Routers is the number of routers; default 2.
	Routers int
	// Engines and Services are the numbers of stand-ins; default 3 and 2.
	Engines, Services int
	// Engine configures the engines.
	Engine standin.EngineConfig
	// Plan holds the limits of the demonstration's plan; default none. Its name is
	// always "demo".
	Plan lists.Plan
	// Concurrency is the concurrency limit of each engine, right after its start as
	// well as later; default the defaults of the allowances.
	Concurrency int
	// Log receives the processes' logs; default none.
	Log io.Writer
	// LogLevel is the level of the logs; default warn.
	LogLevel string

	// remoteRouters leaves the routers to the caller, who starts them with
	// Fleet.settings.
	remoteRouters bool
}

func (o Options) withDefaults() Options {
	fleet.SetDefault(&o.Control, 1)
	fleet.SetDefault(&o.Routers, 2)
	fleet.SetDefault(&o.Engines, 3)
	fleet.SetDefault(&o.Services, 2)
	fleet.SetDefault(&o.LogLevel, "warn")
	if o.Log == nil {
		o.Log = io.Discard
	}
	o.Plan.Name = "demo"
	return o
}

// zones are the availability zones that the Instances and upstreams are spread over.
var zones = []fleet.AvailabilityZone{"north", "middle", "south"}

// Upstream is a running stand-in.
type Upstream struct {
	Listed  fleet.Upstream
	Engine  *standin.Engine  // nil for a service
	Service *standin.Service // nil for an engine
	server  *http.Server
}

// URL returns the stand-in's base URL.
func (u *Upstream) URL() string { return "http://" + u.Listed.Addr }

// Fleet is a running fleet of control members, routers and stand-ins.
type Fleet struct {
	opts      Options
	Upstreams []*Upstream
	Platform  *standin.Platform
	Control   []*agent.Agent
	Routers   []*agent.Agent // nil for a router that StopRouters has stopped
	// RouterURLs are the routers' base URLs for callers; OperatorAddrs are the
	// control members' addresses of the operators' API. A stopped process keeps its
	// entry.
	RouterURLs    []string
	OperatorAddrs []string

	settings       []settings.Settings // control members, then routers
	platformServer *http.Server
	platformAddr   string
}

// Start starts a fleet and puts its plans and allowances in force. The fleet serves once
// Ready has returned. On an error, Start stops what it has started.
func Start(ctx context.Context, opts Options) (*Fleet, error) {
	f := &Fleet{opts: opts.withDefaults()}
	if err := f.startStandins(); err != nil {
		return nil, errors.Join(err, f.Stop(ctx))
	}
	network, err := newNetwork()
	if err != nil {
		return nil, errors.Join(err, f.Stop(ctx))
	}
	f.assignSettings(network)
	for i := range f.opts.Control + f.opts.Routers {
		if i >= f.opts.Control && f.opts.remoteRouters {
			break
		}
		a, err := agent.Start(ctx, f.settings[i], f.opts.Log)
		if err != nil {
			return nil, errors.Join(err, f.Stop(ctx))
		}
		if i < f.opts.Control {
			f.Control = append(f.Control, a)
		} else {
			f.Routers = append(f.Routers, a)
		}
	}
	if _, err := f.Operators().Apply(ctx, operator.Expect{}, "demo-start", f.Lists()); err != nil {
		return nil, errors.Join(err, f.Stop(ctx))
	}
	return f, nil
}

// Operators returns a client of the operators' API.
func (f *Fleet) Operators() *operator.Client {
	return operator.NewClient(operator.ClientSettings{Addrs: f.OperatorAddrs, Token: OperatorKey})
}

// startStandins starts the engines, the services and the platform that lists them.
func (f *Fleet) startStandins() error {
	var listed []fleet.Upstream
	for i := range f.opts.Engines + f.opts.Services {
		u := &Upstream{Listed: fleet.Upstream{Zone: zones[i%len(zones)]}}
		var handler http.Handler
		if i < f.opts.Engines {
			u.Engine = standin.NewEngine(f.opts.Engine)
			u.Listed.ID, u.Listed.Pool = fleet.UpstreamID(fmt.Sprintf("engine-%d", i+1)), enginePool
			handler = u.Engine
		} else {
			u.Service = standin.NewService(standin.ServiceConfig{})
			u.Listed.ID, u.Listed.Pool = fleet.UpstreamID(fmt.Sprintf("counter-%d", i-f.opts.Engines+1)), servicePool
			handler = u.Service
		}
		var err error
		if u.server, u.Listed.Addr, err = serveLoopback(handler); err != nil {
			return err
		}
		f.Upstreams = append(f.Upstreams, u)
		listed = append(listed, u.Listed)
	}
	f.Platform = standin.NewPlatform(standin.PlatformConfig{Instances: listed})
	var err error
	f.platformServer, f.platformAddr, err = serveLoopback(f.Platform)
	return err
}

// serveLoopback serves h on a free port of 127.0.0.1 and returns the server and its
// address.
func serveLoopback(h http.Handler) (*http.Server, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	return server, l.Addr().String(), nil
}

// assignSettings sets the addresses and settings of every control member and router.
func (f *Fleet) assignSettings(n *network) {
	var ips, members []string
	for i := range f.opts.Control + f.opts.Routers {
		ips = append(ips, n.nextIP())
		if i < f.opts.Control {
			members = append(members, hostPort(ips[i], meshPort))
		}
	}
	for i := range f.opts.Control + f.opts.Routers {
		s := settings.Settings{
			Zone:     zones[i%len(zones)],
			Control:  settings.Control{Members: members},
			Platform: settings.Platform{URL: "http://" + f.platformAddr, PollInterval: 200 * time.Millisecond},
			Log:      settings.Log{Level: f.opts.LogLevel},
			// No load balancer polls these routers, so a stop need not wait for one
			// to notice that the router drains.
			DrainNotice: time.Millisecond,
		}
		if i < f.opts.Control {
			s.Instance = fleet.InstanceID(fmt.Sprintf("control-%d", i+1))
			s.Roles = []settings.Role{settings.RoleControl}
			s.Listen = settings.Listen{Mesh: members[i], Operators: hostPort(ips[i], operatorsPort)}
			s.DataDir = filepath.Join(f.opts.Dir, string(s.Instance))
			s.Operators = []settings.Operator{{Name: "demo", KeyDigests: []string{digest(OperatorKey)}}}
			f.OperatorAddrs = append(f.OperatorAddrs, s.Listen.Operators)
		} else {
			s.Instance = fleet.InstanceID(fmt.Sprintf("router-%d", i-f.opts.Control+1))
			s.Roles = []settings.Role{settings.RoleRouter}
			s.Listen = settings.Listen{Mesh: hostPort(ips[i], meshPort), Callers: hostPort(ips[i], callersPort)}
			f.RouterURLs = append(f.RouterURLs, "http://"+s.Listen.Callers)
		}
		f.settings = append(f.settings, s.WithDefaults())
	}
}

// network allocates loopback IP addresses for processes that listen on fixed ports.
// 127.0.0.1 would not do: the outgoing connections of every client on the host take
// their local ports there, and one of these can be a fixed port.
type network struct {
	prefix string // the first three octets
	last   int    // the last octet allocated
}

// Ports of every process; each process has its own IP address.
const (
	meshPort      = 7400
	callersPort   = 8080
	operatorsPort = 8090
)

// newNetwork picks a random loopback network on whose first address the mesh port is
// free. It tries up to 100 networks.
func newNetwork() (*network, error) {
	var err error
	for range 100 {
		n := &network{prefix: fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256))}
		var l net.Listener
		if l, err = net.Listen("tcp", n.nextIP()+":"+strconv.Itoa(meshPort)); err == nil {
			return n, l.Close()
		}
	}
	return nil, err
}

// nextIP allocates the next IP address.
func (n *network) nextIP() string {
	n.last++
	return n.prefix + "." + strconv.Itoa(n.last)
}

func hostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Lists returns the demonstration's plans and allowances.
func (f *Fleet) Lists() lists.Config {
	return lists.Config{
		Plans: lists.Plans{
			Plans:      []lists.Plan{f.opts.Plan},
			Workspaces: []lists.Workspace{{ID: "demo", Plan: "demo", KeyDigests: []string{digest(WorkspaceKey)}}},
		},
		Allowances: lists.Allowances{
			Pools: []lists.Pool{
				{
					Name: enginePool, Kind: "engine", LoadFactor: 1.5, ChecksFencing: true,
					MaxConcurrency: f.opts.Concurrency, StartConcurrency: f.opts.Concurrency,
				},
				{Name: servicePool, Kind: "service", StartConcurrency: 8},
			},
			Models: []lists.Model{{Name: Model, Pool: enginePool}},
			Services: []lists.Service{{Name: Service, Pool: servicePool, Routes: []lists.Route{
				{Method: http.MethodPost, Path: "/pickups", LookupPath: "/keys"},
				{Method: http.MethodGet, Path: "/", Repeatable: true},
			}}},
			Plans: []lists.Allowance{{Plan: "demo", Models: []fleet.ModelName{Model}, Services: []string{Service}}},
		},
	}
}

// readyInterval is the time between two readiness checks of a router.
const readyInterval = 50 * time.Millisecond

// Ready waits until every router answers /readyz with 200, or ctx ends.
func (f *Fleet) Ready(ctx context.Context) error {
	for _, url := range f.RouterURLs {
		for !isReady(ctx, url) {
			select {
			case <-ctx.Done():
				return fleet.At(ctx.Err(), "demo.ready", url)
			case <-time.After(readyInterval):
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// StopRouters performs planned stops of some routers concurrently. The numbers are
// indexes into Routers and RouterURLs, which do not change. Each router can be stopped
// once.
func (f *Fleet) StopRouters(ctx context.Context, numbers ...int) error {
	results := make(chan error, len(numbers))
	for _, i := range numbers {
		a := f.Routers[i]
		f.Routers[i] = nil
		go func() { results <- a.Stop(ctx) }()
	}
	var errs []error
	for range numbers {
		errs = append(errs, <-results)
	}
	return errors.Join(errs...)
}

// Stop stops routers, control members and stand-ins, in this order.
func (f *Fleet) Stop(ctx context.Context) error {
	var errs []error
	for _, group := range [][]*agent.Agent{f.Routers, f.Control} {
		results := make(chan error, len(group))
		for _, a := range group {
			go func() {
				if a == nil { // stopped by StopRouters
					results <- nil
					return
				}
				results <- a.Stop(ctx)
			}()
		}
		for range group {
			errs = append(errs, <-results)
		}
	}
	for _, u := range f.Upstreams {
		_ = u.server.Close()
		if u.Engine != nil {
			u.Engine.Close()
		}
	}
	if f.platformServer != nil {
		_ = f.platformServer.Close()
		f.Platform.Close()
	}
	return errors.Join(errs...)
}

// Do sends a request of the demonstration's workspace to the router with this index,
// modulo the number of routers, and reads the whole response. A key that is not empty is
// sent as Idempotency-Key.
func (f *Fleet) Do(ctx context.Context, router int, method, path, key, body string) (*http.Response, []byte, error) {
	url := f.RouterURLs[router%len(f.RouterURLs)] + path
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+WorkspaceKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp, answer, err
}
