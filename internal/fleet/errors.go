package fleet

import "github.com/joomcode/errorx"

// Errors is the namespace of the fleet's own errors.
var Errors = errorx.NewNamespace("wigeonflow")

var (
	// PropertyStep names the step at which an error arose, such as "mesh.dial".
	PropertyStep = errorx.RegisterPrintableProperty("step")
	// PropertyPeer names the peer with which an error arose: an address or an ID.
	PropertyPeer = errorx.RegisterPrintableProperty("peer")
)

// At wraps err with the step and the peer at which it arose. It returns nil for
// a nil err.
func At(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return errorx.Decorate(err, "%s", step).
		WithProperty(PropertyStep, step).
		WithProperty(PropertyPeer, peer)
}
