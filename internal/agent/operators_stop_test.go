package agent

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

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
	is := is.New(t)
	a, addr := startControlWith(t, serveAll)
	c, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer c.Close()
	later, err := net.Dial("tcp", addr)
	is.NoErr(err)
	send(t, later)
	_, err = readAnswer(later) // c was accepted before
	is.NoErr(err)
	is.NoErr(later.Close())
	stopped := make(chan error, 1)
	go func() { stopped <- a.Stop(t.Context()) }()
	for { // until the listener is closed
		extra, err := net.Dial("tcp", addr)
		if err != nil {
			break
		}
		_ = extra.Close()
	}
	send(t, c)
	status, err := readAnswer(c)
	is.NoErr(err) // no answer to a request that was read
	is.Equal(status, http.StatusOK)
	is.NoErr(<-stopped)
}
