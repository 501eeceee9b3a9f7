package lists

//go:generate go tool msgp -tests=false -io=false -file types.go

import "github.com/wigeonflow/wigeonflow/internal/fleet"

// Plans is the first list, plans.yaml: the plans, and the workspaces that are on
// them.
type Plans struct {
	Plans      []Plan      `yaml:"plans" msg:"plans,omitempty" json:"plans" validate:"dive"`
	Workspaces []Workspace `yaml:"workspaces" msg:"workspaces,omitempty" json:"workspaces" validate:"dive"`
}

// Plan holds the limits that apply to each workspace on the plan separately. Zero
// means no limit.
type Plan struct {
	Name string `yaml:"name" msg:"name,omitempty" json:"name" validate:"required"`
	// RequestsPerSecond is the sustained request rate.
	RequestsPerSecond float64 `yaml:"requests_per_second" msg:"requests_per_second,omitempty" json:"requests_per_second" validate:"gte=0"`
	// Burst is the number of requests that may arrive at once; 0 means as many as
	// RequestsPerSecond allows in one second.
	Burst int `yaml:"burst" msg:"burst,omitempty" json:"burst" validate:"gte=0"`
	// Concurrency is the maximum number of requests in flight.
	Concurrency int `yaml:"concurrency" msg:"concurrency,omitempty" json:"concurrency" validate:"gte=0"`
	// TokensPerMinute limits the sum of prompt and generated tokens.
	TokensPerMinute int64 `yaml:"tokens_per_minute" msg:"tokens_per_minute,omitempty" json:"tokens_per_minute" validate:"gte=0"`
}

// Workspace is a workspace with its plan and API keys.
type Workspace struct {
	ID   fleet.WorkspaceID `yaml:"id" msg:"id,omitempty" json:"id" validate:"required"`
	Plan string            `yaml:"plan" msg:"plan,omitempty" json:"plan" validate:"required"`
	// KeyDigests holds hex SHA-256 digests of the workspace's API keys.
	KeyDigests []string `yaml:"key_digests" msg:"key_digests,omitempty" json:"key_digests" validate:"required,dive,len=64,hexadecimal"`
	// HomeRegion is the region that counts the workspace's use of its plan and keeps
	// its ledger.
	HomeRegion fleet.Region `yaml:"home_region" msg:"home_region,omitempty" json:"home_region"`
}

// Allowances is the second list, allowances.yaml: pools, models, services, and which
// of them each plan may use.
type Allowances struct {
	Pools    []Pool      `yaml:"pools" msg:"pools,omitempty" json:"pools" validate:"dive"`
	Models   []Model     `yaml:"models" msg:"models,omitempty" json:"models" validate:"dive"`
	Services []Service   `yaml:"services" msg:"services,omitempty" json:"services" validate:"dive"`
	Plans    []Allowance `yaml:"plans" msg:"plans,omitempty" json:"plans" validate:"dive"`
}

// Pool is a group of upstreams that serve the same requests.
type Pool struct {
	Name fleet.PoolID `yaml:"name" msg:"name,omitempty" json:"name" validate:"required"`
	// Kind is "engine" or "service".
	Kind string `yaml:"kind" msg:"kind,omitempty" json:"kind" validate:"oneof=engine service"`
	// LoadFactor bounds the load of an upstream, as a multiple of the pool's mean
	// load; 0 means DefaultLoadFactor.
	LoadFactor float64 `yaml:"load_factor" msg:"load_factor,omitempty" json:"load_factor" validate:"omitempty,gt=1"`
	// MaxConcurrency is the maximum number of in-flight requests of one upstream; 0
	// means DefaultMaxConcurrency.
	MaxConcurrency int `yaml:"max_concurrency" msg:"max_concurrency,omitempty" json:"max_concurrency" validate:"gte=0"`
	// StartConcurrency is the maximum number of in-flight requests of an upstream
	// right after its start; 0 means DefaultStartConcurrency.
	StartConcurrency int `yaml:"start_concurrency" msg:"start_concurrency,omitempty" json:"start_concurrency" validate:"gte=0"`
	// ChecksFencing is set if the upstreams reject orders with an old fencing number.
	ChecksFencing bool `yaml:"checks_fencing" msg:"checks_fencing,omitempty" json:"checks_fencing"`
}

// Defaults of a Pool's fields.
const (
	DefaultLoadFactor       = 1.25
	DefaultMaxConcurrency   = 64
	DefaultStartConcurrency = 2
)

// Model is a model with the adapters that requests may name.
type Model struct {
	Name     fleet.ModelName `yaml:"name" msg:"name,omitempty" json:"name" validate:"required"`
	Pool     fleet.PoolID    `yaml:"pool" msg:"pool,omitempty" json:"pool" validate:"required"`
	Adapters []string        `yaml:"adapters" msg:"adapters,omitempty" json:"adapters"`
}

// Service is a service that is reached under /services/NAME/.
type Service struct {
	Name   string       `yaml:"name" msg:"name,omitempty" json:"name" validate:"required"`
	Pool   fleet.PoolID `yaml:"pool" msg:"pool,omitempty" json:"pool" validate:"required"`
	Routes []Route      `yaml:"routes" msg:"routes,omitempty" json:"routes" validate:"dive"`
}

// Route determines whether requests that match it may be retried. The first match
// applies; without a match, only GET, HEAD and OPTIONS may be retried.
type Route struct {
	// Method is an HTTP method, or "*".
	Method string `yaml:"method" msg:"method,omitempty" json:"method" validate:"required"`
	// Path is a prefix of the path after the service's name, matched by whole
	// segments.
	Path       string `yaml:"path" msg:"path,omitempty" json:"path" validate:"required,startswith=/"`
	Repeatable bool   `yaml:"repeatable" msg:"repeatable,omitempty" json:"repeatable"`
	// LookupPath, if set, is the path at which the service answers
	// GET LookupPath?key=KEY with the outcome of the request with that idempotency
	// key.
	LookupPath string `yaml:"lookup_path" msg:"lookup_path,omitempty" json:"lookup_path" validate:"omitempty,startswith=/"`
}

// Allowance lists the models, adapters and services that one plan may use.
type Allowance struct {
	Plan     string            `yaml:"plan" msg:"plan,omitempty" json:"plan" validate:"required"`
	Models   []fleet.ModelName `yaml:"models" msg:"models,omitempty" json:"models"`
	Adapters []string          `yaml:"adapters" msg:"adapters,omitempty" json:"adapters"`
	Services []string          `yaml:"services" msg:"services,omitempty" json:"services"`
	// Capacity is the share of a pool's concurrency, from 0 to 1, that one workspace
	// may use; 0 means no limit.
	Capacity float64 `yaml:"capacity" msg:"capacity,omitempty" json:"capacity" validate:"gte=0,lte=1"`
}

// Config holds both lists, which are committed together as one configuration.
type Config struct {
	Plans      Plans      `yaml:"plans" msg:"plans,omitempty" json:"plans"`
	Allowances Allowances `yaml:"allowances" msg:"allowances,omitempty" json:"allowances"`
}
