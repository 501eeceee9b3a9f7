// Command wigeonflow is the router fleet's one binary: routers, control
// members, operators' tools and stand-ins.
package main

import (
	"os"

	"github.com/wigeonflow/wigeonflow/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
