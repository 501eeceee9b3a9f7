package lists

import (
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// position is a position in a file; line and column count from 1.
type position struct{ line, column int }

// positions holds the position in the file of each field of a list, by the path of the
// field.
type positions struct {
	byField map[string]position
}

func newPositions() *positions {
	return &positions{byField: make(map[string]position)}
}

// locate returns the violation with the file's name and the position of its field.
// If the field is missing from the file, it uses the position of the closest parent.
func (p *positions) locate(v Violation, file string) Violation {
	v.File = file
	for field := v.Field; ; field = parentField(field) {
		if at, ok := p.byField[field]; ok {
			v.Line, v.Column = at.line, at.column
			return v
		}
		if field == "" {
			return v
		}
	}
}

// parentField removes the last element of a path: the parent of "a[1].b" is "a[1]",
// and that of "a[1]" is "a".
func parentField(field string) string {
	cut := strings.LastIndexAny(field, ".[")
	if cut < 0 {
		return ""
	}
	return field[:cut]
}

// walk records the position of node and of each field below it. It returns a
// violation for each field that want, the type to decode into, does not have, and for
// each unquoted number or boolean where want is a string.
func (p *positions) walk(file string, node ast.Node, want reflect.Type, field string) []Violation {
	p.record(node, field)
	switch n := nodeValue(node).(type) {
	case *ast.MappingNode:
		return p.walkMapping(file, n.Values, want, field)
	case *ast.MappingValueNode:
		return p.walkMapping(file, []*ast.MappingValueNode{n}, want, field)
	case *ast.SequenceNode:
		return p.walkSequence(file, n, want, field)
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.InfinityNode, *ast.NanNode:
		if want.Kind() == reflect.String {
			return []Violation{p.locate(unquotedString(field, n), file)}
		}
	}
	return nil
}

// unquotedString returns the violation for a string that YAML reads as another type and
// would change: 0010 becomes 8.
func unquotedString(field string, node ast.Node) Violation {
	return Violation{
		Field:   field,
		Problem: fmt.Sprintf("YAML reads %s as a value of type %s", node.GetToken().Value, strings.ToLower(node.Type().String())),
		Remedy:  "put it in quotes",
	}
}

// record records the position of a field, unless it is already recorded.
func (p *positions) record(node ast.Node, field string) {
	if _, known := p.byField[field]; known {
		return
	}
	if tok := node.GetToken(); tok != nil && tok.Position != nil {
		p.byField[field] = position{tok.Position.Line, tok.Position.Column}
	}
}

func (p *positions) walkMapping(file string, values []*ast.MappingValueNode, want reflect.Type, field string) []Violation {
	if want.Kind() != reflect.Struct {
		return nil // the decoder reports the type mismatch
	}
	known := yamlFields(want)
	var violations []Violation
	for _, value := range values {
		name := value.Key.String()
		child := joinField(field, name)
		p.record(value.Key, child)
		if value.Key.IsMergeKey() {
			continue
		}
		next, ok := known[name]
		if !ok {
			violations = append(violations, p.locate(unknownField(child, known), file))
			continue
		}
		violations = append(violations, p.walk(file, value.Value, next, child)...)
	}
	return violations
}

func (p *positions) walkSequence(file string, seq *ast.SequenceNode, want reflect.Type, field string) []Violation {
	if want.Kind() != reflect.Slice {
		return nil
	}
	var violations []Violation
	for i, value := range seq.Values {
		child := fmt.Sprintf("%s[%d]", field, i)
		if m, ok := nodeValue(value).(*ast.MappingNode); ok && len(m.Values) > 0 {
			p.record(m.Values[0].Key, child)
		}
		violations = append(violations, p.walk(file, value, want.Elem(), child)...)
	}
	return violations
}

func unknownField(field string, known map[string]reflect.Type) Violation {
	names := make([]string, 0, len(known))
	for name := range known {
		names = append(names, name)
	}
	sort.Strings(names)
	return Violation{
		Field:   field,
		Problem: "unknown field",
		Remedy:  "remove it or use one of: " + strings.Join(names, ", "),
	}
}

func joinField(parent, name string) string {
	if parent == "" {
		return name
	}
	return parent + "." + name
}

// yamlFields maps the YAML names of a struct's fields to their types.
func yamlFields(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		fields[yamlName(t.Field(i))] = t.Field(i).Type
	}
	return fields
}

func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}
