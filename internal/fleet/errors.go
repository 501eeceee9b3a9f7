package fleet

import (
	"errors"

	"github.com/joomcode/errorx"
)

// Errors is the namespace of all error types of the fleet.
var Errors = errorx.NewNamespace("wigeonflow")

var (
	// PropertyStep is the operation that failed, such as "mesh.dial".
	PropertyStep = errorx.RegisterPrintableProperty("step")
	// PropertyPeer is the address or ID of the peer of the failed operation.
	PropertyPeer = errorx.RegisterPrintableProperty("peer")
)

// locatedError joins an errorx error that carries step and peer with its cause. It makes
// errors.Is and errors.As find causes of any type, while errorx itself unwraps only
// to errorx errors.
type locatedError struct {
	at    *errorx.Error
	cause error
}

func (l *locatedError) Error() string { return l.at.Error() }

func (l *locatedError) Unwrap() []error { return []error{l.at, l.cause} }

// At wraps err with the step that failed and its peer. It returns nil if err is nil.
func At(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	at := errorx.Decorate(err, "%s", step).
		WithProperty(PropertyStep, step).
		WithProperty(PropertyPeer, peer)
	return &locatedError{at: at, cause: err}
}

// Located returns the outermost step and peer that err carries, or empty strings if
// it carries none.
func Located(err error) (step, peer string) {
	var at *errorx.Error
	if !errors.As(err, &at) {
		return "", ""
	}
	return textProperty(at, PropertyStep), textProperty(at, PropertyPeer)
}

func textProperty(err *errorx.Error, p errorx.Property) string {
	value, ok := err.Property(p)
	if !ok {
		return ""
	}
	text, _ := value.(string)
	return text
}
