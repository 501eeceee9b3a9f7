// Command standins runs one case of the review: it starts the project's programs as separate
// processes on loopback addresses, and plays the replicas, the platform, the operator and the
// clients around them.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	portFront   = 8227
	portReady   = 8220
	portControl = 8229
	portMesh    = 7340
	portReplica = 8080
	portList    = 8223
)

// memoryLimit is memory_mb of the machines of dala-press.
const memoryLimit = 284 << 20

var zones = []string{"medeu", "bostandyk", "alatau"}

// machine is one machine of the fleet. It runs one process.
type machine struct {
	f    *fleet
	name string
	core bool
	zone string
	ip   string
	dir  string

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool  // the case has ended; the process isn't started again
	peak    int64 // largest resident memory in bytes
	killed  []time.Time
	exited  []time.Time // ends of the process that nobody asked for
}

// fleet holds the machines and what surrounds them.
type fleet struct {
	root     string // of the repository
	dir      string
	block    int
	machines []*machine
	list     *instanceList
	rec      *record
	version  int
	enforce  bool // kill a process that uses more than memoryLimit, as the platform does
	files    bool // limit the descriptors of a process, as the platform does
	wg       sync.WaitGroup
}

func (f *fleet) ip(group, n int) string { return fmt.Sprintf("127.%d.%d.%d", f.block, group, n) }

func (f *fleet) addr(group, n, port int) string {
	return net.JoinHostPort(f.ip(group, n), strconv.Itoa(port))
}

// freeBlock returns the second byte of loopback addresses that nobody uses.
func freeBlock() int {
	for i := range 200 {
		block := 20 + (os.Getpid()+i)%200
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.9.1:%d", block, portList))
		if err == nil {
			l.Close()
			return block
		}
	}
	fatal("no free loopback addresses")
	return 0
}

// fatal ends a case that can't run.
func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	cleanup()
	os.Exit(2)
}

var cleanup = func() {}

func newFleet(cores, fronts int, rec *record) *fleet {
	root, err := os.Getwd()
	if err != nil {
		fatal("%v", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fatal("%v", err)
	}
	f := &fleet{root: root, dir: dir, block: freeBlock(), rec: rec, enforce: true}
	cleanup = f.stop
	for i := range cores + fronts {
		m := &machine{f: f, core: i < cores, zone: zones[i%len(zones)], ip: f.ip(1, i+1)}
		m.name = fmt.Sprintf("front-%s-%d", m.zone, i+1)
		if m.core {
			m.name = fmt.Sprintf("core-%s-%d", m.zone, i+1)
		}
		m.dir = filepath.Join(dir, m.name)
		if err := os.MkdirAll(filepath.Join(m.dir, "data"), 0o755); err != nil {
			fatal("%v", err)
		}
		f.machines = append(f.machines, m)
	}
	f.list = startList(f.addr(9, 1, portList))
	return f
}

func (f *fleet) byRole(core bool) (out []*machine) {
	for _, m := range f.machines {
		if m.core == core {
			out = append(out, m)
		}
	}
	return out
}

func (f *fleet) cores() []*machine  { return f.byRole(true) }
func (f *fleet) fronts() []*machine { return f.byRole(false) }

func (m *machine) addr(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

// writeSettings writes the settings file as DEPLOY.md describes it.
func (m *machine) writeSettings(bootstrap bool) string {
	var b strings.Builder
	class, serves, data, cores, memory, files, mbps := "front", "front", "null", "0.4", 284, 4200, "1000.0"
	listen := fmt.Sprintf("  front: %q\n  ready: %q\n", m.addr(portFront), m.addr(portReady))
	if m.core {
		class, serves, data, cores, memory, files, mbps = "core", "control", strconv.Quote(filepath.Join(m.dir, "data")), "0.08", 280, 4096, "6.0"
		listen = fmt.Sprintf("  control: %q\n", m.addr(portControl))
	}
	fmt.Fprintf(&b, "node_name: %q\nrole: %q\nmachine_class: %q\nserves:\n  - %q\nip_address: %q\nzone: %q\nregion: \"almaty\"\nzones:\n", m.name, serves, class, serves, m.ip, m.zone)
	for _, z := range zones {
		fmt.Fprintf(&b, "  %s: \"almaty\"\n", z)
	}
	fmt.Fprintf(&b, "listen_addresses:\n%sinternal_port_range:\n  - %d\n  - %d\nseed_nodes:\n", listen, portMesh, portMesh+15)
	for _, c := range m.f.cores()[:3] {
		fmt.Fprintf(&b, "  - %q\n", c.addr(portControl))
	}
	fmt.Fprintf(&b, "bootstrap: %v\ncounts_toward_tolerance: %v\nlimits:\n  cpu_share: %s\n  cpu_cores: 1\n  memory_mb: %d\n  file_descriptors: %d\n  link_mbps: %s\n  disk_mb: 128\n", bootstrap, m.core, cores, memory, files, mbps)
	fmt.Fprintf(&b, "data_directory: %s\ndiscovery: \"cloud\"\nentry: \"virtual_ip\"\nheartbeat_interval_ms: 1200\n", data)
	b.WriteString("fault_tolerance:\n  machines: 1\n  zones: 1\n  regions: 0\nbounds:\n")
	b.WriteString("  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: 3000\n  ack_timeout_ms: 4000\n  catch_up_s: 4\n  drain_ms: 3000\n  grace_period_s: 8\n" +
		"  loss_slack_ms: 200\n  configuration_apply_ms: 2000\n  rollback_slack_ms: 250\n  outer_bound_ms: 5000\n  enforce_revocation: true\n  revocation_ms: 5000\n" +
		"  retry_budget_ratio: 0.2\n  budget_window_s: 10\n  retry_budget_slack: 54\n  cold_overshoot: 1.5\n  cold_slack: 5\n  evacuation_ms: 5000\n  recovery_s: 12\n" +
		"  pass_ms: 120\n  reuse_window_s: 10\n  load_imbalance_factor: 2\n")
	fmt.Fprintf(&b, "configuration_mode: \"highest\"\ncloud_api:\n  address: %q\n  rate_per_s: 42.0\n  duties: []\n  max_lag_ms: 800\n", m.f.addr(9, 1, portList))
	path := filepath.Join(m.dir, "local.yaml")
	if err := os.WriteFile(path, []byte(b.String()), 0o644); err != nil {
		fatal("%v", err)
	}
	return path
}

// start starts the process with the command of the deploy file. The platform starts it again
// whenever it ends.
func (m *machine) start(bootstrap bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	out, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		fatal("%v", err)
	}
	defer out.Close()
	program := filepath.Join(m.f.root, "target", "wigeonflow")
	cmd := exec.Command(program, "platform")
	if m.f.files {
		limit := 4200 // file_descriptors of front machines
		if m.core {
			limit = 4096
		}
		cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s platform", limit, program))
	}
	cmd.Dir = m.f.root
	cmd.Env = []string{"WIGEONFLOW_BOOT=" + m.writeSettings(bootstrap), "GOGC=50", "GOMEMLIMIT=40MiB", "PATH=" + os.Getenv("PATH"), "HOME=" + m.dir}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		fatal("cannot start %s: %v", m.name, err)
	}
	m.cmd = cmd
	m.f.wg.Go(func() { m.await(cmd) })
	m.f.wg.Go(func() { m.watchMemory(cmd) })
}

// await waits for the end of the process and starts it again after a short delay.
func (m *machine) await(cmd *exec.Cmd) {
	err := cmd.Wait()
	m.mu.Lock()
	m.cmd = nil
	stopped := m.stopped
	if !stopped {
		m.exited = append(m.exited, time.Now())
	}
	m.mu.Unlock()
	if stopped {
		return
	}
	m.f.rec.log("%s ended by itself: %v", m.name, err)
	time.Sleep(500 * time.Millisecond)
	m.start(false)
}

// watchMemory kills the process if it uses more than memoryLimit, as the platform does.
func (m *machine) watchMemory(cmd *exec.Cmd) {
	path := fmt.Sprintf("/proc/%d/statm", cmd.Process.Pid)
	page := int64(os.Getpagesize())
	for {
		text, err := os.ReadFile(path)
		fields := strings.Fields(string(text))
		if err != nil || len(fields) < 3 {
			return
		}
		resident, _ := strconv.ParseInt(fields[1], 10, 64)
		shared, _ := strconv.ParseInt(fields[2], 10, 64)
		used := (resident - shared) * page
		m.mu.Lock()
		m.peak = max(m.peak, used)
		current := m.cmd == cmd
		m.mu.Unlock()
		if !current {
			return
		}
		if used > memoryLimit && m.f.enforce {
			m.f.rec.log("%s uses %d MiB, more than its memory_mb of %d: the platform kills it", m.name, used>>20, memoryLimit>>20)
			m.mu.Lock()
			m.killed = append(m.killed, time.Now())
			m.mu.Unlock()
			_ = cmd.Process.Kill()
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// stop ends all processes and removes the temporary folder.
func (f *fleet) stop() {
	for _, m := range f.machines {
		m.mu.Lock()
		m.stopped = true
		m.mu.Unlock()
		m.signal(syscall.SIGCONT)
		m.signal(syscall.SIGKILL)
	}
	f.wg.Wait()
	if keep := os.Getenv("KEEP"); keep != "" {
		fmt.Fprintln(os.Stderr, "kept", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}

// startAll starts all machines at the same time, as at the first start of the system, sends the
// first configuration and waits until all fronts are ready.
func (f *fleet) startAll(routes, services []any, tenants []any) {
	for _, m := range f.machines {
		m.start(true)
	}
	if !f.configure(routes, services, tenants, 15*time.Second) {
		fatal("the first configuration was not acknowledged")
	}
	for _, m := range f.fronts() {
		if !waitFor(15*time.Second, m.ready) {
			fatal("%s is not ready", m.name)
		}
	}
}

// ready asks for the readiness like the platform's balancer.
func (m *machine) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + m.addr(portReady) + "/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// configure sends a new configuration until it is acknowledged.
func (f *fleet) configure(routes, services, tenants []any, within time.Duration) bool {
	f.version++
	doc := map[string]any{
		"version": f.version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	body, err := json.Marshal(doc)
	if err != nil {
		fatal("%v", err)
	}
	return waitFor(within, func() bool { return f.operate("/Configuration.Replace", body) == http.StatusOK })
}

// operate sends an order to the control machines in turn and follows redirects twice.
func (f *fleet) operate(path string, body []byte) int {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for _, m := range f.cores() {
		at := "http://" + m.addr(portControl) + path
		for range 3 {
			resp, err := c.Post(at, "application/json", bytes.NewReader(body))
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusTemporaryRedirect {
				at = resp.Header.Get("Location")
				continue
			}
			if resp.StatusCode < 300 {
				return resp.StatusCode
			}
			break
		}
	}
	return 0
}

// waitFor calls done until it returns true, for at most the given time.
func waitFor(within time.Duration, done func() bool) bool {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return false
}
