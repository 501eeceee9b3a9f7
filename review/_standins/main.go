package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD-FILE, in the root of the repository")
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		fatal("interrupted")
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	cases := map[string]func(*record, bool) bool{"memory": runMemory, "revoked": runRevoked, "connections": runConnections}
	run := cases[os.Args[1]]
	if run == nil {
		fatal("unknown case %q", os.Args[1])
	}
	rec := newRecord()
	broken := run(rec, trouble)
	cleanup()
	rec.write(os.Args[2])
	if broken {
		os.Exit(1)
	}
}
