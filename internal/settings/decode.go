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

// Lines maps the path of each field that a file sets to its line.
type Lines map[string]int

// lineOf returns the line of the field, or of the nearest enclosing field that is set, or 1.
func (l Lines) lineOf(path string) int {
	for path != "" {
		if line, ok := l[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 1
}

// Decode decodes YAML into the struct that into points to, by its yaml tags. It
// reports all violations rather than only the first: unknown and duplicate fields, and
// values of the wrong type or unit. The values of invalid fields must not be used: a
// number out of range is set to the limit of its type, others are zero.
func Decode(file string, data []byte, into any) (Lines, []Violation) {
	d := decoder{file: file, lines: make(Lines)}
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		d.reportSyntax(err)
		return d.lines, d.violations
	}
	if len(tree.Docs) > 1 {
		d.report(tree.Docs[1].Body, "", "the file holds more than one document", "keep one document")
	}
	if len(tree.Docs) > 0 && tree.Docs[0].Body != nil {
		d.decodeValue(tree.Docs[0].Body, reflect.ValueOf(into).Elem(), "")
	}
	return d.lines, d.violations
}

type decoder struct {
	file       string
	lines      Lines
	violations []Violation
}

func (d *decoder) reportSyntax(err error) {
	v := Violation{File: d.file, Line: 1, Field: "(file)", Message: err.Error(), Remedy: "write valid YAML"}
	var located yaml.Error
	if errors.As(err, &located) {
		v.Line, v.Message = located.GetToken().Position.Line, located.GetMessage()
	}
	d.violations = append(d.violations, v)
}

func (d *decoder) report(node ast.Node, path, message, remedy string) {
	if path == "" {
		path = "(file)"
	}
	d.violations = append(d.violations, Violation{
		File: d.file, Line: lineOf(node), Field: path, Message: message, Remedy: remedy,
	})
}

func lineOf(node ast.Node) int {
	if node == nil || node.GetToken() == nil {
		return 1
	}
	return node.GetToken().Position.Line
}

// decodeValue decodes a node into a field and records the field's line. A null leaves the
// field unset.
func (d *decoder) decodeValue(node ast.Node, into reflect.Value, path string) {
	if _, ok := d.lines[path]; !ok {
		d.lines[path] = lineOf(node)
	}
	if node.Type() == ast.NullType {
		return
	}
	switch {
	case into.Kind() == reflect.Struct:
		d.decodeMapping(node, into, path)
	case into.Kind() == reflect.Slice:
		d.decodeSequence(node, into, path)
	default:
		d.decodeScalar(node, into, path)
	}
}

func (d *decoder) decodeMapping(node ast.Node, into reflect.Value, path string) {
	m, ok := node.(ast.MapNode)
	if !ok {
		d.report(node, path, "expected fields, found "+describeNode(node), "write the fields "+strings.Join(fieldNames(into.Type()), ", "))
		return
	}
	for iter := m.MapRange(); iter.Next(); {
		name := iter.Key().GetToken().Value
		sub := joinPath(path, name)
		field, ok := fieldByName(into, name)
		if !ok {
			d.report(iter.Key(), sub, "unknown field", unknownRemedy(name, fieldNames(into.Type())))
			continue
		}
		d.lines[sub] = lineOf(iter.Key())
		d.decodeValue(iter.Value(), field, sub)
	}
}

func (d *decoder) decodeSequence(node ast.Node, into reflect.Value, path string) {
	s, ok := node.(*ast.SequenceNode)
	if !ok {
		d.report(node, path, "expected a list, found "+describeNode(node), "write a list, such as [A, B]")
		return
	}
	list := reflect.MakeSlice(into.Type(), len(s.Values), len(s.Values))
	for i, v := range s.Values {
		d.decodeValue(v, list.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	into.Set(list)
}

// decodeScalar decodes a single value from its text without quotes. So a string field
// accepts any scalar, and a number or boolean field accepts a quoted value. A duration must
// be a YAML string, quoted or not, because a bare number has no unit.
func (d *decoder) decodeScalar(node ast.Node, into reflect.Value, path string) {
	if _, ok := node.(ast.ScalarNode); !ok {
		d.report(node, path, "expected "+typeName(into.Type())+", found "+describeNode(node), "write one value")
		return
	}
	text := node.GetToken().Value
	if literal, ok := node.(*ast.LiteralNode); ok {
		text = literal.Value.Value
	}
	if isString := node.Type() == ast.StringType; isString || into.Type() != durationType {
		if err := setText(into, text); err == nil {
			return
		}
	}
	d.report(node, path, fmt.Sprintf("%q is not %s", text, typeName(into.Type())), typeSyntaxHint(into.Type()))
}

var durationType = reflect.TypeFor[time.Duration]()

var errValue = errors.New("value does not match the type of the field")

// setText parses text as a scalar, or as a comma-separated list of strings, and sets
// into to the result.
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

// typeName returns the name of a type in messages.
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

// typeSyntaxHint says how to write a value of type t, for the report of a value that isn't one.
func typeSyntaxHint(t reflect.Type) string {
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

func describeNode(node ast.Node) string {
	switch node.(type) {
	case ast.MapNode:
		return "fields"
	case *ast.SequenceNode:
		return "a list"
	}
	return "the value " + strconv.Quote(node.GetToken().Value)
}

func joinPath(path, name string) string {
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

// unknownRemedy returns the remedy for an unknown field: the field that differs only in case,
// underscores or hyphens, or else all known fields.
func unknownRemedy(name string, known []string) string {
	folded := strings.NewReplacer("_", "", "-", "").Replace(strings.ToLower(name))
	for _, k := range known {
		if strings.ReplaceAll(k, "_", "") == folded {
			return "write " + k
		}
	}
	return "remove it; the fields are " + strings.Join(known, ", ")
}
