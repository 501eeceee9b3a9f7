package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases maps the name of a case to its run, which reports whether the rule held.
var cases = map[string]func(rec *recorder, trouble bool) (held bool, err error){
	"core-renewed":   coreRenewed,
	"deadly-restart": deadlyRestart,
}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// longestRun is less than the 120 s that a script may run.
const longestRun = 115 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: core CASE RECORD")
		os.Exit(exitFailed)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(exitFailed)
	}
	go func() { // whatever ends the run, no process is left
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-signals:
		case <-time.After(longestRun):
		}
		killStarted()
		os.Exit(exitFailed)
	}()
	held, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.event("the case could not run: %v", err)
		os.Exit(exitFailed)
	case held:
		rec.event("the rule held")
		os.Exit(exitHeld)
	default:
		rec.event("the rule was broken")
		os.Exit(exitBroken)
	}
}
