package settings

import (
	"fmt"
	"reflect"
)

// Leaf is a setting with a value rather than a group of settings.
type Leaf struct {
	// Path is the setting's path in the file, such as "limits.max_body_bytes". It
	// is also the name of the setting's flag.
	Path string
	// Default is the default as text; empty means none.
	Default string
	// Type is the Go type of the value.
	Type  reflect.Type
	value reflect.Value
}

// Leaves returns every setting in the order of the struct's fields.
func Leaves() []Leaf { return leavesOf(&Settings{}) }

func leavesOf(s *Settings) []Leaf {
	var leaves []Leaf
	walkLeaves(reflect.ValueOf(s).Elem(), "", func(l Leaf) { leaves = append(leaves, l) })
	return leaves
}

// walkLeaves calls visit for every setting in v, whose own path is path.
func walkLeaves(v reflect.Value, path string, visit func(Leaf)) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name := joinPath(path, yamlName(field))
		if field.Type.Kind() == reflect.Struct {
			walkLeaves(v.Field(i), name, visit)
			continue
		}
		visit(Leaf{Path: name, Default: field.Tag.Get("default"), Type: field.Type, value: v.Field(i)})
	}
}

// applyDefaults sets every setting that is zero or an empty list to its default.
func applyDefaults(s *Settings) {
	for _, leaf := range leavesOf(s) {
		unset := leaf.value.IsZero() || leaf.value.Kind() == reflect.Slice && leaf.value.Len() == 0
		if leaf.Default == "" || !unset {
			continue
		}
		if err := setText(leaf.value, leaf.Default); err != nil {
			panic(fmt.Sprintf("settings: invalid default of %s: %v", leaf.Path, err))
		}
	}
}
