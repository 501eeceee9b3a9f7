package operator

import (
	"context"

	"github.com/wigeonflow/wigeonflow/internal/routes"
)

// patchAttempts is how many times a routing table is proposed as a patch while
// others change the one in force, before the complete table is proposed.
const patchAttempts = 3

// Propose proposes a command to the control group and returns its answer.
func Propose(ctx context.Context, backend Backend, cmd Command) (Answer, error) {
	encoded, err := cmd.Encode()
	if err != nil {
		return Answer{}, ErrUnavailable.Wrap(err, "encode the command") // nothing was proposed
	}
	result, err := backend.Propose(ctx, encoded)
	if err != nil {
		return Answer{}, err
	}
	return DecodeAnswer(result)
}

// ProposeRoutes brings a routing table into force. It proposes a patch of the
// table in force, and the complete table if patches keep conflicting.
func ProposeRoutes(ctx context.Context, backend Backend, doc *routes.Document) (Answer, error) {
	for attempt := range patchAttempts + 1 {
		patch, err := patchFor(ctx, backend, doc, attempt < patchAttempts)
		if err != nil {
			return Answer{}, err
		}
		answer, err := Propose(ctx, backend, Command{Kind: KindRoutes, Routes: patch})
		if err != nil || answer.Code != CodeConflict {
			return answer, err
		}
	}
	return Answer{Code: CodeConflict}, nil // unreachable: a complete table never conflicts
}

// patchFor returns a patch that leads to doc, against the table in force or, if
// incremental is not set, against none.
func patchFor(ctx context.Context, backend Backend, doc *routes.Document, incremental bool) (*routes.Patch, error) {
	if !incremental {
		return routes.NewPatch(nil, doc)
	}
	committed, err := backend.Committed(ctx)
	if err != nil {
		return nil, notProposed(err)
	}
	return routes.NewPatch(committed.State.Routes, doc)
}
