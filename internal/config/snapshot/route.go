package snapshot

import (
	"slices"
	"strings"

	"filbertturn.example/filbertturn/internal/config/set"
)

// Route returns the route for a request. The path is the one that is forwarded, in
// its encoded form and without the query. The route is chosen from those with the
// longest prefix that matches whole segments; if none of these serves the method,
// there is no route. A path that is not clean has no route; see IsCleanPath.
func (s *Snapshot) Route(method, path string) (set.Route, bool) {
	if !IsCleanPath(path) {
		return set.Route{}, false
	}
	for prefix := s.truncate(path); ; prefix = parent(prefix) {
		if routes, found := s.routesByPrefix[prefix]; found {
			return s.routeForMethod(method, routes)
		}
		if prefix == "/" {
			return set.Route{}, false
		}
	}
}

// MatchHost returns the route for a request to a host. Routes of that host take
// precedence over routes without a host; among these the longest prefix with a
// route for the method wins. Unlike Route it does not require a clean path: the
// caller must forward the same bytes, and only to backend servers that match paths
// by prefix themselves.
func (s *Snapshot) MatchHost(host, method, path string) (set.Route, bool) {
	if r, ok := s.longestPrefix(s.routesByHost[host], method, path); ok || host == "" {
		return r, ok
	}
	return s.longestPrefix(s.routesByHost[""], method, path)
}

// longestPrefix returns the route with the longest prefix that matches the path and
// serves the method.
func (s *Snapshot) longestPrefix(routes map[string][]int32, method, path string) (set.Route, bool) {
	if len(routes) == 0 || path == "" || path[0] != '/' {
		return set.Route{}, false
	}
	for end := len(path); end > 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := s.routeOfPrefix(routes[path[:end]], method, path, end); ok {
			return r, true
		}
	}
	return s.routeOfPrefix(routes["/"], method, path, 0)
}

// routeOfPrefix returns the route for the method among the routes of one prefix,
// which is path[:end]. A Subtree route does not match the prefix itself.
func (s *Snapshot) routeOfPrefix(routes []int32, method, path string, end int) (set.Route, bool) {
	r, ok := s.routeForMethod(method, routes)
	return r, ok && (!r.Subtree || end < len(path))
}

// truncate cuts the path to the number of segments of the longest prefix, so that
// the time of a lookup does not grow with the path.
func (s *Snapshot) truncate(path string) string {
	slashes := 0
	for i := range len(path) {
		if path[i] != '/' {
			continue
		}
		if slashes == max(s.maxDepth, 1) {
			return path[:i]
		}
		slashes++
	}
	return path
}

// parent returns the path without its last segment.
func parent(path string) string {
	return path[:max(strings.LastIndexByte(path, '/'), 1)]
}

// routeForMethod returns the first of the routes that serves the method.
func (s *Snapshot) routeForMethod(method string, routes []int32) (set.Route, bool) {
	for _, i := range routes {
		r := s.set.Routes[i]
		if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
			return r, true
		}
	}
	return set.Route{}, false
}

// IsCleanPath reports whether an encoded path is unambiguous, so that a backend server
// cannot interpret it as the path of another route. A clean path begins with a
// slash; it has no empty segment except the last, no dot segment, no backslash,
// semicolon, question mark, number sign, space, control character or byte outside
// ASCII, and no escape of a slash, a backslash, a control character or an unreserved
// character. Other paths are rejected, never rewritten.
func IsCleanPath(path string) bool {
	if path == "" || path[0] != '/' {
		return false
	}
	segment := 1 // Start of the segment.
	for i := 1; i <= len(path); i++ {
		if i < len(path) && path[i] != '/' {
			if !isCleanByte(path, i) {
				return false
			}
			continue
		}
		switch path[segment:i] {
		case ".", "..":
			return false
		case "":
			if i < len(path) {
				return false
			}
		}
		segment = i + 1
	}
	return true
}

// isCleanByte checks the byte at i, or the whole escape if it is a percent sign.
func isCleanByte(path string, i int) bool {
	switch b := path[i]; {
	case b <= ' ' || b >= 0x7f:
		return false
	case strings.IndexByte("\\;?#", b) >= 0:
		return false
	case b != '%':
		return true
	}
	if len(path)-i < 3 {
		return false
	}
	high, low := hexDigit(path[i+1]), hexDigit(path[i+2])
	if high < 0 || low < 0 {
		return false
	}
	b := byte(high<<4 | low)
	return b >= ' ' && b != 0x7f && b != '/' && b != '\\' && !isUnreserved(b)
}

// isUnreserved reports whether the byte is an unreserved character of RFC 3986,
// section 2.3, which never needs an escape.
func isUnreserved(b byte) bool {
	return '0' <= b && b <= '9' || 'A' <= b && b <= 'Z' || 'a' <= b && b <= 'z' || strings.IndexByte("-._~", b) >= 0
}

// hexDigit returns the value of a hexadecimal digit, or -1.
func hexDigit(b byte) int {
	switch {
	case '0' <= b && b <= '9':
		return int(b - '0')
	case 'a' <= b && b <= 'f':
		return int(b-'a') + 10
	case 'A' <= b && b <= 'F':
		return int(b-'A') + 10
	}
	return -1
}
