package operator

import (
	"context"

	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// patchTries is how often a routing table is sent as a patch while others change
// it, before it is sent whole.
const patchTries = 3

// Propose has the control group decide on a command.
func Propose(ctx context.Context, backend Backend, cmd Command) (Answer, error) {
	encoded, err := cmd.Encode()
	if err != nil {
		return Answer{}, ErrUnavailable.Wrap(err, "encode") // nothing was proposed
	}
	result, err := backend.Propose(ctx, encoded)
	if err != nil {
		return Answer{}, err
	}
	return DecodeAnswer(result)
}

// ProposeRoutes brings a routing table into force, as a patch of the one that is
// in force now.
func ProposeRoutes(ctx context.Context, backend Backend, doc *routes.Document) (Answer, error) {
	for try := range patchTries + 1 {
		patch, err := patchFor(ctx, backend, doc, try < patchTries)
		if err != nil {
			return Answer{}, err
		}
		answer, err := Propose(ctx, backend, Command{Kind: KindRoutes, Routes: patch})
		if err != nil || answer.Code != CodeConflict {
			return answer, err
		}
	}
	return Answer{Code: CodeConflict}, nil // a whole table conflicts with none
}

func patchFor(ctx context.Context, backend Backend, doc *routes.Document, ofHeld bool) (*routes.Patch, error) {
	if !ofHeld {
		return routes.NewPatch(nil, doc)
	}
	committed, err := backend.Committed(ctx)
	if err != nil {
		return nil, notProposed(err)
	}
	return routes.NewPatch(committed.State.Routes, doc)
}
