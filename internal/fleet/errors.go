package fleet

import (
	"errors"

	"github.com/joomcode/errorx"
)

// Errors is the namespace of the fleet's own errors.
var Errors = errorx.NewNamespace("wigeonflow")

var (
	// PropertyStep names the step at which an error arose, such as "mesh.dial".
	PropertyStep = errorx.RegisterPrintableProperty("step")
	// PropertyPeer names the peer with which an error arose: an address or an ID.
	PropertyPeer = errorx.RegisterPrintableProperty("peer")
)

// located joins an errorx error that carries step and peer with its cause, so
// that errors.Is and errors.As reach causes of any type: errorx itself unwraps
// only to its own.
type located struct {
	at    *errorx.Error
	cause error
}

func (l *located) Error() string { return l.at.Error() }

func (l *located) Unwrap() []error { return []error{l.at, l.cause} }

// At wraps err with the step and the peer at which it arose. It returns nil for
// a nil err.
func At(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	at := errorx.Decorate(err, "%s", step).
		WithProperty(PropertyStep, step).
		WithProperty(PropertyPeer, peer)
	return &located{at: at, cause: err}
}

// Located returns the outermost step and peer that err carries, empty where it
// carries none.
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
