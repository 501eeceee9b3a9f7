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

// Load reads and checks both lists. The lists are usable only when it returns
// no fault.
func Load(plansFile, allowancesFile string) (Both, []Fault) {
	plans, faults := readFile(plansFile)
	allowances, more := readFile(allowancesFile)
	faults = append(faults, more...)
	if len(faults) > 0 {
		return Both{}, faults
	}
	return Parse(
		Source{Name: filepath.Base(plansFile), Data: plans},
		Source{Name: filepath.Base(allowancesFile), Data: allowances},
	)
}

// Source is the text of one list with the name that faults show.
type Source struct {
	Name string
	Data []byte
}

// Parse reads and checks the text of both lists, as Load does for files.
func Parse(plans, allowances Source) (Both, []Fault) {
	var both Both
	plansAt, faults := parseOne(plans, &both.Plans)
	allowancesAt, more := parseOne(allowances, &both.Allowances)
	faults = append(faults, more...)
	if len(faults) > 0 {
		sortFaults(faults)
		return both, faults
	}
	faults = Check(both)
	for i, f := range faults {
		switch f.File {
		case PlansFile:
			faults[i] = plansAt.place(f, plans.Name)
		case AllowancesFile:
			faults[i] = allowancesAt.place(f, allowances.Name)
		}
	}
	sortFaults(faults)
	return both, faults
}

func readFile(name string) ([]byte, []Fault) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, []Fault{{File: name, Problem: err.Error(), Remedy: "give the path of a file that can be read"}}
	}
	return data, nil
}

// parseOne decodes one list into out. It returns every syntax fault and every
// unknown field; checks of the values come after.
func parseOne(src Source, out any) (*positions, []Fault) {
	file, err := parser.ParseBytes(src.Data, 0)
	if err != nil {
		return nil, []Fault{yamlFault(src.Name, err)}
	}
	if len(file.Docs) > 1 {
		return nil, []Fault{{File: src.Name, Problem: "more than one YAML document", Remedy: "keep one document in the file"}}
	}
	at := newPositions()
	if len(file.Docs) == 0 || file.Docs[0].Body == nil {
		return at, nil
	}
	body := file.Docs[0].Body
	if faults := at.walk(src.Name, body, reflect.TypeOf(out).Elem(), ""); len(faults) > 0 {
		return at, faults
	}
	if err := yaml.NodeToValue(body, out, yaml.Strict()); err != nil {
		return at, []Fault{yamlFault(src.Name, err)}
	}
	return at, nil
}

// yamlFault turns an error of the YAML library into a fault.
func yamlFault(file string, err error) Fault {
	fault := Fault{File: file, Problem: err.Error(), Remedy: "write the field as the reference describes"}
	var located yaml.Error
	if errors.As(err, &located) {
		fault.Problem = located.GetMessage()
		if tok := located.GetToken(); tok != nil && tok.Position != nil {
			fault.Line, fault.Column = tok.Position.Line, tok.Position.Column
		}
	}
	var mismatch *yaml.TypeError
	if errors.As(err, &mismatch) {
		fault.Remedy = fmt.Sprintf("write a value of type %s", mismatch.DstType)
	}
	return fault
}

// nodeValue strips anchors and tags off a node.
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
