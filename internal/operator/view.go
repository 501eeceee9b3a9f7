package operator

import (
	"sync/atomic"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// ErrGap is returned by View.Apply for an update that does not start at the
// version after the one in force; fetch again after View.Version.
var ErrGap = fleet.Errors.NewType("operator_gap")

// View is the configuration in force at one router. Versions come into force
// in order and none is ever undone. Apply is called by one goroutine; Index and
// Version may be called by any.
type View struct{ index atomic.Pointer[Index] }

// NewView returns a View at version 0, under which nothing is allowed.
func NewView() *View {
	v := &View{}
	v.index.Store(newIndex(&State{}))
	return v
}

// Index returns the configuration in force, which never changes afterwards.
func (v *View) Index() *Index { return v.index.Load() }

// Version returns the version in force.
func (v *View) Version() fleet.ConfigVersion { return v.Index().version }

// Apply brings the update into force and tells whether the version changed.
// What is not newer than the version in force is passed over: it comes late, or
// from a leader that lags.
func (v *View) Apply(u *Update) (bool, error) {
	before := v.Index()
	index := before
	if u.Full != nil && u.Full.Version > index.version {
		index = newIndex(u.Full)
	}
	for i := range u.Deltas {
		d := &u.Deltas[i]
		if d.Version <= index.version {
			continue
		}
		if d.Version != index.version+1 {
			return false, ErrGap.New("version %d follows %d", d.Version, index.version)
		}
		next, err := index.next(d)
		if err != nil {
			return false, err
		}
		index = next
	}
	v.index.Store(index)
	return index != before, nil
}
