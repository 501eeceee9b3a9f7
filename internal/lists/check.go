package lists

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/go-playground/validator/v10"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// Names of the lists in Violation.File if a list was not read from a file.
const (
	PlansFile      = "plans.yaml"
	AllowancesFile = "allowances.yaml"
)

// Kinds of a Pool.
const (
	KindEngine  = "engine"
	KindService = "service"
)

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlName)
	return v
}

// Check checks each list alone and then the references between the two, and returns
// all violations. Each violation has File set to PlansFile or AllowancesFile, and Line 0.
func Check(config Config) []Violation {
	c := &checker{}
	c.checkTags(PlansFile, config.Plans)
	c.checkTags(AllowancesFile, config.Allowances)
	plans := c.checkPlans(config.Plans.Plans)
	c.checkWorkspaces(config.Plans.Workspaces, plans)
	pools := c.checkPools(config.Allowances.Pools)
	c.checkModels(config.Allowances.Models, pools)
	c.checkServices(config.Allowances.Services, pools)
	c.checkAllowances(config.Allowances, plans)
	return c.violations
}

// checker collects the violations of both lists.
type checker struct{ violations []Violation }

// add records a violation.
func (c *checker) add(file, field, problem, remedy string) {
	c.violations = append(c.violations, Violation{File: file, Field: field, Problem: problem, Remedy: remedy})
}

// checkTags checks the validation tags of a list's fields.
func (c *checker) checkTags(file string, list any) {
	var failed validator.ValidationErrors
	if !errors.As(validate.Struct(list), &failed) {
		return
	}
	for _, f := range failed {
		_, field, _ := strings.Cut(f.Namespace(), ".")
		problem, remedy := describeTagError(f)
		c.add(file, field, problem, remedy)
	}
}

// describeTagError returns the problem and the remedy for a failed validation tag.
func describeTagError(f validator.FieldError) (problem, remedy string) {
	switch f.Tag() {
	case "required":
		return "missing", "set it"
	case "oneof":
		return fmt.Sprintf("%q is not allowed", f.Value()), "use one of: " + strings.ReplaceAll(f.Param(), " ", ", ")
	case "gte":
		return fmt.Sprintf("%v is too small", f.Value()), "use at least " + f.Param()
	case "gt":
		return fmt.Sprintf("%v is too small", f.Value()), "use more than " + f.Param()
	case "lte":
		return fmt.Sprintf("%v is too large", f.Value()), "use at most " + f.Param()
	case "len", "hexadecimal":
		return "not a SHA-256 digest", "write the digest of the key as 64 hexadecimal digits"
	case "startswith":
		return fmt.Sprintf("%q does not start with %s", f.Value(), f.Param()), "start it with " + f.Param()
	default:
		return "fails the check " + f.Tag(), "see the reference of the lists"
	}
}

// checkUnique adds a violation if name is already in seen, and adds name to seen
// otherwise. seen maps each name to the first field that holds it. label is the kind of
// the named thing for the message, such as "plan".
func (c *checker) checkUnique(seen map[string]string, file, field, label, name string) {
	if name == "" {
		return
	}
	if first, taken := seen[name]; taken {
		c.add(file, field, fmt.Sprintf("%s %q is already at %s", label, name, first), "change or remove one of them")
		return
	}
	seen[name] = field
}

// checkPlans returns the names of the plans as the keys of a map, and adds a violation
// for each duplicate.
func (c *checker) checkPlans(plans []Plan) map[string]string {
	seen := make(map[string]string, len(plans))
	for i, p := range plans {
		c.checkUnique(seen, PlansFile, fmt.Sprintf("plans[%d].name", i), "plan", p.Name)
	}
	return seen
}

func (c *checker) checkWorkspaces(workspaces []Workspace, plans map[string]string) {
	ids := make(map[string]string, len(workspaces))
	digests := make(map[string]string, len(workspaces))
	for i, w := range workspaces {
		at := fmt.Sprintf("workspaces[%d]", i)
		c.checkUnique(ids, PlansFile, at+".id", "workspace", string(w.ID))
		c.checkDefined(plans, PlansFile, at+".plan", "plan", w.Plan)
		for j, d := range w.KeyDigests {
			field := fmt.Sprintf("%s.key_digests[%d]", at, j)
			c.checkUnique(digests, PlansFile, field, "key digest", strings.ToLower(d))
		}
	}
}

// checkDefined adds a violation if name is not a key of defined. An empty name is
// skipped: where a name is required, the validation tags report it.
func (c *checker) checkDefined(defined map[string]string, file, field, label, name string) {
	if name == "" {
		return
	}
	if _, ok := defined[name]; ok {
		return
	}
	c.add(file, field, fmt.Sprintf("unknown %s %q", label, name), remedyFor(label, defined))
}

// maxSuggestions is the maximum number of names that a remedy lists.
const maxSuggestions = 8

// remedyFor returns the remedy for an undefined name. It lists up to maxSuggestions of
// the defined names.
func remedyFor(label string, defined map[string]string) string {
	names := make([]string, 0, len(defined))
	for name := range defined {
		names = append(names, name)
	}
	slices.Sort(names)
	if len(names) == 0 {
		return fmt.Sprintf("define the %s first", label)
	}
	if len(names) > maxSuggestions {
		names = append(names[:maxSuggestions], "...")
	}
	return fmt.Sprintf("define the %s or use one of: %s", label, strings.Join(names, ", "))
}

// checkPools returns the pools by name, and adds violations for duplicates and for start
// limits above the maximum.
func (c *checker) checkPools(pools []Pool) map[fleet.PoolID]Pool {
	seen := make(map[string]string, len(pools))
	byName := make(map[fleet.PoolID]Pool, len(pools))
	for i, p := range pools {
		c.checkUnique(seen, AllowancesFile, fmt.Sprintf("pools[%d].name", i), "pool", string(p.Name))
		byName[p.Name] = p
		if p.MaxConcurrency > 0 && p.StartConcurrency > p.MaxConcurrency {
			c.add(AllowancesFile, fmt.Sprintf("pools[%d].start_concurrency", i),
				fmt.Sprintf("%d is above max_concurrency %d", p.StartConcurrency, p.MaxConcurrency),
				"use at most max_concurrency")
		}
	}
	return byName
}

// checkPoolRef adds a violation if the pool that a field refers to is undefined or of
// another kind.
func (c *checker) checkPoolRef(pools map[fleet.PoolID]Pool, field string, name fleet.PoolID, kind string) {
	if name == "" {
		return
	}
	pool, ok := pools[name]
	if !ok {
		defined := make(map[string]string, len(pools))
		for id, p := range pools {
			if p.Kind == kind {
				defined[string(id)] = ""
			}
		}
		c.checkDefined(defined, AllowancesFile, field, "pool", string(name))
		return
	}
	if pool.Kind != kind {
		c.add(AllowancesFile, field, fmt.Sprintf("pool %q is of kind %s", name, pool.Kind), "use a pool of kind "+kind)
	}
}

func (c *checker) checkModels(models []Model, pools map[fleet.PoolID]Pool) {
	seen := make(map[string]string, len(models))
	for i, m := range models {
		at := fmt.Sprintf("models[%d]", i)
		c.checkUnique(seen, AllowancesFile, at+".name", "model", string(m.Name))
		c.checkPoolRef(pools, at+".pool", m.Pool, KindEngine)
		adapters := make(map[string]string, len(m.Adapters))
		for j, a := range m.Adapters {
			c.checkUnique(adapters, AllowancesFile, fmt.Sprintf("%s.adapters[%d]", at, j), "adapter", a)
		}
	}
}

func (c *checker) checkServices(services []Service, pools map[fleet.PoolID]Pool) {
	seen := make(map[string]string, len(services))
	for i, s := range services {
		at := fmt.Sprintf("services[%d]", i)
		c.checkUnique(seen, AllowancesFile, at+".name", "service", s.Name)
		if strings.ContainsAny(s.Name, "/?#% ") {
			c.add(AllowancesFile, at+".name", fmt.Sprintf("%q is not a valid URL path segment", s.Name), "use letters, digits, dots and dashes")
		}
		c.checkPoolRef(pools, at+".pool", s.Pool, KindService)
		c.checkRoutes(at, s.Routes)
	}
}

// anyMethod matches every HTTP method in a Route.
const anyMethod = "*"

var routeMethods = []string{
	anyMethod, http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// checkRoutes adds violations for unknown methods and for routes that an earlier route
// hides. The first matching route applies, so the Repeatable of a hidden route would
// be ignored without notice.
func (c *checker) checkRoutes(at string, routes []Route) {
	for i, r := range routes {
		field := fmt.Sprintf("%s.routes[%d]", at, i)
		if r.Method != "" && !slices.Contains(routeMethods, r.Method) {
			c.add(AllowancesFile, field+".method", fmt.Sprintf("unknown method %q", r.Method), "use one of: "+strings.Join(routeMethods, ", "))
		}
		for j, earlier := range routes[:i] {
			if covers(earlier, r) {
				c.add(AllowancesFile, field, fmt.Sprintf("hidden by routes[%d]", j), "move it before that one or remove it")
				break
			}
		}
	}
}

// covers reports whether every request that matches later also matches earlier.
func covers(earlier, later Route) bool {
	sameMethod := earlier.Method == anyMethod || earlier.Method == later.Method
	return sameMethod && pathCovers(earlier.Path, later.Path)
}

func (c *checker) checkAllowances(a Allowances, plans map[string]string) {
	models, adapters, services := definedNames(a)
	seen := make(map[string]string, len(a.Plans))
	for i, p := range a.Plans {
		at := fmt.Sprintf("plans[%d]", i)
		c.checkUnique(seen, AllowancesFile, at+".plan", "allowance of plan", p.Plan)
		c.checkDefined(plans, AllowancesFile, at+".plan", "plan", p.Plan)
		for j, m := range p.Models {
			c.checkDefined(models, AllowancesFile, fmt.Sprintf("%s.models[%d]", at, j), "model", string(m))
		}
		for j, name := range p.Adapters {
			c.checkDefined(adapters, AllowancesFile, fmt.Sprintf("%s.adapters[%d]", at, j), "adapter", name)
		}
		for j, s := range p.Services {
			c.checkDefined(services, AllowancesFile, fmt.Sprintf("%s.services[%d]", at, j), "service", s)
		}
	}
}

// definedNames returns the names that an allowance may refer to, as the keys of maps.
func definedNames(a Allowances) (models, adapters, services map[string]string) {
	models, adapters, services = map[string]string{}, map[string]string{}, map[string]string{}
	for _, m := range a.Models {
		models[string(m.Name)] = ""
		for _, adapter := range m.Adapters {
			adapters[adapter] = ""
		}
	}
	for _, s := range a.Services {
		services[s.Name] = ""
	}
	return models, adapters, services
}
