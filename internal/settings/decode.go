package settings

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Lines tells the line of each field that a file sets, by the field's path.
type Lines map[string]int

// of returns the line of the field, or else of the nearest field around it.
func (l Lines) of(path string) int {
	for path != "" {
		if line, ok := l[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 1
}

// Decode reads YAML into the struct that into points to, by its yaml tags. It
// tells every fault rather than the first: unknown and repeated fields, and
// values of another type or unit. Fields at fault keep their zero value.
func Decode(file string, data []byte, into any) (Lines, []Violation) {
	d := decoder{file: file, lines: make(Lines)}
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		d.syntax(err)
		return d.lines, d.faults
	}
	if len(tree.Docs) > 1 {
		d.fault(tree.Docs[1].Body, "", "the file holds more than one document", "keep one document")
	}
	if len(tree.Docs) > 0 && tree.Docs[0].Body != nil {
		d.value(tree.Docs[0].Body, reflect.ValueOf(into).Elem(), "")
	}
	return d.lines, d.faults
}

type decoder struct {
	file   string
	lines  Lines
	faults []Violation
}

func (d *decoder) syntax(err error) {
	f := Violation{File: d.file, Line: 1, Field: "(file)", Message: err.Error(), Remedy: "write valid YAML"}
	var located yaml.Error
	if errors.As(err, &located) {
		f.Line, f.Message = located.GetToken().Position.Line, located.GetMessage()
	}
	d.faults = append(d.faults, f)
}

func (d *decoder) fault(node ast.Node, path, message, remedy string) {
	if path == "" {
		path = "(file)"
	}
	d.faults = append(d.faults, Violation{
		File: d.file, Line: line(node), Field: path, Message: message, Remedy: remedy,
	})
}

func line(node ast.Node) int {
	if node == nil || node.GetToken() == nil {
		return 1
	}
	return node.GetToken().Position.Line
}

func (d *decoder) value(node ast.Node, into reflect.Value, path string) {
	if _, ok := d.lines[path]; !ok {
		d.lines[path] = line(node)
	}
	if node.Type() == ast.NullType {
		return
	}
	switch {
	case into.Kind() == reflect.Struct:
		d.mapping(node, into, path)
	case into.Kind() == reflect.Slice:
		d.sequence(node, into, path)
	default:
		d.scalar(node, into, path)
	}
}

func (d *decoder) mapping(node ast.Node, into reflect.Value, path string) {
	m, ok := node.(ast.MapNode)
	if !ok {
		d.fault(node, path, "expected fields, found "+found(node), "write the fields "+strings.Join(fieldNames(into.Type()), ", "))
		return
	}
	for iter := m.MapRange(); iter.Next(); {
		name := iter.Key().GetToken().Value
		sub := join(path, name)
		field, ok := fieldByName(into, name)
		if !ok {
			d.fault(iter.Key(), sub, "unknown field", unknownRemedy(name, fieldNames(into.Type())))
			continue
		}
		d.lines[sub] = line(iter.Key())
		d.value(iter.Value(), field, sub)
	}
}

func (d *decoder) sequence(node ast.Node, into reflect.Value, path string) {
	s, ok := node.(*ast.SequenceNode)
	if !ok {
		d.fault(node, path, "expected a list, found "+found(node), "write a list, such as [A, B]")
		return
	}
	list := reflect.MakeSlice(into.Type(), len(s.Values), len(s.Values))
	for i, v := range s.Values {
		d.value(v, list.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	into.Set(list)
}

// scalar reads one value. Only a string field takes text that looks otherwise.
func (d *decoder) scalar(node ast.Node, into reflect.Value, path string) {
	if _, ok := node.(ast.ScalarNode); !ok {
		d.fault(node, path, "expected "+typeName(into.Type())+", found "+found(node), "write one value")
		return
	}
	text := node.GetToken().Value
	if literal, ok := node.(*ast.LiteralNode); ok {
		text = literal.Value.Value
	}
	if quoted := node.Type() == ast.StringType; quoted || into.Type() != durationType {
		if err := setText(into, text); err == nil {
			return
		}
	}
	d.fault(node, path, fmt.Sprintf("%q is not %s", text, typeName(into.Type())), typeRemedy(into.Type()))
}

var durationType = reflect.TypeFor[time.Duration]()

var errValue = errors.New("wrong value")

// setText sets a scalar field, or a list of strings separated by commas, from
// its text.
func setText(into reflect.Value, text string) error {
	switch {
	case into.Type() == durationType:
		v, err := time.ParseDuration(text)
		into.SetInt(int64(v))
		return err
	case into.Kind() == reflect.String:
		into.SetString(text)
		return nil
	case into.Kind() == reflect.Bool:
		if text != "true" && text != "false" {
			return errValue
		}
		into.SetBool(text == "true")
		return nil
	case into.CanInt():
		v, err := strconv.ParseInt(text, 10, into.Type().Bits())
		into.SetInt(v)
		return err
	case into.CanFloat():
		v, err := strconv.ParseFloat(text, 64)
		into.SetFloat(v)
		return err
	case into.Kind() == reflect.Slice && into.Type().Elem().Kind() == reflect.String:
		into.SetZero()
		for part := range strings.SplitSeq(text, ",") {
			element := reflect.New(into.Type().Elem()).Elem()
			element.SetString(strings.TrimSpace(part))
			into.Set(reflect.Append(into, element))
		}
		return nil
	}
	return errValue
}

func typeName(t reflect.Type) string {
	switch {
	case t == durationType:
		return "a duration with a unit"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Float64:
		return "a number"
	case t.Kind() == reflect.String:
		return "text"
	case t.Kind() == reflect.Slice:
		return "a list"
	}
	return "a whole number"
}

func typeRemedy(t reflect.Type) string {
	switch {
	case t == durationType:
		return "write a number with its unit, such as 500ms, 3s or 24h"
	case t.Kind() == reflect.Bool:
		return "write true or false"
	case t.Kind() == reflect.Float64:
		return "write a number, such as 0.5"
	case t.Kind() == reflect.Slice:
		return "write its values separated by commas"
	}
	return "write a whole number without a unit, such as 65536"
}

func found(node ast.Node) string {
	switch node.(type) {
	case ast.MapNode:
		return "fields"
	case *ast.SequenceNode:
		return "a list"
	}
	return "the value " + strconv.Quote(node.GetToken().Value)
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldByName(v reflect.Value, name string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if yamlName(v.Type().Field(i)) == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func fieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		names = append(names, yamlName(t.Field(i)))
	}
	slices.Sort(names)
	return names
}

func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

func unknownRemedy(name string, known []string) string {
	folded := strings.NewReplacer("_", "", "-", "").Replace(strings.ToLower(name))
	for _, k := range known {
		if strings.ReplaceAll(k, "_", "") == folded {
			return "write " + k
		}
	}
	return "remove it; the fields are " + strings.Join(known, ", ")
}
