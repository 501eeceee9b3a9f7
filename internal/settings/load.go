package settings

import (
	"flag"
	"fmt"
	"os"
	"reflect"

	"github.com/peterbourgon/ff/v3"
)

// EnvPrefix starts the name of each environment variable. The rest is the
// setting's path in capitals with underscores: WIGEONFLOW_LIMITS_MAX_BODY_BYTES.
const EnvPrefix = "WIGEONFLOW"

// Load reads the settings in the file at path and fills in the defaults. With
// any fault the settings must not be used.
func Load(path string) (Settings, []Violation) { return LoadWith(path, nil) }

// LoadWith is Load with overrides, which may be nil, over the file's values.
func LoadWith(path string, overrides *Overrides) (Settings, []Violation) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, []Violation{{
			File: path, Field: "(file)", Message: "can't be read: " + err.Error(), Remedy: "correct the path",
		}}
	}
	return Parse(path, data, overrides)
}

// Parse is LoadWith on the file's contents.
func Parse(file string, data []byte, overrides *Overrides) (Settings, []Violation) {
	var s Settings
	lines, faults := Decode(file, data, &s)
	if len(faults) > 0 {
		return s, faults
	}
	overrides.apply(&s)
	s = s.WithDefaults()
	return s, check(file, lines, s)
}

// Overrides are settings given by flags or environment variables. Register adds
// the flags; parsing the flag set with Options fills them in.
type Overrides struct {
	given map[string]string
}

// Options are the ff options that read the environment.
func Options() []ff.Option { return []ff.Option{ff.WithEnvVarPrefix(EnvPrefix)} }

// Register adds a flag for each setting, named by its path, to fs.
func (o *Overrides) Register(fs *flag.FlagSet) {
	o.given = make(map[string]string)
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
				return fmt.Errorf("%q is not %s; %s", text, typeName(leaf.Type), typeRemedy(leaf.Type))
			}
			o.given[leaf.Path] = text
			return nil
		})
	}
}

// settable tells whether a setting can be given as text.
func settable(t reflect.Type) bool {
	return t.Kind() != reflect.Slice || t.Elem().Kind() == reflect.String
}

func (o *Overrides) apply(s *Settings) {
	if o == nil {
		return
	}
	for _, leaf := range leavesOf(s) {
		if text, ok := o.given[leaf.Path]; ok {
			_ = setText(leaf.value, text) // Register's flag has parsed the same text.
		}
	}
}
