package entry

import (
	"encoding/json"
	"net/http"

	"github.com/wigeonflow/wigeonflow/internal/answer"
	"github.com/wigeonflow/wigeonflow/internal/fleet"
	"github.com/wigeonflow/wigeonflow/internal/lists"
)

// modelList is the OpenAI list of models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      fleet.ModelName `json:"id"`
	Object  string          `json:"object"`
	OwnedBy string          `json:"owned_by"`
}

// models answers GET /v1/models with the models of the workspace's plan.
func (s *Server) models(w http.ResponseWriter, _ *http.Request, _ fleet.RequestID, workspace *lists.Workspace) *answer.Rejection {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range s.cfg.Index().Models(workspace.Plan) {
		list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "wigeonflow"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
	return nil
}
