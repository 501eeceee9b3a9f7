package lists

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Load reads, parses and checks both list files. The lists may be used only if it
// returns no violations.
func Load(plansFile, allowancesFile string) (Config, []Violation) {
	plans, violations := readFile(plansFile)
	allowances, more := readFile(allowancesFile)
	violations = append(violations, more...)
	if len(violations) > 0 {
		return Config{}, violations
	}
	return Parse(
		Source{Name: filepath.Base(plansFile), Data: plans},
		Source{Name: filepath.Base(allowancesFile), Data: allowances},
	)
}

// Source is the text of one list, with the file name that violations show.
type Source struct {
	Name string
	Data []byte
}

// Parse parses and checks the text of both lists, as Load does for files.
func Parse(plans, allowances Source) (Config, []Violation) {
	var config Config
	plansPositions, violations := parseList(plans, &config.Plans)
	allowancesPositions, more := parseList(allowances, &config.Allowances)
	violations = append(violations, more...)
	if len(violations) > 0 {
		sortViolations(violations)
		return config, violations
	}
	violations = Check(config)
	for i, v := range violations {
		switch v.File {
		case PlansFile:
			violations[i] = plansPositions.locate(v, plans.Name)
		case AllowancesFile:
			violations[i] = allowancesPositions.locate(v, allowances.Name)
		}
	}
	sortViolations(violations)
	return config, violations
}

func readFile(name string) ([]byte, []Violation) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, []Violation{{File: name, Problem: err.Error(), Remedy: "give the path of a readable file"}}
	}
	return data, nil
}

// parseList decodes one list into out, and returns the positions of its fields. It
// returns syntax errors, unknown fields and type mismatches as violations; Check
// checks the values.
func parseList(src Source, out any) (*positions, []Violation) {
	file, err := parser.ParseBytes(src.Data, 0)
	if err != nil {
		return nil, []Violation{yamlViolation(src.Name, err)}
	}
	if len(file.Docs) > 1 {
		return nil, []Violation{{File: src.Name, Problem: "more than one YAML document", Remedy: "keep one document in the file"}}
	}
	at := newPositions()
	if len(file.Docs) == 0 || file.Docs[0].Body == nil {
		return at, nil
	}
	body := file.Docs[0].Body
	if violations := at.walk(src.Name, body, reflect.TypeOf(out).Elem(), ""); len(violations) > 0 {
		return at, violations
	}
	if err := yaml.NodeToValue(body, out, yaml.Strict()); err != nil {
		return at, []Violation{yamlViolation(src.Name, err)}
	}
	return at, nil
}

// yamlViolation returns the violation for an error of the YAML library.
func yamlViolation(file string, err error) Violation {
	violation := Violation{File: file, Problem: err.Error(), Remedy: "write the field as the reference describes"}
	var located yaml.Error
	if errors.As(err, &located) {
		violation.Problem = located.GetMessage()
		if tok := located.GetToken(); tok != nil && tok.Position != nil {
			violation.Line, violation.Column = tok.Position.Line, tok.Position.Column
		}
	}
	var mismatch *yaml.TypeError
	if errors.As(err, &mismatch) {
		violation.Remedy = fmt.Sprintf("write a value of type %s", mismatch.DstType)
	}
	return violation
}

// nodeValue returns the node inside anchors and tags.
func nodeValue(node ast.Node) ast.Node {
	for {
		switch n := node.(type) {
		case *ast.AnchorNode:
			node = n.Value
		case *ast.TagNode:
			node = n.Value
		default:
			return node
		}
	}
}
