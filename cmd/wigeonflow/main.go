// Command wigeonflow is the single binary of the router fleet. It runs routers,
// control members, stand-ins and the operators' tools.
package main

import (
	"os"

	"github.com/wigeonflow/wigeonflow/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
