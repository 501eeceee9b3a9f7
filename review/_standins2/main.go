package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by name. Each tells whether the rule held.
var cases = map[string]func(trouble bool, record string) bool{
	"part-idle": partOnIdleConnections, "part-followed": partFollowed, "foreign": foreignEntry, "cold": coldAfterCrash, "away": awayAfterCrash,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		os.Exit(2)
	}
	code := 2
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer func() {
			if value := recover(); value != nil {
				if _, ours := value.(exitCode); !ours {
					fmt.Fprintln(os.Stderr, "the case can't run:", value)
				}
				code = 2
			}
		}()
		code = 1
		if cases[os.Args[1]](os.Getenv("TROUBLE") != "0", os.Args[2]) {
			code = 0
		}
	}()
	select {
	case <-done:
	case <-signals:
		if current != nil {
			current.close()
		}
	case <-time.After(115 * time.Second):
		fmt.Fprintln(os.Stderr, "the case can't run: it takes too long")
		if current != nil {
			current.close()
		}
		code = 2
	}
	os.Exit(code)
}

// current is the lab that runs.
var current *lab
