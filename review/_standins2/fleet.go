// Command lab plays the cases of this review: it starts the project's own programs as separate
// processes on loopback addresses, is their platform, replicas, operator and clients, and tells
// whether a rule was broken.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// node is one machine with one process of the project.
type node struct {
	name, class, ip, zone string
	cmd                   *exec.Cmd
	done                  chan struct{}
}

func (n *node) front() string   { return n.ip + ":8227" }
func (n *node) ready() string   { return n.ip + ":8220" }
func (n *node) control() string { return n.ip + ":8229" }

// lab is one small deployment.
type lab struct {
	dir    string // temporary folder
	net    string // the first two bytes of all addresses
	start  time.Time
	cores  []*node
	fronts []*node
	list   *platformList
	fds    int // descriptors of a front machine

	recordMu sync.Mutex
	record   *os.File
}

const zoneA, zoneB = "north", "south"

// cannotRun ends the lab with status 2.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case can't run: "+format+"\n", args...)
	panic(exitCode(2))
}

type exitCode int

// note writes a line of the record.
func (l *lab) note(format string, args ...any) {
	l.recordMu.Lock()
	defer l.recordMu.Unlock()
	fmt.Fprintf(l.record, "%8.3f "+format+"\n", append([]any{time.Since(l.start).Seconds()}, args...)...)
}

// newLab starts three core and the given number of front machines, and waits until all are up.
func newLab(recordPath string, fronts, fds int) *lab {
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		cannotRun("%v", err)
	}
	record, err := os.Create(recordPath)
	if err != nil {
		cannotRun("%v", err)
	}
	l := &lab{dir: dir, start: time.Now(), record: record, fds: fds}
	l.list = newPlatformList(l)
	for i := range 3 {
		l.cores = append(l.cores, &node{name: fmt.Sprintf("core-%d", i+1), class: "core", ip: fmt.Sprintf("%s.1.%d", l.net, 10+i), zone: []string{zoneA, zoneB, zoneA}[i]})
	}
	for i := range fronts {
		l.fronts = append(l.fronts, &node{name: fmt.Sprintf("front-%d", i+1), class: "front", ip: fmt.Sprintf("%s.2.%d", l.net, 10+i), zone: []string{zoneA, zoneB}[i%2]})
	}
	for _, n := range append(append([]*node{}, l.cores...), l.fronts...) {
		l.startNode(n, true)
	}
	return l
}

// startNode starts a machine's process by the command of the deploy file.
func (l *lab) startNode(n *node, bootstrap bool) {
	path := filepath.Join(l.dir, n.name+".yaml")
	if err := os.WriteFile(path, []byte(l.settings(n, bootstrap)), 0o600); err != nil {
		cannotRun("%v", err)
	}
	logFile, err := os.OpenFile(filepath.Join(l.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	n.cmd = exec.Command("target/wigeonflow", "platform")
	n.cmd.Stdout, n.cmd.Stderr = logFile, logFile
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + l.dir, "WIGEONFLOW_BOOT=" + path, "GOGC=50"}
	if n.class == "core" {
		n.cmd.Env = append(n.cmd.Env, "GOMEMLIMIT=40MiB")
	}
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnOneCore(n.cmd, len(n.name)+int(n.ip[len(n.ip)-1])); err != nil {
		cannotRun("%v", err)
	}
	done := make(chan struct{})
	n.done = done
	cmd := n.cmd
	go func() { _ = cmd.Wait(); close(done) }()
	l.note("process %s started at %s", n.name, n.ip)
}

// startOnOneCore starts a process that sees one core, as DEPLOY.md says of the machines. The core is
// one that this process may use.
func startOnOneCore(cmd *exec.Cmd, pick int) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &all); err != nil {
		return cmd.Start()
	}
	pick %= max(all.Count(), 1)
	for cpu := range 1024 {
		if all.IsSet(cpu) {
			if pick == 0 {
				one.Set(cpu)
				break
			}
			pick--
		}
	}
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		return cmd.Start()
	}
	defer func() { _ = unix.SchedSetaffinity(0, &all) }()
	return cmd.Start()
}

func (l *lab) settings(n *node, bootstrap bool) string {
	var b strings.Builder
	p := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	p("node_name: %q\nrole: %q\nmachine_class: %q", n.name, map[string]string{"core": "control", "front": "router"}[n.class], n.class)
	p("serves:\n  - %q", map[string]string{"core": "control", "front": "front"}[n.class])
	p("ip_address: %q\nzone: %q\nregion: \"r\"\nzones:\n  %s: \"r\"\n  %s: \"r\"", n.ip, n.zone, zoneA, zoneB)
	p("listen_addresses:")
	data, disk := "null", 0
	if n.class == "core" {
		p("  control: %q", n.control())
		data, disk = fmt.Sprintf("%q", filepath.Join(l.dir, "data-"+n.name)), 128
	} else {
		p("  front: %q\n  ready: %q", n.front(), n.ready())
	}
	p("internal_port_range:\n  - 7340\n  - 7355\nseed_nodes:")
	for _, c := range l.cores {
		p("  - %q", c.control())
	}
	p("bootstrap: %v\ncounts_toward_tolerance: %v", bootstrap, n.class == "core")
	cores, share, memory, fds, link := 1, 0.4, 284, l.fds, 1000.0
	if n.class == "core" {
		share, memory, fds = 0.08, 280, 4096
	}
	p("limits:\n  cpu_share: %v\n  cpu_cores: %d\n  memory_mb: %d\n  file_descriptors: %d\n  link_mbps: %v\n  disk_mb: %d", share, cores, memory, fds, link, disk)
	p("data_directory: %s\ndiscovery: \"cloud\"\nentry: \"virtual_ip\"\nheartbeat_interval_ms: 1200", data)
	p("contracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"retry\"\n  - \"recover\"\n  - \"engine\"\n  - \"stream\"\n  - \"tenants\"\n  - \"places\"")
	p("fault_tolerance:\n  machines: 1\n  zones: 0\n  regions: 0\nbounds:")
	p("  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: 3000\n  ack_timeout_ms: 4000\n  catch_up_s: 4\n  drain_ms: 3000\n  grace_period_s: 8\n  loss_slack_ms: 200")
	p("  configuration_apply_ms: 2000\n  rollback_slack_ms: 250\n  outer_bound_ms: 5000\n  enforce_revocation: true\n  revocation_ms: 5000\n  retry_budget_ratio: 0.2\n  budget_window_s: 10\n  retry_budget_slack: 54")
	p("  cold_overshoot: 1.5\n  cold_slack: 5\n  evacuation_ms: 5000\n  recovery_s: 12\n  pass_ms: 120\n  reuse_window_s: 10\n  load_imbalance_factor: 2")
	p("configuration_mode: \"highest\"\ncloud_api:\n  address: %q\n  rate_per_s: 42.0\n  duties: []\n  max_lag_ms: 800", l.list.addr)
	return b.String()
}

// close ends all processes and removes the folder; KEEP=1 keeps it.
func (l *lab) close() {
	for _, n := range append(append([]*node{}, l.cores...), l.fronts...) {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			<-n.done
		}
	}
	_ = l.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println("kept", l.dir)
	}
}

// configure sends a configuration like the operator until it is acknowledged.
func (l *lab) configure(config map[string]any) {
	body, _ := json.Marshal(config)
	l.order("POST", "/Configuration.Replace", body)
}

// order sends an operator's call to one core machine after the other until one acknowledges it.
func (l *lab) order(method, path string, body []byte) time.Time {
	limit := time.Now().Add(20 * time.Second)
	for i := 0; time.Now().Before(limit); i++ {
		url := "http://" + l.cores[i%len(l.cores)].control() + path
		for range 3 {
			status, location := l.call(method, url, body)
			if status == 307 && location != "" {
				url = location
				continue
			}
			l.note("operator: %s %s: %d", method, path, status)
			if status/100 == 2 {
				return time.Now()
			}
			if status/100 == 4 {
				cannotRun("%s %s was answered %d", method, path, status)
			}
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	cannotRun("%s %s was not acknowledged", method, path)
	return time.Time{}
}

func (l *lab) call(method, url string, body []byte) (status int, location string) {
	client := &http.Client{Timeout: time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get("Location")
}

// awaitReady waits until every front machine says that it is ready, for some time.
func (l *lab) awaitReady() {
	limit := time.Now().Add(20 * time.Second)
	for _, n := range l.fronts {
		for {
			if status, _ := l.call("GET", "http://"+n.ready()+"/readiness", nil); status == 200 {
				break
			}
			if time.Now().After(limit) {
				cannotRun("%s isn't ready", n.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	l.note("all front machines are ready")
}

// platformList is the platform's list of replicas. It shows each change with a lag.
type platformList struct {
	lab  *lab
	addr string

	mu       sync.Mutex
	versions []listVersion // the newest last
	entries  map[string]map[string]any
	order    []string
	foreign  []string // entries of another writer, as text, which stand before the others
}

type listVersion struct {
	at   time.Time
	body []byte
}

const listLag = 800 * time.Millisecond

func newPlatformList(l *lab) *platformList {
	p := &platformList{lab: l, entries: map[string]map[string]any{}}
	var listener net.Listener
	var err error
	for range 20 { // another lab may have these addresses
		l.net = fmt.Sprintf("127.%d", 20+rand.IntN(200))
		p.addr = l.net + ".3.1:8223"
		if listener, err = net.Listen("tcp", p.addr); err == nil {
			break
		}
	}
	if err != nil {
		cannotRun("%v", err)
	}
	m := http.NewServeMux()
	m.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(p.visible())
	})
	go func() { _ = http.Serve(listener, m) }()
	return p
}

// visible returns the list as it was listLag ago.
func (p *platformList) visible() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	body := []byte(`{"instances":[],"next":null}`)
	for _, v := range p.versions {
		if time.Since(v.at) >= listLag {
			body = v.body
		}
	}
	return body
}

// set adds or replaces an entry under its key; remove drops one.
func (p *platformList) set(key string, entry map[string]any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.entries[key] == nil {
		p.order = append(p.order, key)
	}
	p.entries[key] = entry
	p.publish()
}

func (p *platformList) remove(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.entries, key)
	p.publish()
}

func (p *platformList) setForeign(entries ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.foreign = entries
	p.publish()
}

func (p *platformList) publish() {
	texts := append([]string{}, p.foreign...)
	for _, key := range p.order {
		if e := p.entries[key]; e != nil {
			e["cold_remaining_ms"] = 0
			if until, ok := e["-cold"].(time.Time); ok {
				e["cold_remaining_ms"] = max(time.Until(until).Milliseconds(), 0)
			}
			shown := map[string]any{}
			for k, v := range e {
				if !strings.HasPrefix(k, "-") {
					shown[k] = v
				}
			}
			text, _ := json.Marshal(shown)
			texts = append(texts, string(text))
		}
	}
	p.versions = append(p.versions, listVersion{time.Now(), []byte(`{"instances":[` + strings.Join(texts, ",") + `],"next":null}`)})
	if len(p.versions) > 400 {
		p.versions = p.versions[200:]
	}
}

// refresh keeps what is left of cold starts up to date.
func (p *platformList) refresh(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		p.mu.Lock()
		p.publish()
		p.mu.Unlock()
	}
}
