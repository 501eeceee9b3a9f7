package settings

import (
	"flag"
	"fmt"
	"os"
	"reflect"

	"github.com/peterbourgon/ff/v3"
)

// EnvPrefix is the prefix of each environment variable. The rest of the name is the
// setting's path in upper case with underscores: WIGEONFLOW_LIMITS_MAX_BODY_BYTES.
const EnvPrefix = "WIGEONFLOW"

// Load reads the settings in the file at path and fills in the defaults. The settings
// must not be used if there are any violations.
func Load(path string) (Settings, []Violation) { return LoadWith(path, nil) }

// LoadWith is like Load but applies overrides, which may be nil, to the file's values.
func LoadWith(path string, overrides *Overrides) (Settings, []Violation) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, []Violation{{
			File: path, Field: "(file)", Message: "can't be read: " + err.Error(), Remedy: "correct the path",
		}}
	}
	return Parse(path, data, overrides)
}

// Parse is like LoadWith but takes the file's contents; file is its name in violations.
func Parse(file string, data []byte, overrides *Overrides) (Settings, []Violation) {
	var s Settings
	lines, violations := Decode(file, data, &s)
	if len(violations) > 0 {
		return s, violations
	}
	overrides.apply(&s)
	s = s.WithDefaults()
	return s, check(file, lines, s)
}

// Overrides are settings given by flags or environment variables. Register adds
// the flags; parsing the flag set with Options fills them in.
type Overrides struct {
	values map[string]string
}

// Options returns the ff options that set flags from environment variables.
func Options() []ff.Option { return []ff.Option{ff.WithEnvVarPrefix(EnvPrefix)} }

// Register adds a flag for each setting, named by its path, to fs. Lists of groups, such as
// operators, have no flag.
func (o *Overrides) Register(fs *flag.FlagSet) {
	o.values = make(map[string]string)
	for _, leaf := range Leaves() {
		if !settable(leaf.Type) {
			continue
		}
		usage := "override " + leaf.Path
		if leaf.Default != "" {
			usage += " (default " + leaf.Default + ")"
		}
		fs.Func(leaf.Path, usage, func(text string) error {
			if err := setText(reflect.New(leaf.Type).Elem(), text); err != nil {
				return fmt.Errorf("%q is not %s; %s", text, typeName(leaf.Type), typeSyntaxHint(leaf.Type))
			}
			o.values[leaf.Path] = text
			return nil
		})
	}
}

// settable reports whether a setting of type t can be parsed from text.
func settable(t reflect.Type) bool {
	return t.Kind() != reflect.Slice || t.Elem().Kind() == reflect.String
}

// apply sets the overridden settings in s. o may be nil.
func (o *Overrides) apply(s *Settings) {
	if o == nil {
		return
	}
	for _, leaf := range leavesOf(s) {
		if text, ok := o.values[leaf.Path]; ok {
			_ = setText(leaf.value, text) // cannot fail: the flag has parsed the same text
		}
	}
}
