// Package examples_test checks the settings, plans and allowances of the examples.
package examples_test

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
	"github.com/wigeonflow/wigeonflow/internal/settings"
	"github.com/wigeonflow/wigeonflow/internal/standin"
)

// size is the expected number of each part of an example.
type size struct {
	name                                                   string
	zones, control, routers, engines, services, workspaces int
}

var sizes = []size{
	{"dala-press", 4, 3, 6, 20, 4, 10},
	{"lamphun", 4, 3, 5, 10, 4, 10},
	{"demo", 3, 3, 3, 3, 2, 1},
}

func TestExamplesHaveTheExpectedSize(t *testing.T) {
	for _, tc := range sizes {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(len(loadSettings(t, tc.name, "control-*.yaml")), tc.control)
			is.Equal(len(loadSettings(t, tc.name, "router-*.yaml")), tc.routers)
			config, violations := lists.Load(tc.name+"/plans.yaml", tc.name+"/allowances.yaml")
			is.Equal(len(violations), 0)
			is.Equal(len(config.Plans.Workspaces), tc.workspaces)
			upstreams, err := standin.ReadInstances(tc.name + "/platform.yaml")
			is.NoErr(err)
			count := make(map[string]int)
			zones := make(map[fleet.AvailabilityZone]bool)
			for _, u := range upstreams {
				count[kindOf(config, u.Pool)]++
				zones[u.Zone] = true
			}
			is.Equal(count, map[string]int{lists.KindEngine: tc.engines, lists.KindService: tc.services})
			is.Equal(len(zones), tc.zones)
		})
	}
}

// kindOf returns the kind of a pool, or "" if the allowances don't have it.
func kindOf(config lists.Config, pool fleet.PoolID) string {
	for _, p := range config.Allowances.Pools {
		if p.Name == pool {
			return p.Kind
		}
	}
	return ""
}

// loadSettings loads the settings files of an example whose names match pattern. Each
// violation in them is a test error.
func loadSettings(t *testing.T, example, pattern string) []settings.Settings {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(example, pattern))
	if err != nil {
		t.Fatal(err)
	}
	var all []settings.Settings
	for _, f := range files {
		s, violations := settings.Load(f)
		for _, violation := range violations {
			t.Error(violation)
		}
		all = append(all, s)
	}
	return all
}

func TestNoAddressIsUsedTwice(t *testing.T) {
	is := is.New(t)
	used := make(map[string]bool)
	claim := func(addr string) {
		is.True(!used[addr]) // no other process of any example uses the address
		used[addr] = true
	}
	for _, tc := range sizes {
		for _, s := range loadSettings(t, tc.name, "*-[0-9].yaml") {
			claim(s.Listen.Mesh)
			if s.Has(settings.RoleRouter) {
				claim(s.Listen.Callers)
			}
			if s.Has(settings.RoleControl) {
				claim(s.Listen.Operators)
			}
		}
		upstreams, err := standin.ReadInstances(tc.name + "/platform.yaml")
		is.NoErr(err)
		for _, u := range upstreams {
			claim(u.Addr)
		}
	}
}

// demoKey matches a demonstration key in a README.md.
var demoKey = regexp.MustCompile("`([a-z-]+-(?:demo|workspace|operator))`")

func TestDemonstrationKeysMatchTheDigests(t *testing.T) {
	for _, tc := range sizes {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			readme, err := os.ReadFile(tc.name + "/README.md")
			is.NoErr(err)
			var files []byte
			for _, name := range []string{"/plans.yaml", "/control-1.yaml"} {
				data, err := os.ReadFile(tc.name + name)
				is.NoErr(err)
				files = append(files, data...)
			}
			keys := demoKey.FindAllStringSubmatch(string(readme), -1)
			is.Equal(len(keys), tc.workspaces+1) // one for each workspace and one for the operators
			for _, key := range keys {
				digest := sha256.Sum256([]byte(key[1]))
				is.True(strings.Contains(string(files), hex.EncodeToString(digest[:])))
				is.True(!strings.Contains(string(files), key[1])) // the files contain digests only
			}
		})
	}
}
