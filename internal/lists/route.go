package lists

import (
	"net/http"
	"strings"
)

// Match returns the first route of the service that matches a request. Without a
// match it returns a default route, which is repeatable for GET, HEAD and OPTIONS
// only. The path is the part after the service's name and starts with a slash.
func (s *Service) Match(method, path string) Route {
	for _, r := range s.Routes {
		if (r.Method == anyMethod || r.Method == method) && pathCovers(r.Path, path) {
			return r
		}
	}
	return Route{Method: method, Path: path, Repeatable: repeatable(method)}
}

// repeatable reports whether requests of this method may be retried by default.
func repeatable(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// pathCovers reports whether path is prefix or below it, compared by whole segments.
func pathCovers(prefix, path string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}
