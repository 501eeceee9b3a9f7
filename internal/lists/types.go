package lists

import "github.com/wigeonflow/wigeonflow/internal/fleet"

// Plans is the first list: the workspaces and the plan each one is on.
type Plans struct {
	Plans      []Plan      `yaml:"plans" json:"plans" validate:"dive"`
	Workspaces []Workspace `yaml:"workspaces" json:"workspaces" validate:"dive"`
}

// Plan sets the limits of every workspace that is on it, each workspace on its
// own. A zero limit means none.
type Plan struct {
	Name string `yaml:"name" json:"name" validate:"required"`
	// RequestsPerSecond is the sustained request rate.
	RequestsPerSecond float64 `yaml:"requests_per_second" json:"requests_per_second" validate:"gte=0"`
	// Burst is how many requests may arrive at once; 0 means one second's worth.
	Burst int `yaml:"burst" json:"burst" validate:"gte=0"`
	// Concurrency is the largest number of requests in flight.
	Concurrency int `yaml:"concurrency" json:"concurrency" validate:"gte=0"`
	// TokensPerMinute limits prompt and generated tokens together.
	TokensPerMinute int64 `yaml:"tokens_per_minute" json:"tokens_per_minute" validate:"gte=0"`
}

// Workspace is one customer.
type Workspace struct {
	ID   fleet.WorkspaceID `yaml:"id" json:"id" validate:"required"`
	Plan string            `yaml:"plan" json:"plan" validate:"required"`
	// KeyDigests holds hex SHA-256 digests of the workspace's API keys.
	KeyDigests []string `yaml:"key_digests" json:"key_digests" validate:"required,dive,len=64,hexadecimal"`
	// HomeRegion counts the workspace's plan and keeps its ledger.
	HomeRegion fleet.Region `yaml:"home_region" json:"home_region"`
}

// Allowances is the second list: pools, models, services, and what each plan
// may use of them.
type Allowances struct {
	Pools    []Pool      `yaml:"pools" json:"pools" validate:"dive"`
	Models   []Model     `yaml:"models" json:"models" validate:"dive"`
	Services []Service   `yaml:"services" json:"services" validate:"dive"`
	Plans    []Allowance `yaml:"plans" json:"plans" validate:"dive"`
}

// Pool is a group of like upstreams.
type Pool struct {
	Name fleet.PoolID `yaml:"name" json:"name" validate:"required"`
	// Kind is "engine" or "service".
	Kind string `yaml:"kind" json:"kind" validate:"oneof=engine service"`
	// LoadFactor is the multiple of the pool's mean load that no upstream
	// exceeds; 0 means DefaultLoadFactor.
	LoadFactor float64 `yaml:"load_factor" json:"load_factor" validate:"omitempty,gt=1"`
	// MaxConcurrency is the most requests one upstream runs at once; 0 means
	// DefaultMaxConcurrency.
	MaxConcurrency int `yaml:"max_concurrency" json:"max_concurrency" validate:"gte=0"`
	// StartConcurrency is the most requests an upstream bears right after a
	// start; 0 means DefaultStartConcurrency.
	StartConcurrency int `yaml:"start_concurrency" json:"start_concurrency" validate:"gte=0"`
	// ChecksFencing tells whether the upstreams refuse orders with an old
	// fencing number.
	ChecksFencing bool `yaml:"checks_fencing" json:"checks_fencing"`
}

// Defaults of a Pool's fields.
const (
	DefaultLoadFactor       = 1.25
	DefaultMaxConcurrency   = 64
	DefaultStartConcurrency = 2
)

// Model is one model, with the adapters it may be asked with.
type Model struct {
	Name     fleet.ModelName `yaml:"name" json:"name" validate:"required"`
	Pool     fleet.PoolID    `yaml:"pool" json:"pool" validate:"required"`
	Adapters []string        `yaml:"adapters" json:"adapters"`
}

// Service is one plain service behind /services/NAME/.
type Service struct {
	Name   string       `yaml:"name" json:"name" validate:"required"`
	Pool   fleet.PoolID `yaml:"pool" json:"pool" validate:"required"`
	Routes []Route      `yaml:"routes" json:"routes" validate:"dive"`
}

// Route says whether requests that match it may be repeated. The first match
// counts; without one, GET, HEAD and OPTIONS may be repeated, others not.
type Route struct {
	// Method is an HTTP method, or "*".
	Method string `yaml:"method" json:"method" validate:"required"`
	// Path is a prefix of the path behind the service's name.
	Path       string `yaml:"path" json:"path" validate:"required,startswith=/"`
	Repeatable bool   `yaml:"repeatable" json:"repeatable"`
	// LookupPath, when set, answers GET LookupPath?key=KEY with what became of
	// the request under an idempotency key.
	LookupPath string `yaml:"lookup_path" json:"lookup_path" validate:"omitempty,startswith=/"`
}

// Allowance is what one plan may use.
type Allowance struct {
	Plan     string            `yaml:"plan" json:"plan" validate:"required"`
	Models   []fleet.ModelName `yaml:"models" json:"models"`
	Adapters []string          `yaml:"adapters" json:"adapters"`
	Services []string          `yaml:"services" json:"services"`
	// Capacity is the share of a pool's concurrency one workspace may hold,
	// from 0 to 1; 0 means no limit.
	Capacity float64 `yaml:"capacity" json:"capacity" validate:"gte=0,lte=1"`
}

// Both is the pair of lists that is committed as one configuration.
type Both struct {
	Plans      Plans      `yaml:"plans" json:"plans"`
	Allowances Allowances `yaml:"allowances" json:"allowances"`
}
