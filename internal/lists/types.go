package lists

//go:generate go tool msgp -tests=false -io=false -file types.go

import "github.com/wigeonflow/wigeonflow/internal/fleet"

// Plans is the first list: the workspaces and the plan each one is on.
type Plans struct {
	Plans      []Plan      `yaml:"plans" msg:"plans,omitempty" json:"plans" validate:"dive"`
	Workspaces []Workspace `yaml:"workspaces" msg:"workspaces,omitempty" json:"workspaces" validate:"dive"`
}

// Plan sets the limits of every workspace that is on it, each workspace on its
// own. A zero limit means none.
type Plan struct {
	Name string `yaml:"name" msg:"name,omitempty" json:"name" validate:"required"`
	// RequestsPerSecond is the sustained request rate.
	RequestsPerSecond float64 `yaml:"requests_per_second" msg:"requests_per_second,omitempty" json:"requests_per_second" validate:"gte=0"`
	// Burst is how many requests may arrive at once; 0 means one second's worth.
	Burst int `yaml:"burst" msg:"burst,omitempty" json:"burst" validate:"gte=0"`
	// Concurrency is the largest number of requests in flight.
	Concurrency int `yaml:"concurrency" msg:"concurrency,omitempty" json:"concurrency" validate:"gte=0"`
	// TokensPerMinute limits prompt and generated tokens together.
	TokensPerMinute int64 `yaml:"tokens_per_minute" msg:"tokens_per_minute,omitempty" json:"tokens_per_minute" validate:"gte=0"`
}

// Workspace is one customer.
type Workspace struct {
	ID   fleet.WorkspaceID `yaml:"id" msg:"id,omitempty" json:"id" validate:"required"`
	Plan string            `yaml:"plan" msg:"plan,omitempty" json:"plan" validate:"required"`
	// KeyDigests holds hex SHA-256 digests of the workspace's API keys.
	KeyDigests []string `yaml:"key_digests" msg:"key_digests,omitempty" json:"key_digests" validate:"required,dive,len=64,hexadecimal"`
	// HomeRegion counts the workspace's plan and keeps its ledger.
	HomeRegion fleet.Region `yaml:"home_region" msg:"home_region,omitempty" json:"home_region"`
}

// Allowances is the second list: pools, models, services, and what each plan
// may use of them.
type Allowances struct {
	Pools    []Pool      `yaml:"pools" msg:"pools,omitempty" json:"pools" validate:"dive"`
	Models   []Model     `yaml:"models" msg:"models,omitempty" json:"models" validate:"dive"`
	Services []Service   `yaml:"services" msg:"services,omitempty" json:"services" validate:"dive"`
	Plans    []Allowance `yaml:"plans" msg:"plans,omitempty" json:"plans" validate:"dive"`
}

// Pool is a group of like upstreams.
type Pool struct {
	Name fleet.PoolID `yaml:"name" msg:"name,omitempty" json:"name" validate:"required"`
	// Kind is "engine" or "service".
	Kind string `yaml:"kind" msg:"kind,omitempty" json:"kind" validate:"oneof=engine service"`
	// LoadFactor is the multiple of the pool's mean load that no upstream
	// exceeds; 0 means DefaultLoadFactor.
	LoadFactor float64 `yaml:"load_factor" msg:"load_factor,omitempty" json:"load_factor" validate:"omitempty,gt=1"`
	// MaxConcurrency is the most requests one upstream runs at once; 0 means
	// DefaultMaxConcurrency.
	MaxConcurrency int `yaml:"max_concurrency" msg:"max_concurrency,omitempty" json:"max_concurrency" validate:"gte=0"`
	// StartConcurrency is the most requests an upstream bears right after a
	// start; 0 means DefaultStartConcurrency.
	StartConcurrency int `yaml:"start_concurrency" msg:"start_concurrency,omitempty" json:"start_concurrency" validate:"gte=0"`
	// ChecksFencing tells whether the upstreams refuse orders with an old
	// fencing number.
	ChecksFencing bool `yaml:"checks_fencing" msg:"checks_fencing,omitempty" json:"checks_fencing"`
}

// Defaults of a Pool's fields.
const (
	DefaultLoadFactor       = 1.25
	DefaultMaxConcurrency   = 64
	DefaultStartConcurrency = 2
)

// Model is one model, with the adapters it may be asked with.
type Model struct {
	Name     fleet.ModelName `yaml:"name" msg:"name,omitempty" json:"name" validate:"required"`
	Pool     fleet.PoolID    `yaml:"pool" msg:"pool,omitempty" json:"pool" validate:"required"`
	Adapters []string        `yaml:"adapters" msg:"adapters,omitempty" json:"adapters"`
}

// Service is one plain service behind /services/NAME/.
type Service struct {
	Name   string       `yaml:"name" msg:"name,omitempty" json:"name" validate:"required"`
	Pool   fleet.PoolID `yaml:"pool" msg:"pool,omitempty" json:"pool" validate:"required"`
	Routes []Route      `yaml:"routes" msg:"routes,omitempty" json:"routes" validate:"dive"`
}

// Route says whether requests that match it may be repeated. The first match
// counts; without one, GET, HEAD and OPTIONS may be repeated, others not.
type Route struct {
	// Method is an HTTP method, or "*".
	Method string `yaml:"method" msg:"method,omitempty" json:"method" validate:"required"`
	// Path is a prefix, by whole segments, of the path behind the service's name.
	Path       string `yaml:"path" msg:"path,omitempty" json:"path" validate:"required,startswith=/"`
	Repeatable bool   `yaml:"repeatable" msg:"repeatable,omitempty" json:"repeatable"`
	// LookupPath, when set, answers GET LookupPath?key=KEY with what became of
	// the request under an idempotency key.
	LookupPath string `yaml:"lookup_path" msg:"lookup_path,omitempty" json:"lookup_path" validate:"omitempty,startswith=/"`
}

// Allowance is what one plan may use.
type Allowance struct {
	Plan     string            `yaml:"plan" msg:"plan,omitempty" json:"plan" validate:"required"`
	Models   []fleet.ModelName `yaml:"models" msg:"models,omitempty" json:"models"`
	Adapters []string          `yaml:"adapters" msg:"adapters,omitempty" json:"adapters"`
	Services []string          `yaml:"services" msg:"services,omitempty" json:"services"`
	// Capacity is the share of a pool's concurrency one workspace may hold,
	// from 0 to 1; 0 means no limit.
	Capacity float64 `yaml:"capacity" msg:"capacity,omitempty" json:"capacity" validate:"gte=0,lte=1"`
}

// Both is the pair of lists that is committed as one configuration.
type Both struct {
	Plans      Plans      `yaml:"plans" msg:"plans,omitempty" json:"plans"`
	Allowances Allowances `yaml:"allowances" msg:"allowances,omitempty" json:"allowances"`
}
