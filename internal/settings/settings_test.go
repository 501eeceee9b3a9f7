package settings

import (
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/peterbourgon/ff/v3"
)

const valid = `instance: c1
zone: medeu
roles: [router, control]
listen:
  callers: 127.0.0.1:8080
  operators: 127.0.0.1:8090
  mesh: 127.0.0.1:7400
control:
  members: ["127.0.0.1:7400", "127.0.0.2:7400"]
data_dir: /data
platform:
  url: http://127.0.0.1:9000
`

func TestValidSettingsWithDefaults(t *testing.T) {
	is := is.New(t)
	s, violations := Parse("f.yaml", []byte(valid+"grace_period: 5s\nlog: {json: true}\n"), nil)
	is.Equal(len(violations), 0)
	is.Equal(string(s.Instance), "c1")
	is.True(s.Has(RoleRouter) && s.Has(RoleControl))
	is.Equal(s.GracePeriod, 5*time.Second)
	is.Equal(s.Session, Session{Lease: 3 * time.Second, RenewInterval: time.Second})
	is.Equal(s.Limits.MaxHeaderBytes, 65536)
	is.Equal(s.Tracing, Tracing{Exporter: ExporterNone, SampleRatio: 1})
	is.Equal(s.Log, Log{Level: "info", JSON: true})
}

func TestZeroValuesAreReplacedByDefaults(t *testing.T) {
	is := is.New(t)
	s := Settings{}.WithDefaults()
	is.Equal(s.Roles, []Role{RoleRouter})
	is.Equal(s, s.WithDefaults())
	for _, leaf := range leavesOf(&s) {
		is.True(leaf.Default == "" || !leaf.value.IsZero()) // a default differs from the zero value
	}
}

func TestViolations(t *testing.T) {
	cases := []struct {
		name, old, new string // replaces old in the valid file
		want           string // file:line: field: start of the message
		remedy         string
	}{
		{"unknown field", "zone: medeu", "zones: medeu", "f.yaml:2: zones: unknown field", "remove it; the fields are"},
		{"misspelt field", "data_dir: /data", "dataDir: /data", "f.yaml:10: dataDir: unknown field", "write data_dir"},
		{"unknown field inside", "  url:", "  uri:", "f.yaml:12: platform.uri: unknown field", "remove it"},
		{"duration without unit", "data_dir", "grace_period: 30\ndata_dir", `f.yaml:10: grace_period: "30" is not a duration with a unit`, "write a number with its unit"},
		{"size with a unit", "data_dir", "limits: {max_body_bytes: 1MiB}\ndata_dir", `f.yaml:10: limits.max_body_bytes: "1MiB" is not a whole number`, "without a unit"},
		{"text for a switch", "data_dir", "log: {json: yes}\ndata_dir", `f.yaml:10: log.json: "yes" is not true or false`, "write true or false"},
		{"field set twice", "zone: medeu", "zone: medeu\nzone: alatau", "f.yaml:3: (file): mapping key \"zone\" already defined", "write valid YAML"},
		{"value for a list", `["127.0.0.1:7400", "127.0.0.2:7400"]`, "127.0.0.1:7400", "f.yaml:9: control.members: expected a list", "write a list"},
		{"fields for a value", "data_dir: /data", "data_dir: {path: /data}", "f.yaml:10: data_dir: expected text, found fields", "write one value"},
		{"value for fields", "listen:\n  callers", "log: info\nlisten:\n  callers", "f.yaml:4: log: expected fields", "write the fields json, level"},
		{"unknown role", "[router, control]", "[router, leader]", `f.yaml:3: roles[1]: "leader" is not a known value`, "write one of router, control"},
		{"instance without a name", "instance: c1\n", "", "f.yaml:1: instance: is missing", "set it"},
		{"address used twice", "operators: 127.0.0.1:8090", "operators: 127.0.0.1:8080", "f.yaml:6: listen.operators: address 127.0.0.1:8080 is already used by listen.callers", "give each its own"},
		{"member listed twice", `"127.0.0.2:7400"`, `"127.0.0.1:7400"`, "f.yaml:9: control.members[1]: address 127.0.0.1:7400 is already used", "give each its own"},
		{"peer by name", `"127.0.0.2:7400"`, `"c2.example:7400"`, `f.yaml:9: control.members[1]: "c2.example:7400" is not a specific IP address with a port`, "write the IP address"},
		{"mesh at every address", "mesh: 127.0.0.1:7400", "mesh: 0.0.0.0:7400", `f.yaml:7: listen.mesh: "0.0.0.0:7400" is not a specific IP address with a port`, "write the IP address"},
		{"callers at a name", "callers: 127.0.0.1:8080", "callers: localhost:8080", `f.yaml:5: listen.callers: "localhost:8080" is not a listen address`, "write IP:PORT"},
		{"control without a data directory", "data_dir: /data\n", "", "f.yaml:1: data_dir: a control instance needs a data directory", "set data_dir"},
		{"router without a platform", "url: http://127.0.0.1:9000", "poll_interval: 2s", "f.yaml:11: platform.url: a router needs the platform's upstream list", "set platform.url"},
		{"router among the members", "[router, control]", "[router]", "f.yaml:9: control.members[0]: the instance lists itself", "add control to roles"},
		{"renewals longer than the lease", "data_dir", "session: {lease: 2s}\ndata_dir", "f.yaml:10: session.renew_interval: 1s is more than a third", "shorten renew_interval"},
		{"digest that is a key", "data_dir", "operators: [{name: a, key_digests: [secret]}]\ndata_dir", `f.yaml:10: operators[0].key_digests[0]: "secret" is not a SHA-256 digest`, "64 hex digits"},
		{"file exporter without a path", "data_dir", "tracing: {exporter: file}\ndata_dir", "f.yaml:10: tracing.path: the file exporter needs a path", "set the file"},
		{"key without a certificate", "  callers: 127", "  callers_tls: {key_file: k.pem}\n  callers: 127", "f.yaml:5: listen.callers_tls.certificate_file: is missing", "set it"},
		{"negative limit", "data_dir", "queue: {max_waiting: -1}\ndata_dir", `f.yaml:10: queue.max_waiting: "-1" is too small`, "write a value above 0"},
		{"not YAML", "zone: medeu", "zone: [medeu", "f.yaml:3: (file): ", "write valid YAML"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(valid, tc.old, tc.new, 1)
			is.True(text != valid) // the case must change the file
			_, violations := Parse("f.yaml", []byte(text), nil)
			for _, v := range violations {
				if strings.HasPrefix(v.String(), tc.want) && strings.Contains(v.Remedy, tc.remedy) {
					return
				}
			}
			t.Fatalf("want %s…; …%s…\n got %v", tc.want, tc.remedy, violations)
		})
	}
}

func TestAllViolationsAreReported(t *testing.T) {
	is := is.New(t)
	_, violations := Parse("f.yaml", []byte("colour: red\ngrace_period: 3\nlog:\n  json: 1\n"), nil)
	is.Equal(len(violations), 3)
	_, violations = Parse("f.yaml", []byte(""), nil)
	is.Equal(len(violations), 4) // instance, mesh, members, platform
}

func TestOverridesReplaceFileValues(t *testing.T) {
	is := is.New(t)
	t.Setenv("WIGEONFLOW_LIMITS_MAX_BODY_BYTES", "99")
	t.Setenv("WIGEONFLOW_LOG_LEVEL", "warn")
	var o Overrides
	fs := flag.NewFlagSet("serve", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	o.Register(fs)
	is.NoErr(ff.Parse(fs, []string{"--log.level", "debug", "--control.members", "127.0.0.1:7400, 127.0.0.3:1"}, Options()...))
	s, violations := Parse("f.yaml", []byte(valid), &o)
	is.Equal(len(violations), 0)
	is.Equal(s.Limits.MaxBodyBytes, int64(99))
	is.Equal(s.Log.Level, "debug") // a flag overrides the environment
	is.Equal(s.Control.Members, []string{"127.0.0.1:7400", "127.0.0.3:1"})
	is.True(ff.Parse(fs, []string{"--grace_period", "3"}) != nil)
	is.NoErr(ff.Parse(fs, []string{"--listen.mesh", "here:1"}))
	_, violations = Parse("f.yaml", []byte(valid), &o)
	is.Equal(len(violations), 1) // overrides are checked too
}

func TestMissingFilesAreReported(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	file := filepath.Join(dir, "instance.yaml")
	text := strings.Replace(valid, "/data", dir+"/data", 1) + "fleet_secret_file: " + dir + "/secret\n"
	is.NoErr(os.WriteFile(file, []byte(text), 0o600))
	s, violations := Load(file)
	is.Equal(len(violations), 0)
	missing := CheckReferencedFiles(file, s)
	is.Equal(len(missing), 2)
	is.Equal(missing[0].Field, "data_dir")
	is.Equal(missing[0].Line, 10)
	is.NoErr(os.Mkdir(dir+"/data", 0o700))
	is.NoErr(os.WriteFile(dir+"/secret", []byte("s"), 0o600))
	is.Equal(len(CheckReferencedFiles(file, s)), 0)
	_, violations = Load(filepath.Join(dir, "none.yaml"))
	is.Equal(len(violations), 1)
}
