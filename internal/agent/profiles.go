package agent

import (
	"net/http"
	"net/http/pprof"
)

// pprofHandler serves the Go runtime's profiles under /debug/pprof/.
func pprofHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("/debug/pprof/", pprof.Index)
	m.HandleFunc("/debug/pprof/profile", pprof.Profile)
	m.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	m.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return m
}
