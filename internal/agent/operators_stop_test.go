package agent

import (
	"io"
	"net/http"
	"testing"

	"github.com/wigeonflow/wigeonflow/internal/operator"
	"github.com/wigeonflow/wigeonflow/internal/settings"
)

// startControlWith starts a control process, the only member of its group, and returns it with its
// operators' address.
func startControlWith(t *testing.T, operators http.Handler) (*Agent, string) {
	t.Helper()
	s := settings.Settings{Instance: "i", Roles: []settings.Role{settings.RoleControl}, DataDir: t.TempDir()}
	addrs := freeAddrs(t, 2)
	s.Listen.Mesh, s.Listen.Operators = addrs[0], addrs[1]
	s.Control.Members = []string{addrs[0]}
	a, err := StartWith(t.Context(), s.WithDefaults(), io.Discard, Extension{
		Operators: func(Parts, operator.Backend) http.Handler { return operators },
	})
	if err != nil {
		t.Fatal(err)
	}
	return a, s.Listen.Operators
}

// Like TestStopDropsRequestOfAcceptedConnection, of an operator.
func TestStopDropsOperatorsRequestOfAcceptedConnection(t *testing.T) {
	a, addr := startControlWith(t, serveAll)
	checkStopAnswersAcceptedConnection(t, a, a.operators, addr)
}
