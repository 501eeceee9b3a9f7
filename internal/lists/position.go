package lists

import (
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// position is a place in a file, counted from 1.
type position struct{ line, column int }

// positions maps the path of each field of a list to its place in the file.
type positions struct {
	byField map[string]position
}

func newPositions() *positions {
	return &positions{byField: make(map[string]position)}
}

// place fills in the file's name and the place of the fault's field. A field
// that is missing from the file takes the place of what should hold it.
func (p *positions) place(f Fault, file string) Fault {
	f.File = file
	for field := f.Field; ; field = parentField(field) {
		if at, ok := p.byField[field]; ok {
			f.Line, f.Column = at.line, at.column
			return f
		}
		if field == "" {
			return f
		}
	}
}

// parentField cuts the last step off a path: "a[1].b" becomes "a[1]", and
// "a[1]" becomes "a".
func parentField(field string) string {
	cut := strings.LastIndexAny(field, ".[")
	if cut < 0 {
		return ""
	}
	return field[:cut]
}

// walk records where each field below node stands and returns a fault for
// each field that want, the type it decodes into, does not have.
func (p *positions) walk(file string, node ast.Node, want reflect.Type, field string) []Fault {
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
			return []Fault{p.place(unquoted(field, n), file)}
		}
	}
	return nil
}

// unquoted is the fault of a text that YAML reads as another type, and would
// change: 0010 becomes 8.
func unquoted(field string, node ast.Node) Fault {
	return Fault{
		Field:   field,
		Problem: fmt.Sprintf("YAML reads %s as a value of type %s", node.GetToken().Value, strings.ToLower(node.Type().String())),
		Remedy:  "put it in quotes",
	}
}

func (p *positions) record(node ast.Node, field string) {
	if _, known := p.byField[field]; known {
		return
	}
	if tok := node.GetToken(); tok != nil && tok.Position != nil {
		p.byField[field] = position{tok.Position.Line, tok.Position.Column}
	}
}

func (p *positions) walkMapping(file string, values []*ast.MappingValueNode, want reflect.Type, field string) []Fault {
	if want.Kind() != reflect.Struct {
		return nil // the decoder reports the mismatch
	}
	known := yamlFields(want)
	var faults []Fault
	for _, value := range values {
		name := value.Key.String()
		child := joinField(field, name)
		p.record(value.Key, child)
		if value.Key.IsMergeKey() {
			continue
		}
		next, ok := known[name]
		if !ok {
			faults = append(faults, p.place(unknownField(child, known), file))
			continue
		}
		faults = append(faults, p.walk(file, value.Value, next, child)...)
	}
	return faults
}

func (p *positions) walkSequence(file string, seq *ast.SequenceNode, want reflect.Type, field string) []Fault {
	if want.Kind() != reflect.Slice {
		return nil
	}
	var faults []Fault
	for i, value := range seq.Values {
		child := fmt.Sprintf("%s[%d]", field, i)
		if m, ok := nodeValue(value).(*ast.MappingNode); ok && len(m.Values) > 0 {
			p.record(m.Values[0].Key, child)
		}
		faults = append(faults, p.walk(file, value, want.Elem(), child)...)
	}
	return faults
}

func unknownField(field string, known map[string]reflect.Type) Fault {
	names := make([]string, 0, len(known))
	for name := range known {
		names = append(names, name)
	}
	sort.Strings(names)
	return Fault{
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
