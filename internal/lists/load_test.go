package lists

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const validPlans = `plans:
  - name: basic
    requests_per_second: 5
    concurrency: 4
  - name: large
workspaces:
  - id: silk-ties
    plan: basic
    key_digests:
      - aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
  - id: choirs
    plan: large
    key_digests: [bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb]
`

const validAllowances = `pools:
  - name: llm
    kind: engine
  - name: counter
    kind: service
models:
  - name: tie-notes
    pool: llm
    adapters: [silk]
services:
  - name: counter
    pool: counter
    routes:
      - method: POST
        path: /bookings
        lookup_path: /bookings/lookup
plans:
  - plan: basic
    models: [tie-notes]
    adapters: [silk]
    services: [counter]
`

func parseTexts(plans, allowances string) (Config, []Violation) {
	return Parse(Source{Name: PlansFile, Data: []byte(plans)}, Source{Name: AllowancesFile, Data: []byte(allowances)})
}

func TestLoadReadsFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	plans, allowances := filepath.Join(dir, "p.yaml"), filepath.Join(dir, "a.yaml")
	is.NoErr(os.WriteFile(plans, []byte(validPlans), 0o600))
	is.NoErr(os.WriteFile(allowances, []byte(validAllowances), 0o600))
	config, violations := Load(plans, allowances)
	is.Equal(violations, nil)
	is.Equal(len(config.Plans.Workspaces), 2)
	is.Equal(config.Allowances.Models[0].Adapters, []string{"silk"})

	_, violations = Load(plans, filepath.Join(dir, "missing.yaml"))
	is.Equal(len(violations), 1)
}

func TestParseViolations(t *testing.T) {
	cases := []struct {
		name string
		// old is replaced by new in validPlans or, if that does not contain it, in
		// validAllowances.
		old, new string
		want     []string // prefixes of the violations, in order
	}{
		{"unknown field", "concurrency: 4", "concurency: 4", []string{"plans.yaml:4:5: plans[0].concurency: unknown field; remove it or use one of: burst"}},
		{"unknown top field", "workspaces:", "customers:", []string{"plans.yaml:6:1: customers: unknown field"}},
		{"syntax", "plans:\n  - name: basic", "plans: [\n  - name: basic", []string{"plans.yaml:"}},
		{"wrong type", "concurrency: 4", "concurrency: four", []string{"plans.yaml:4:18: cannot unmarshal"}},
		{"ID that reads as a number", "id: choirs", "id: 0010", []string{"plans.yaml:11:5: workspaces[1].id: YAML reads 0010 as a value of type integer; put it in quotes"}},
		{"name that reads as a boolean", "name: large", "name: true", []string{"plans.yaml:5:5: plans[1].name: YAML reads true as a value of type bool; put it in quotes"}},
		{"digest of digits alone", strings.Repeat("b", 64), strings.Repeat("0", 63) + "1", []string{"plans.yaml:13:19: workspaces[1].key_digests[0]: YAML reads 000"}},
		{"duplicate key", "concurrency: 4", "concurrency: 4\n    concurrency: 5", []string{"plans.yaml:5:5: "}},
		{"negative limit", "concurrency: 4", "concurrency: -4", []string{"plans.yaml:4:5: plans[0].concurrency: -4 is too small; use at least 0"}},
		{"workspace on unknown plan", "plan: large\n", "plan: gold\n", []string{`plans.yaml:12:5: workspaces[1].plan: unknown plan "gold"; define the plan or use one of: basic, large`}},
		{"workspace without plan", "    plan: large\n", "", []string{"plans.yaml:11:5: workspaces[1].plan: missing; set it"}},
		{"duplicate workspace", "id: choirs", "id: silk-ties", []string{"plans.yaml:11:5: workspaces[1].id: workspace \"silk-ties\" is already at workspaces[0].id"}},
		{"duplicate plan", "name: large", "name: basic", []string{"plans.yaml:5:5: plans[1].name: plan", "plans.yaml:12:5: workspaces[1].plan: unknown plan"}},
		{"duplicate key digest in another case", strings.Repeat("b", 64), strings.Repeat("A", 64), []string{"plans.yaml:13:19: workspaces[1].key_digests[0]: key digest"}},
		{"short digest", strings.Repeat("b", 64), "bb", []string{"plans.yaml:13:19: workspaces[1].key_digests[0]: not a SHA-256 digest"}},
		{"model in unknown pool", "pool: llm", "pool: lm", []string{`allowances.yaml:8:5: models[0].pool: unknown pool "lm"; define the pool or use one of: llm`}},
		{"model in a service pool", "pool: llm", "pool: counter", []string{"allowances.yaml:8:5: models[0].pool: pool \"counter\" is of kind service"}},
		{"unknown kind", "kind: engine", "kind: robot", []string{"allowances.yaml:3:5: pools[0].kind: \"robot\" is not allowed; use one of: engine, service", "allowances.yaml:8:5: models[0].pool"}},
		{"allowance of unknown plan", "  - plan: basic", "  - plan: gold", []string{"allowances.yaml:18:5: plans[0].plan: unknown plan"}},
		{"allowance of unknown model", "models: [tie-notes]", "models: [tie-note]", []string{"allowances.yaml:19:14: plans[0].models[0]: unknown model"}},
		{"allowance of unknown adapter", "    adapters: [silk]\n    services: [counter]", "    adapters: [wool]\n    services: [counter]", []string{"allowances.yaml:20:16: plans[0].adapters[0]: unknown adapter"}},
		{"allowance of unknown service", "services: [counter]", "services: [clock]", []string{"allowances.yaml:21:16: plans[0].services[0]: unknown service"}},
		{"unknown method", "method: POST", "method: BOOK", []string{"allowances.yaml:14:9: services[0].routes[0].method: unknown method"}},
		{"route hidden by an earlier one", "      - method: POST\n", "      - {method: \"*\", path: /}\n      - method: POST\n", []string{"allowances.yaml:15:9: services[0].routes[1]: hidden by routes[0]"}},
		{"load factor of one", "kind: engine", "kind: engine\n    load_factor: 1", []string{"allowances.yaml:4:5: pools[0].load_factor: 1 is too small; use more than 1"}},
		{"two violations in two files", "plan: large\n", "plan: gold\n", []string{"plans.yaml:12:5"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			plans := strings.Replace(validPlans, tc.old, tc.new, 1)
			allowances := validAllowances
			if plans == validPlans {
				allowances = strings.Replace(validAllowances, tc.old, tc.new, 1)
			}
			is.True(plans != validPlans || allowances != validAllowances) // the replacement took effect
			_, violations := parseTexts(plans, allowances)
			is.Equal(len(violations), len(tc.want)) // number of violations
			for i, want := range tc.want {
				if !strings.HasPrefix(violations[i].String(), want) {
					t.Errorf("violation %d is %q, want prefix %q", i, violations[i], want)
				}
				is.True(violations[i].Remedy != "")
			}
		})
	}
}

func TestParseQuotedNumbers(t *testing.T) {
	is := is.New(t)
	plans := strings.Replace(validPlans, "id: choirs", `id: "0010"`, 1)
	plans = strings.Replace(plans, strings.Repeat("b", 64), `"`+strings.Repeat("1", 64)+`"`, 1)
	config, violations := parseTexts(plans, validAllowances)
	is.Equal(violations, nil)
	is.Equal(string(config.Plans.Workspaces[1].ID), "0010")
	is.Equal(config.Plans.Workspaces[1].KeyDigests[0], strings.Repeat("1", 64))

	// The digits are too many for a number, so YAML reads them as a string.
	config, violations = parseTexts(strings.Replace(validPlans, strings.Repeat("b", 64), strings.Repeat("1", 64), 1), validAllowances)
	is.Equal(violations, nil)
	is.Equal(config.Plans.Workspaces[1].KeyDigests[0], strings.Repeat("1", 64))
}

func TestParseAllUnknownFieldsAtOnce(t *testing.T) {
	is := is.New(t)
	_, violations := parseTexts("plan: []\nworkspace: []\n", "pool: []\n")
	is.Equal(len(violations), 3)
}

func TestServiceMatch(t *testing.T) {
	service := Service{Routes: []Route{
		{Method: "POST", Path: "/bookings/search", Repeatable: true},
		{Method: "POST", Path: "/bookings", LookupPath: "/lookup"},
		{Method: "*", Path: "/stock/", Repeatable: true},
	}}
	cases := []struct {
		name, method, path string
		repeatable         bool
	}{
		{"first match applies", "POST", "/bookings/search", true},
		{"prefix of whole segments", "POST", "/bookings/17", false},
		{"longer segment does not match", "POST", "/bookings/searches", false},
		{"any method", "DELETE", "/stock/cups", true},
		{"GET by default", "GET", "/elsewhere", true},
		{"POST by default", "POST", "/elsewhere", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is.New(t).Equal(service.Match(tc.method, tc.path).Repeatable, tc.repeatable)
		})
	}
}
