package lists

import (
	"net/http"
	"strings"
)

// Match returns the first route of the service that matches a request, or the
// default route: GET, HEAD and OPTIONS may be repeated, other methods not.
// The path is the one behind the service's name, starting with a slash.
func (s *Service) Match(method, path string) Route {
	for _, r := range s.Routes {
		if (r.Method == anyMethod || r.Method == method) && pathCovers(r.Path, path) {
			return r
		}
	}
	return Route{Method: method, Path: path, Repeatable: repeatable(method)}
}

func repeatable(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// pathCovers tells whether path lies at or below prefix, by whole segments.
func pathCovers(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}
