package operator

import (
	"sync/atomic"

	"github.com/wigeonflow/wigeonflow/internal/fleet"
)

// ErrGap is returned by View.Apply for an update in which a version is missing between
// the one in force and the newest delta. The caller should fetch the changes after
// View.Version.
var ErrGap = fleet.Errors.NewType("operator_gap")

// View is the configuration in force at one router. Its version never decreases.
// Apply must be called from one goroutine; Index and Version are safe for
// concurrent use.
type View struct{ index atomic.Pointer[Index] }

// NewView returns a View at version 0, which allows nothing.
func NewView() *View {
	v := &View{}
	v.index.Store(newIndex(&State{}))
	return v
}

// Index returns the configuration in force, which is immutable.
func (v *View) Index() *Index { return v.index.Load() }

// Version returns the version in force.
func (v *View) Version() fleet.ConfigVersion { return v.Index().version }

// Apply brings the update into force and reports whether the version changed.
// Versions that are not newer than the one in force are skipped: they arrived
// late, or from a leader that lags. On an error the View is unchanged: ErrGap, or an
// error of a routing table that cannot be patched.
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
			return false, ErrGap.New("configuration version %d cannot follow version %d: the changes between them are missing", d.Version, index.version)
		}
		next, err := index.withDelta(d)
		if err != nil {
			return false, err
		}
		index = next
	}
	v.index.Store(index)
	return index != before, nil
}
