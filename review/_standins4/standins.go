// Package main holds stand-ins of a small deployment: clients, replicas, the platform and the operator.
// They check what clients and replicas see. The modes first, part and entry are those of the cases review/11
// to 13; the others are those with which the review looked for faults and found none, see review/REPORT-3.md.
package main

import (
	"bufio"
	"bytes"
	"crypto/sha1"
	"encoding/hex"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

var (
	block   = flag.Int("block", 77, "second number of the loopback addresses")
	seconds = flag.Int("seconds", 40, "length of the traffic")
	seed    = flag.Int64("seed", 1, "seed of what is random")
	mode    = flag.String("mode", "replicas", "first, part, entry, or calm, replicas, churn, calmchurn, term, calmterm, kill, config, rest, restnew, storm")
	binary  = flag.String("bin", "target/wigeonflow", "the program")
	nfront  = flag.Int("fronts", 3, "machines of the class front")
	ncore   = flag.Int("cores", 3, "machines of the class core")
	killed  = flag.Int("killed", 1, "which seed is killed in the mode first; 0 for none")
	killMs  = flag.Int("kill-ms", 350, "when it is killed, from the start of the machines on")
	records = flag.String("record", "", "file for the record of the modes first, part and entry")
	digits  = flag.Int("digits", 32, "hexadecimal digits of the IDs of prompt parts in the mode part")
	written = flag.Int("events", 0, "events that a replica writes on the deadly part in the mode part before it ends")
	trouble = flag.Bool("trouble", true, "whether there is a disruption in the modes part and entry")
	dir     string
	began   = time.Now()
)

func ip(g, n int) string { return fmt.Sprintf("127.%d.%d.%d", *block, g, n) }

type proc struct {
	name, ip, zone string
	core           bool
	cmd            *exec.Cmd
	mu             sync.Mutex
	exited         chan struct{}
	signaled       bool
	disturbed      time.Time
}

var zones = []string{"za", "zb", "zc"}

func (p *proc) settings(bootstrap bool) string {
	var b bytes.Buffer
	serves, data := "front", "null"
	listen := fmt.Sprintf("  front: %q\n  ready: %q\n", p.ip+":8227", p.ip+":8220")
	if p.core {
		serves, data = "control", strconv.Quote(filepath.Join(dir, p.name, "data"))
		listen = fmt.Sprintf("  control: %q\n", p.ip+":8229")
	}
	fmt.Fprintf(&b, "node_name: %q\nrole: r\nserves: [%q]\nip_address: %q\nzone: %q\nregion: \"r1\"\n", p.name, serves, p.ip, p.zone)
	fmt.Fprintf(&b, "listen_addresses:\n%sinternal_port_range: [7340, 7355]\nseed_nodes:\n", listen)
	for i := 1; i <= 3; i++ {
		fmt.Fprintf(&b, "  - %q\n", ip(1, i)+":8229")
	}
	fmt.Fprintf(&b, "bootstrap: %v\ndata_directory: %s\nlimits:\n  link_mbps: 1000.0\n  memory_mb: 284\n  file_descriptors: 4200\n", bootstrap, data)
	b.WriteString("fault_tolerance:\n  machines: 1\n  zones: 1\n  regions: 0\nbounds:\n  grace_period_s: 8\n  contact_ms: 3000\n  configuration_apply_ms: 2000\n  enforce_revocation: true\n  revocation_ms: 5000\n  retry_budget_ratio: 0.2\n  budget_window_s: 10\n  retry_budget_slack: 54\n  ack_timeout_ms: 4000\n")
	fmt.Fprintf(&b, "cloud_api:\n  address: %q\n  rate_per_s: 42.0\n  max_lag_ms: 800\n", ip(9, 1)+":8223")
	path := filepath.Join(dir, p.name, "local.yaml")
	_ = os.MkdirAll(filepath.Join(dir, p.name, "data"), 0o755)
	_ = os.WriteFile(path, b.Bytes(), 0o644)
	return path
}

func (p *proc) start(bootstrap bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, _ := os.OpenFile(filepath.Join(dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	defer out.Close()
	cmd := exec.Command(*binary, "platform")
	cmd.Env = []string{"WIGEONFLOW_BOOT=" + p.settings(bootstrap), "GOGC=50", "PATH=" + os.Getenv("PATH"), "HOME=" + dir}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		fail("cannot start %s: %v", p.name, err)
	}
	p.cmd, p.exited, p.signaled, p.disturbed = cmd, make(chan struct{}), false, time.Now()
	go func(ex chan struct{}) {
		err := cmd.Wait()
		p.mu.Lock()
		if !p.signaled {
			violation("EXIT %s ended by itself: %v", p.name, err)
		}
		p.mu.Unlock()
		close(ex)
	}(p.exited)
}

func (p *proc) signal(s syscall.Signal) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.signaled = true
	}
	p.disturbed = time.Now()
	_ = p.cmd.Process.Signal(s)
	return p.exited
}

// syscallKill ends a process at once.
const syscallKill = syscall.SIGKILL

// allProcs are the processes of the deployment.
var allProcs []*proc

// endOnSignal ends the processes when this one is to end.
func endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		fail("ended by a signal")
	}()
}

// fail ends the run and its processes because the case can't run.
func fail(f string, a ...any) {
	fmt.Println("FAIL", fmt.Sprintf(f, a...))
	for _, p := range allProcs {
		if p.mu.TryLock() { // none is started any more
			defer p.mu.Unlock()
		}
		if p.cmd != nil {
			_ = p.cmd.Process.Kill()
		}
	}
	os.Exit(2)
}

var (
	vmu        sync.Mutex
	violations = map[string]int{}
)

func violation(f string, a ...any) {
	text := fmt.Sprintf(f, a...)
	kind, _, _ := strings.Cut(text, " ")
	vmu.Lock()
	violations[kind]++
	if violations[kind] <= 6 {
		fmt.Printf("%8.3f VIOLATION %s\n", time.Since(began).Seconds(), text)
	}
	vmu.Unlock()
}

// ---- record

type attempt struct {
	id, method, uri, kind, tenant, model, tokens, prefix, last string
	bodySum                                                    string
	sentAt                                                     time.Time
	runs                                                       []*run
	passed                                                     int
	front                                                      string
	status                                                     int
	mu                                                         sync.Mutex
}
type run struct {
	replica, sig, sum string
	status            int
	sound             bool
	at                time.Time
}

var attempts sync.Map

func sum(b []byte) string { h := sha1.Sum(b); return hex.EncodeToString(h[:8]) }

// ---- replicas

type replica struct {
	id, service, addr, zone string
	born                    int64
	draining                bool
	faulty                  bool
	l                       net.Listener
	conns                   sync.Map
	mu                      sync.Mutex
	gone                    bool
	rest                    time.Duration        // for which it turns each machine away, from its first answer on
	turned                  map[string]time.Time // by machine
	late                    map[string]int       // requests that came too early
	bornSeen                time.Time
}

var (
	rmu      sync.Mutex
	replicas = map[string]*replica{}
	idn      int
)

func newReplica(id, service, addr, zone string, faulty bool) *replica {
	rmu.Lock()
	if id == "" {
		idn++
		id = fmt.Sprintf("i-%04x", idn)
	}
	r := &replica{id: id, service: service, addr: addr, zone: zone, faulty: faulty, born: time.Now().UnixMilli()}
	rmu.Unlock()
	var err error
	for i := 0; i < 50; i++ {
		if r.l, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		fail("replica: %v", err)
	}
	rmu.Lock()
	replicas[id] = r
	rmu.Unlock()
	go func() {
		for {
			c, err := r.l.Accept()
			if err != nil {
				return
			}
			r.conns.Store(c, true)
			go r.serve(c)
		}
	}()
	return r
}

func (r *replica) crash() {
	r.l.Close()
	r.gone = true
	r.conns.Range(func(k, _ any) bool { reset(k.(net.Conn)); return true })
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (r *replica) serve(c net.Conn) {
	defer c.Close()
	defer r.conns.Delete(c)
	rnd := rand.New(rand.NewSource(rand.Int63()))
	in := bufio.NewReader(c)
	for {
		if r.faulty && rnd.Float64() < .05 { // forgets an idle connection
			_ = c.SetReadDeadline(time.Now().Add(time.Duration(rnd.Intn(200)) * time.Millisecond))
		} else {
			_ = c.SetReadDeadline(time.Now().Add(6 * time.Second))
		}
		if _, err := in.Peek(1); err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		q, err := http.ReadRequest(in)
		if err != nil {
			violation("UNASKED replica %s cannot read a request: %v", r.id, err)
			return
		}
		if !r.answer(c, in, q, rnd) {
			return
		}
	}
}

func content(key string, n int) string {
	h := sha1.Sum([]byte(key + strconv.Itoa(n)))
	return strings.Repeat(hex.EncodeToString(h[:]), 1+int(h[0])%4)
}

func events(key string) int { h := sha1.Sum([]byte(key)); return 3 + int(h[1])%30 }

func (r *replica) answer(c net.Conn, in *bufio.Reader, q *http.Request, rnd *rand.Rand) bool {
	id := q.Header.Get("X-Wigeonflow-Attempt-Id")
	v, ok := attempts.Load(id)
	if !ok {
		violation("UNASKED replica %s got unknown id %q %s %s", r.id, id, q.Method, q.RequestURI)
		return false
	}
	a := v.(*attempt)
	out := bufio.NewWriter(c)
	head := func(status int, more string) {
		fmt.Fprintf(out, "HTTP/1.1 %d X\r\nX-Wigeonflow-Attempt-Id: %s\r\nX-Wigeonflow-Server-Load: 1,0,64\r\n%s", status, id, more)
		if r.draining {
			out.WriteString("Server-Leaving: 1\r\n")
		}
	}
	reject := func(status int, more string) bool {
		_, _ = io.Copy(io.Discard, q.Body)
		head(status, more+"X-Wigeonflow-Not-Executed: 1\r\nContent-Length: 3\r\n")
		out.WriteString("\r\nno\n")
		return out.Flush() == nil
	}
	if want := q.Header.Get("X-Wigeonflow-Expected-Instance"); want != "" && want != r.id {
		return reject(421, "")
	}
	if r.rest > 0 {
		r.mu.Lock()
		at, known := r.turned[a.front]
		if !known {
			at = time.Now()
			r.turned[a.front] = at
			fmt.Printf("%8.3f %s turns %s away for %v\n", time.Since(began).Seconds(), r.id, a.front, r.rest)
		}
		passed := time.Since(at)
		if passed > 500*time.Millisecond && passed < r.rest {
			r.late[a.front]++
			if n := r.late[a.front]; n == 3 {
				violation("BUDGET %s got 3 requests of %s, the third %v after it has turned it away for %v", r.id, a.front, passed.Round(time.Millisecond), r.rest)
			}
		}
		r.mu.Unlock()
		if passed < r.rest {
			left := r.rest - passed
			return reject(503, fmt.Sprintf("Retry-After: %.1f\r\n", left.Seconds()))
		}
	}
	dice := 1.0
	if r.faulty {
		dice = rnd.Float64()
	}
	a.mu.Lock()
	a.passed++
	a.mu.Unlock()
	if dice < .05 {
		more := ""
		if rnd.Intn(3) == 0 {
			more = "Retry-After: 0.2\r\n"
		}
		return reject(503, more)
	}
	if dice < .06 { // rejects before it has read the body, goes on
		head(503, "X-Wigeonflow-Not-Executed: 1\r\nContent-Length: 3\r\n")
		out.WriteString("\r\nno\n")
		if out.Flush() != nil {
			return false
		}
		time.Sleep(20 * time.Millisecond)
		b, err := io.ReadAll(q.Body)
		if err == nil && sum(b) != a.bodySum {
			violation("UNASKED late body differs %s", id)
		}
		return err == nil
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return false
	}
	if q.Method != a.method || q.RequestURI != a.uri || sum(body) != a.bodySum {
		violation("UNASKED request changed %s %s %s, body %d bytes", id, q.Method, q.RequestURI, len(body))
	}
	for name, want := range map[string]string{"X-Wigeonflow-Tenant": a.tenant, "X-Wigeonflow-Model": a.model, "X-Wigeonflow-Token-Counts": a.tokens, "X-Wigeonflow-Prompt-Prefix": a.prefix, "X-Wigeonflow-Credential": "", "X-Wigeonflow-Hold": "", "Kv-From": "", "X-Wigeonflow-Pin-Milliseconds": "", "X-Wigeonflow-Kv-Backup": ""} {
		if got := strings.Join(q.Header.Values(name), "|"); got != want {
			violation("UNASKED header %s is %q, want %q (%s)", name, got, want, id)
		}
	}
	if *mode == "entry" {
		foreign.check(r, a)
	}
	if deadly.in(a.prefix) {
		return r.endByPart(a, c, q)
	}
	ru := &run{replica: r.id, sig: fmt.Sprintf("%s.%x", r.id, rnd.Int63()), status: 200, sound: true, at: time.Now()}
	a.mu.Lock()
	a.runs = append(a.runs, ru)
	n, st := len(a.runs), a.status
	a.mu.Unlock()
	if (a.kind == "once" || a.kind == "chat") && n > 1 {
		violation("TWICE %s (%s) ran %d times", id, a.kind, n)
	}
	if (a.kind == "once" || a.kind == "chat") && (st == 503 || st == 429) {
		violation("REFUSED %s ran after %d", id, st)
	}
	if a.kind == "chat" || a.kind == "note" {
		return r.stream(c, out, q, a, ru, rnd, dice, head)
	}
	time.Sleep(time.Duration(2+rnd.Intn(20)) * time.Millisecond)
	size := rnd.Intn(1600)
	if rnd.Intn(20) == 0 {
		size = rnd.Intn(300000)
	}
	text := []byte(strings.Repeat("x", size) + id)
	ru.sum = sum(text)
	sig := "X-Wigeonflow-Server-Signature: " + ru.sig + "\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(text))
	full := func() {
		head(ru.status, sig+length)
		out.WriteString("\r\n")
		out.Write(text)
	}
	if dice < .5 {
		ru.sound = false
	}
	switch {
	case dice < .09: // the answer is lost
		reset(c)
		return false
	case dice < .12: // truncated
		head(200, sig+length)
		out.WriteString("\r\n")
		out.Write(text[:rnd.Intn(len(text))])
		out.Flush()
		if rnd.Intn(2) == 0 {
			reset(c)
		}
		return false
	case dice < .15: // chunked, cut
		head(200, sig+"Transfer-Encoding: chunked\r\n")
		fmt.Fprintf(out, "\r\n%x\r\n%s\r\n", len(text), text)
		if rnd.Intn(2) == 0 {
			fmt.Fprintf(out, "5\r\nab")
		}
		out.Flush()
		if rnd.Intn(2) == 0 {
			reset(c)
		}
		return false
	case dice < .18: // no answer
		out.WriteString("\x00\x01garbage\r\nmore\r\n\r\n")
		out.Flush()
		return rnd.Intn(2) == 0
	case dice < .22: // extra answer at once
		full()
		full()
		return out.Flush() == nil
	case dice < .26: // extra answer late
		full()
		if out.Flush() != nil {
			return false
		}
		time.Sleep(time.Duration(rnd.Intn(60)) * time.Millisecond)
		full()
		return out.Flush() == nil
	case dice < .30: // unframed
		ru.sound = true
		head(200, sig)
		out.WriteString("\r\n")
		out.Write(text)
		out.Flush()
		return false
	case dice < .33: // unframed, reset
		head(200, sig)
		out.WriteString("\r\n")
		out.Write(text[:rnd.Intn(len(text))])
		out.Flush()
		time.Sleep(time.Duration(rnd.Intn(10)) * time.Millisecond)
		reset(c)
		return false
	case dice < .37:
		ru.status = 500
		full()
		return out.Flush() == nil
	case dice < .39:
		ru.status = 503 // not marked
		full()
		return out.Flush() == nil
	case dice < .42:
		time.Sleep(1200 * time.Millisecond)
		full()
		return out.Flush() == nil
	case dice < .44: // silent for good
		time.Sleep(5 * time.Second)
		return false
	case dice < .47: // in pieces
		full()
		b := out.Buffered()
		_ = b
		out.Flush()
		return true
	case dice < .5:
		head(200, sig+"Connection: close\r\n"+length)
		out.WriteString("\r\n")
		out.Write(text)
		out.Flush()
		return false
	case dice < .6:
		head(200, sig+"Transfer-Encoding: chunked\r\n")
		out.WriteString("\r\n")
		for t := text; len(t) > 0; {
			k := 1 + rnd.Intn(len(t))
			fmt.Fprintf(out, "%x\r\n%s\r\n", k, t[:k])
			t = t[k:]
		}
		out.WriteString("0\r\n\r\n")
		return out.Flush() == nil
	}
	full()
	return out.Flush() == nil
}

func (r *replica) stream(c net.Conn, out *bufio.Writer, q *http.Request, a *attempt, ru *run, rnd *rand.Rand, dice float64, head func(int, string)) bool {
	key := a.uri
	n := events(key)
	from := 0
	if last := q.Header.Get("Last-Event-Id"); last != "" {
		from, _ = strconv.Atoi(last)
	}
	sig := "X-Wigeonflow-Server-Signature: " + ru.sig + "\r\nContent-Type: text/event-stream\r\n"
	chunked := !(dice >= .30 && dice < .38)
	if chunked {
		head(200, sig+"Transfer-Encoding: chunked\r\n")
	} else {
		head(200, sig+"Connection: close\r\n")
	}
	out.WriteString("\r\n")
	write := func(s string) bool {
		if chunked {
			fmt.Fprintf(out, "%x\r\n%s\r\n", len(s), s)
		} else {
			out.WriteString(s)
		}
		return out.Flush() == nil
	}
	if dice < .40 {
		ru.sound = dice >= .30 && dice < .34
	}
	stop := from + 1 + rnd.Intn(n+1)
	for i := from + 1; i <= n; i++ {
		text := fmt.Sprintf("id: %d\ndata: %s\n", i, content(key, i))
		if i == n {
			text += "data: end\n"
		}
		text += "\n"
		if i == stop {
			switch {
			case dice < .10: // inside an event
				write(text[:1+rnd.Intn(len(text)-2)])
				if rnd.Intn(2) == 0 {
					reset(c)
				}
				return false
			case dice < .16: // between two events
				reset(c)
				return false
			case dice < .18:
				time.Sleep(6 * time.Second)
				return false
			case dice < .24:
				time.Sleep(1300 * time.Millisecond)
			case dice < .27:
				write("HTTP/1.1 200 OK\r\nX-Wigeonflow-Attempt-Id: zz\r\nContent-Length: 0\r\n\r\n")
				return false
			case dice < .30 && chunked: // ends early as complete
				out.WriteString("zz\r\n")
				out.Flush()
				return false
			case dice >= .34 && dice < .36:
				write(text[:len(text)-1-rnd.Intn(len(text)-2)])
				return false // unframed, inside an event
			case dice >= .36 && dice < .38:
				write(text[:rnd.Intn(len(text))])
				time.Sleep(time.Duration(rnd.Intn(5)) * time.Millisecond)
				reset(c)
				return false
			}
		}
		if !write(text) {
			return false
		}
		time.Sleep(time.Duration(rnd.Intn(12)) * time.Millisecond)
	}
	if !chunked {
		return false
	}
	out.WriteString("0\r\n\r\n")
	return out.Flush() == nil
}

// newReplicaResting starts a replica again that is full at first and asks each machine to stay away. The
// list shows its start 800 ms later.
func newReplicaResting(id string, former *replica, rest time.Duration) *replica {
	r := &replica{id: id, service: former.service, addr: former.addr, zone: former.zone, rest: rest, turned: map[string]time.Time{}, late: map[string]int{}, born: time.Now().UnixMilli()}
	rmu.Lock()
	if id == "" {
		idn++
		r.id = fmt.Sprintf("i-%04x", idn)
	}
	rmu.Unlock()
	var err error
	for range 50 {
		if r.l, err = net.Listen("tcp", r.addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		fail("replica: %v", err)
	}
	time.AfterFunc(800*time.Millisecond, func() {
		rmu.Lock()
		replicas[r.id] = r
		rmu.Unlock()
	})
	go func() {
		for {
			c, err := r.l.Accept()
			if err != nil {
				return
			}
			r.conns.Store(c, true)
			go r.serve(c)
		}
	}()
	return r
}

// ---- platform

func platform() {
	l, err := net.Listen("tcp", ip(9, 1)+":8223")
	if err != nil {
		fail("platform: %v", err)
	}
	_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		rmu.Lock()
		var list []string
		for _, r := range replicas {
			state := "ready"
			if r.draining {
				state = "draining"
			}
			list = append(list, fmt.Sprintf(`{"id":%q,"service":%q,"address":%q,"zone":%q,"version":"v1","slots":64,"state":%q,"cold_remaining_ms":0,"born":%d,"stage":"combined","models":[{"name":"m","version":1,"adapters":[]}]}`, r.id, r.service, r.addr, r.zone, state, r.born))
		}
		rmu.Unlock()
		if e := foreign.entry(); e != "" {
			list = append(list, e)
		}
		if *mode != "calm" && *mode != "first" && *mode != "part" && *mode != "entry" {
			list = append(list, `{"id":7,"service":"x"}`, `{"id":"q","service":"svc","state":"odd"}`, "{\"id\":\"\xff\xfe\"}")
		}
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"instances":[%s],"next":null}`, strings.Join(list, ","))
	}))
}

// ---- operator

var version = 1

func config() []byte {
	route := func(name, prefix, kind, service string, timeout, target, attempts int, resume bool) map[string]any {
		return map[string]any{"name": name, "host": "h.example", "path_prefix": prefix, "kind": kind, "timeout_ms": timeout, "target_latency_ms": target, "priority": 1, "service": service, "max_attempts": attempts, "public_access": false, "session_affinity": kind == "streaming", "stream_resumption": resume, "target_gap_ms": 200}
	}
	doc := map[string]any{
		"version": version,
		"routes": []any{route("r1", "/once/", "non_idempotent", "svc", 1500, 100, 1, false), route("r2", "/idem/", "idempotent", lookups(), 1500, 100, 2, false),
			route("r3", "/chat/", "streaming", "llm", 4000, 300, 1, false), route("r4", "/note/", "streaming", "llm", 4000, 300, 2, true)},
		"services": []any{map[string]any{"name": "stock", "health_check_path": "/health", "max_connections": 300, "protocol": "h1", "cold_start_s": 0.0, "cold_per_s": 0.0}, map[string]any{"name": "svc", "health_check_path": "/health", "max_connections": 300, "protocol": "h1", "cold_start_s": 0.0, "cold_per_s": 0.0},
			map[string]any{"name": "llm", "health_check_path": "/health", "max_connections": 370, "cold_start_s": 0.0, "cold_per_s": 0.0, "engine": map[string]any{"slots": 64, "kv_cache_tokens": 450000, "migrations": true, "backups": true}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "t1", "api_keys": []string{"k1a", "k1b"}, "priority": 1}, map[string]any{"name": "t2", "api_keys": []string{"k2"}}},
	}
	b, _ := json.Marshal(doc)
	return b
}

func order(path string, body []byte, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(limit)
	var last error
	for i := 1; time.Now().Before(end); i++ {
		resp, err := client.Post("http://"+ip(1, 1+i%3)+":8229"+path, "application/json", bytes.NewReader(body))
		if err == nil {
			b, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return nil
			}
			err = fmt.Errorf("status %d %s", resp.StatusCode, b)
		}
		last = err
		time.Sleep(100 * time.Millisecond)
	}
	return last
}

// ---- clients

var stats struct {
	sync.Mutex
	ends map[string]int
}

func count(k string) {
	stats.Lock()
	stats.ends[k]++
	stats.Unlock()
}

type client struct {
	rnd   *rand.Rand
	conn  net.Conn
	in    *bufio.Reader
	front *proc
	used  int
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn = nil
}

func (c *client) step(fronts []*proc) {
	rnd := c.rnd
	if c.conn != nil && rnd.Intn(12) == 0 {
		c.close()
	}
	if c.conn == nil {
		c.front = fronts[rnd.Intn(len(fronts))]
		conn, err := net.DialTimeout("tcp", c.front.ip+":8227", time.Second)
		if err != nil {
			time.Sleep(30 * time.Millisecond)
			count("no connection")
			return
		}
		c.conn, c.in, c.used = conn, bufio.NewReader(conn), 0
	}
	kinds := []string{"once", "once", "idem", "chat", "note"}
	kind := kinds[rnd.Intn(len(kinds))]
	a := &attempt{id: fmt.Sprintf("%016x", rnd.Uint64()), method: "POST", kind: kind, sentAt: time.Now(), front: c.front.name}
	a.uri = fmt.Sprintf("/%s/%x?q=%d", kind, rnd.Intn(40), rnd.Intn(3))
	var body []byte
	if kind == "idem" {
		a.method = "GET"
	} else {
		body = bytes.Repeat([]byte{byte('a' + rnd.Intn(26))}, rnd.Intn(900))
		if rnd.Intn(8) == 0 {
			body = bytes.Repeat([]byte{byte('a' + rnd.Intn(26))}, rnd.Intn(400000))
		}
	}
	a.bodySum = sum(body)
	key, tenant := "k1a", "t1"
	if rnd.Intn(2) == 0 {
		key, tenant = "k2", "t2"
	}
	a.tenant = tenant
	var b bytes.Buffer
	timeout := 1500
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h.example\r\nX-Wigeonflow-Attempt-Id: %s\r\nX-Wigeonflow-Credential: %s\r\nX-Wigeonflow-Tenant: evil\r\nX-Wigeonflow-Hold: 1\r\nKv-From: 1.2.3.4:1/a\r\n", a.method, a.uri, a.id, key)
	if kind == "chat" || kind == "note" {
		timeout = 4000
		a.model, a.tokens, a.prefix = "m", "600,80", fmt.Sprintf("%x:300,%x:200,%x:100", rnd.Intn(3)+1, rnd.Intn(20)+100, rnd.Uint32())
		fmt.Fprintf(&b, "X-Wigeonflow-Model: %s\r\nX-Wigeonflow-Token-Counts: %s\r\nX-Wigeonflow-Prompt-Prefix: %s\r\n", a.model, a.tokens, a.prefix)
	}
	if rnd.Intn(3) > 0 {
		fmt.Fprintf(&b, "X-Wigeonflow-Deadline-Remaining: %d\r\n", timeout)
	}
	chunked := len(body) > 0 && rnd.Intn(2) == 0
	if chunked {
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for t := body; len(t) > 0; {
			k := 1 + rnd.Intn(len(t))
			fmt.Fprintf(&b, "%x\r\n%s\r\n", k, t[:k])
			t = t[k:]
		}
		b.WriteString("0\r\n\r\n")
	} else if len(body) > 0 || a.method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	} else {
		b.WriteString("\r\n")
	}
	attempts.Store(a.id, a)
	kept := c.used > 0
	c.used++
	conn := c.conn
	if rnd.Intn(15) == 0 {
		t := time.AfterFunc(time.Duration(rnd.Intn(150))*time.Millisecond, func() { conn.Close() })
		defer t.Stop()
		kept = false
		a.model += ""
		defer c.close()
	}
	_ = conn.SetDeadline(time.Now().Add(time.Duration(timeout)*time.Millisecond + 1500*time.Millisecond))
	if _, err := conn.Write(b.Bytes()); err != nil {
		count(kind + " write failed")
		c.close()
		return
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: a.method})
	took := time.Since(a.sentAt)
	if err != nil {
		if errors.Is(err, net.ErrClosed) {
			count("gave up")
			return
		}
		var ne net.Error
		a.mu.Lock()
		sound, passed := false, a.passed
		for _, r := range a.runs {
			sound = sound || r.sound
		}
		a.mu.Unlock()
		if errors.As(err, &ne) && ne.Timeout() {
			violation("LATE %s (%s) no answer in %v from %s (passed %d)", a.id, kind, took, c.front.name, passed)
		} else if kept && passed > 0 && sound && time.Since(c.front.disturbed) > 3*time.Second {
			violation("LOST %s (%s) closed by %s without an answer after %v: %v", a.id, kind, c.front.name, took, err)
		}
		if *mode == "calmterm" && (passed > 0 || took > 200*time.Millisecond) {
			violation("LOST %s (%s) closed by %s without an answer after %v, kept %v, passed %d: %v", a.id, kind, c.front.name, took, kept, passed, err)
		}
		count(kind + " closed")
		c.close()
		return
	}
	if took > time.Duration(timeout+500)*time.Millisecond {
		violation("LATE %s (%s) answered %d after %v", a.id, kind, resp.StatusCode, took)
	}
	got, readErr := io.ReadAll(resp.Body)
	a.mu.Lock()
	a.status = resp.StatusCode
	runs := append([]*run{}, a.runs...)
	a.mu.Unlock()
	var of *run
	sig := resp.Header.Get("X-Wigeonflow-Server-Signature")
	for _, r := range runs {
		if r.sig == sig {
			of = r
		}
	}
	count(fmt.Sprintf("%s %d", kind, resp.StatusCode))
	if resp.Header.Get("X-Wigeonflow-Attempt-Id") != a.id && sig != "" {
		violation("MIXED answer of %q for %s", resp.Header.Get("X-Wigeonflow-Attempt-Id"), a.id)
	}
	if sig != "" && (of == nil || of.status != resp.StatusCode) {
		violation("MIXED %s status %d signature %s unknown or other status", a.id, resp.StatusCode, sig)
	}
	switch {
	case resp.StatusCode == 200 && of == nil:
		violation("MIXED %s 200 without a run", a.id)
	case resp.StatusCode == 200 && (kind == "chat" || kind == "note"):
		c.checkStream(a, got, readErr)
	case resp.StatusCode == 200 && readErr == nil && sum(got) != of.sum:
		violation("MIXED %s body differs: %d bytes", a.id, len(got))
	case resp.StatusCode == 503 || resp.StatusCode == 429:
		if (kind == "once" || kind == "chat") && len(runs) > 0 {
			violation("REFUSED %s (%s) %d after a run", a.id, kind, resp.StatusCode)
		}
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		violation("DENIED %s (%s) %d %s", a.id, kind, resp.StatusCode, got)
	}
	if readErr != nil || resp.Close {
		c.close()
	}
	if rnd.Intn(4) == 0 {
		time.Sleep(time.Duration(rnd.Intn(600)) * time.Millisecond)
	}
}

func (c *client) checkStream(a *attempt, got []byte, readErr error) {
	n := events(a.uri)
	parts := strings.Split(string(got), "\n\n")
	whole := len(got) == 0 || strings.HasSuffix(string(got), "\n\n")
	for i, p := range parts[:len(parts)-1] {
		want := fmt.Sprintf("id: %d\ndata: %s", i+1, content(a.uri, i+1))
		if i+1 == n {
			want += "\ndata: end"
		}
		if p != want {
			violation("ORDER %s (%s) event %d is %.60q", a.id, a.kind, i+1, p)
			return
		}
	}
	switch {
	case readErr == nil && (!whole || len(parts)-1 != n):
		violation("ORDER %s (%s) ends as complete after %d of %d events", a.id, a.kind, len(parts)-1, n)
	case readErr != nil:
		if *mode == "calmterm" && !errors.Is(readErr, net.ErrClosed) {
			violation("LOST %s (%s) cut after %d of %d events: %v", a.id, a.kind, len(parts)-1, n, readErr)
		}
		count(a.kind + " cut")
	default:
		count(a.kind + " whole")
	}
}

func main() {
	flag.Parse()
	stats.ends = map[string]int{}
	dir, _ = os.MkdirTemp("", "wf")
	fmt.Println("folder", dir)
	go platform()
	rnd := rand.New(rand.NewSource(*seed))
	faulty := *mode != "calm" && *mode != "first" && *mode != "part" && *mode != "entry" && *mode != "rest" && *mode != "restnew" && *mode != "calmterm" && *mode != "calmchurn"
	var addrs []string
	for i := 1; i <= 4; i++ {
		addrs = append(addrs, ip(4, i)+":8080")
		newReplica("", "svc", ip(4, i)+":8080", zones[i%3], faulty && i != 4)
	}
	engines := 6
	if *mode == "part" {
		engines = 18
	}
	for i := 11; i < 11+engines; i++ {
		addrs = append(addrs, ip(4, i)+":8080")
		newReplica("", "llm", ip(4, i)+":8080", zones[i%3], faulty && i < 15)
	}
	for i := 31; *mode == "entry" && i <= 34; i++ {
		newReplica("", "stock", ip(4, i)+":8080", zones[i%3], false)
	}
	var procs, fronts []*proc
	for i := 1; i <= *ncore; i++ {
		procs = append(procs, &proc{name: fmt.Sprintf("core-%d", i), ip: ip(1, i), zone: zones[i%3], core: true})
	}
	for i := 1; i <= *nfront; i++ {
		p := &proc{name: fmt.Sprintf("front-%d", i), ip: ip(1, 10+i), zone: zones[i%3]}
		procs, fronts = append(procs, p), append(fronts, p)
	}
	allProcs = procs
	endOnSignal()
	switch *mode {
	case "first":
		first(procs, fronts)
	case "part":
		part(procs, fronts)
	case "entry":
		entry(procs, fronts)
	}
	for _, p := range procs {
		p.start(true)
	}
	defer func() {
		for _, p := range procs {
			p.signal(syscall.SIGCONT)
			<-p.signal(syscall.SIGKILL)
		}
	}()
	if err := order("/Configuration.Replace", config(), 15*time.Second); err != nil {
		fmt.Println("no configuration:", time.Since(began), err)
		return
	}
	time.Sleep(1500 * time.Millisecond)
	if *mode == "storm" {
		storm(procs[:*ncore], rnd)
		return
	}
	began = time.Now()
	end := began.Add(time.Duration(*seconds) * time.Second)
	var wg sync.WaitGroup
	for i := range 80 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &client{rnd: rand.New(rand.NewSource(*seed*1000 + int64(i)))}
			for time.Now().Before(end) {
				c.step(fronts)
			}
			c.close()
		}()
	}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(300+rnd.Intn(900)) * time.Millisecond)
		switch *mode {
		case "churn", "calmchurn":
			rmu.Lock()
			var all []*replica
			for _, r := range replicas {
				all = append(all, r)
			}
			rmu.Unlock()
			r := all[rnd.Intn(len(all))]
			switch rnd.Intn(3) {
			case 0: // restart under the same id
				r.crash()
				time.Sleep(time.Duration(rnd.Intn(500)) * time.Millisecond)
				newReplica(r.id, r.service, r.addr, r.zone, r.faulty)
			case 1: // another service takes the address
				r.crash()
				rmu.Lock()
				delete(replicas, r.id)
				rmu.Unlock()
				service := []string{"svc", "llm"}[rnd.Intn(2)]
				newReplica("", service, r.addr, r.zone, r.faulty)
			case 2:
				r.draining = true
				time.Sleep(1500 * time.Millisecond)
				r.crash()
				rmu.Lock()
				delete(replicas, r.id)
				rmu.Unlock()
				newReplica("", r.service, r.addr, r.zone, r.faulty)
			}
		case "rest", "restnew":
			rmu.Lock()
			var r *replica
			for _, x := range replicas {
				if x.service == "svc" && x.rest == 0 {
					r = x
				}
			}
			rmu.Unlock()
			if r == nil {
				continue
			}
			fmt.Printf("%8.3f %s crashes\n", time.Since(began).Seconds(), r.id)
			r.crash()
			time.Sleep(time.Second)
			id := r.id
			if *mode == "restnew" {
				id = ""
				rmu.Lock()
				delete(replicas, r.id)
				rmu.Unlock()
			}
			n := newReplicaResting(id, r, 6*time.Second)
			fmt.Printf("%8.3f %s is back\n", time.Since(began).Seconds(), n.id)
			time.Sleep(8 * time.Second)
		case "term", "calmterm":
			p := fronts[rnd.Intn(len(fronts))]
			<-p.signal(syscall.SIGTERM)
			p.start(false)
		case "kill":
			p := procs[rnd.Intn(len(procs))]
			switch rnd.Intn(3) {
			case 0:
				<-p.signal(syscall.SIGKILL)
				p.start(false)
			case 1:
				p.signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(rnd.Intn(4000)) * time.Millisecond)
				p.signal(syscall.SIGCONT)
			case 2:
				<-p.signal(syscall.SIGTERM)
				p.start(false)
			}
		case "config":
			version++
			if err := order("/Configuration.Replace", config(), 4*time.Second); err != nil {
				violation("ACK %v", err)
			}
		}
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	attempts.Range(func(_, v any) bool {
		a := v.(*attempt)
		if (a.kind == "once" || a.kind == "chat") && (a.status == 503 || a.status == 429) && len(a.runs) > 0 {
			violation("REFUSED %s %d and has run", a.id, a.status)
		}
		return true
	})
	b, _ := json.Marshal(stats.ends)
	fmt.Println(string(b))
	fmt.Println("violations", violations)
}

// storm sends configurations in quick succession while processes of the core are killed and lose
// their disks, one at a time, and reads the newest one back.
func storm(cores []*proc, rnd *rand.Rand) {
	began = time.Now()
	end := began.Add(time.Duration(*seconds) * time.Second)
	var mu sync.Mutex
	acked, sent := 1, 0
	var wg sync.WaitGroup
	for range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := &http.Client{Timeout: time.Second}
			for k := rand.Int(); time.Now().Before(end); k++ {
				mu.Lock()
				version++
				v := version
				doc := config()
				sent++
				mu.Unlock()
				resp, err := client.Post("http://"+cores[k%len(cores)].ip+":8229/Configuration.Replace", "application/json", bytes.NewReader(doc))
				if err != nil {
					continue
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode == 200 {
					mu.Lock()
					acked = max(acked, v)
					mu.Unlock()
				} else if resp.StatusCode < 500 {
					violation("REFUSED a configuration with status %d", resp.StatusCode)
				}
			}
		}()
	}
	read := func() int {
		for i := 0; i < 60; i++ {
			client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			resp, err := client.Get("http://" + cores[i%len(cores)].ip + ":8229/Configuration.Read")
			if err == nil {
				var d struct{ Version int }
				err = json.NewDecoder(resp.Body).Decode(&d)
				resp.Body.Close()
				if err == nil && resp.StatusCode == 200 {
					return d.Version
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		return -1
	}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(200+rnd.Intn(4500)) * time.Millisecond)
		mu.Lock()
		before := acked
		mu.Unlock()
		if got := read(); got < before {
			violation("CONFIG read %d after %d was acknowledged", got, before)
		}
		p := cores[rnd.Intn(len(cores))]
		what := rnd.Intn(4)
		fmt.Printf("%8.3f %s %d acked %d sent %d\n", time.Since(began).Seconds(), p.name, what, before, sent)
		switch what {
		case 0:
			<-p.signal(syscall.SIGKILL)
			p.start(false)
		case 1:
			<-p.signal(syscall.SIGKILL)
			_ = os.RemoveAll(filepath.Join(dir, p.name, "data"))
			p.start(false)
			time.Sleep(4 * time.Second)
		case 2:
			for _, q := range cores {
				q.signal(syscall.SIGKILL)
			}
			for _, q := range cores {
				<-q.exited
				q.start(false)
			}
		case 3:
			<-p.signal(syscall.SIGTERM)
			p.start(false)
		}
	}
	wg.Wait()
	time.Sleep(time.Second)
	got := read()
	fmt.Println("acked", acked, "read", got, "sent", sent, "violations", violations)
	if got < acked {
		violation("CONFIG at the end read %d, acknowledged %d", got, acked)
	}
}
