package settings

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "update the settings reference in docs/OPERATIONS.md")

const (
	operationsPage = "../../docs/OPERATIONS.md"
	referenceBegin = "<!-- settings: begin (go test ./internal/settings -update) -->\n"
	referenceEnd   = "<!-- settings: end -->\n"
)

// TestOperationsListsEverySetting checks that the settings reference in
// docs/OPERATIONS.md matches the comments and defaults in the code.
func TestOperationsListsEverySetting(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(operationsPage)
	is.NoErr(err)
	before, rest, ok := strings.Cut(string(page), referenceBegin)
	is.True(ok)
	_, after, ok := strings.Cut(rest, referenceEnd)
	is.True(ok)
	want := before + referenceBegin + reference(t) + referenceEnd + after
	if *update {
		is.NoErr(os.WriteFile(operationsPage, []byte(want), 0o644))
		return
	}
	is.Equal(string(page), want) // run go test ./internal/settings -update
}

// reference renders a Markdown table of all settings from their struct fields.
func reference(t *testing.T) string {
	t.Helper()
	comments := fieldComments(t)
	var b strings.Builder
	b.WriteString("| setting | type | default | meaning |\n|---|---|---|---|\n")
	var walk func(typ reflect.Type, path string)
	walk = func(typ reflect.Type, path string) {
		for i := range typ.NumField() {
			f := typ.Field(i)
			name := joinPath(path, yamlName(f))
			element := f.Type
			if element.Kind() == reflect.Slice && element.Elem().Kind() == reflect.Struct {
				name, element = name+"[]", element.Elem()
			}
			if element.Kind() == reflect.Struct {
				walk(element, name)
				continue
			}
			comment := comments[typ.Name()+"."+f.Name]
			if comment == "" {
				t.Errorf("%s has no comment", name)
			}
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", name, referenceType(f.Type), referenceDefault(f), comment)
		}
	}
	walk(reflect.TypeFor[Settings](), "")
	return b.String()
}

func referenceType(t reflect.Type) string {
	switch {
	case t == durationType:
		return "duration"
	case t.Kind() == reflect.Slice:
		return "list"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.String:
		return "text"
	}
	return "number"
}

func referenceDefault(f reflect.StructField) string {
	if text := f.Tag.Get("default"); text != "" {
		return "`" + text + "`"
	}
	if f.Type.Kind() == reflect.Bool {
		return "`false`"
	}
	return ""
}

// fieldComments returns the doc comment of each struct field as one line, by TYPE.FIELD.
func fieldComments(t *testing.T) map[string]string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "settings.go", nil, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	comments := make(map[string]string)
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.TypeSpec)
		if !ok {
			return true
		}
		if s, ok := spec.Type.(*ast.StructType); ok {
			for _, f := range s.Fields.List {
				for _, name := range f.Names {
					comments[spec.Name.Name+"."+name.Name] = strings.Join(strings.Fields(f.Doc.Text()), " ")
				}
			}
		}
		return true
	})
	return comments
}
