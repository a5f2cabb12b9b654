package snapshot

import (
	"slices"
	"strings"

	"filbertturn.example/filbertturn/internal/config/set"
)

// Route returns the route for a request. The path is the one that is forwarded,
// in its encoded form and without the query. The longest prefix that matches on
// whole segments decides, also when none of its routes serves the method. A
// path that is not in clean form has no route; see Clean.
func (s *Snapshot) Route(method, path string) (set.Route, bool) {
	if !Clean(path) {
		return set.Route{}, false
	}
	for prefix := s.deepest(path); ; prefix = parent(prefix) {
		if routes, found := s.routes[prefix]; found {
			return s.serving(method, routes)
		}
		if prefix == "/" {
			return set.Route{}, false
		}
	}
}

// Match returns the route for a request to a host. Routes of that host go
// before those of every host, and the longest prefix decides. Unlike Route it
// takes the path as it is: whoever calls it forwards the same bytes, and hands
// the request only to backend servers that read paths by prefix themselves.
func (s *Snapshot) Match(host, method, path string) (set.Route, bool) {
	if r, ok := s.below(s.hosts[host], method, path); ok || host == "" {
		return r, ok
	}
	return s.below(s.hosts[""], method, path)
}

func (s *Snapshot) below(routes map[string][]int32, method, path string) (set.Route, bool) {
	if len(routes) == 0 || path == "" || path[0] != '/' {
		return set.Route{}, false
	}
	for end := len(path); end > 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := s.exactly(routes[path[:end]], method, path, end); ok {
			return r, true
		}
	}
	return s.exactly(routes["/"], method, path, 0)
}

// exactly returns the route of one prefix, which ends before the byte at end.
func (s *Snapshot) exactly(routes []int32, method, path string, end int) (set.Route, bool) {
	r, ok := s.serving(method, routes)
	return r, ok && (!r.Subtree || end < len(path))
}

// deepest cuts the path to the most segments that any prefix has, so that the
// time of a lookup does not grow with the path.
func (s *Snapshot) deepest(path string) string {
	slashes := 0
	for i := range len(path) {
		if path[i] != '/' {
			continue
		}
		if slashes == max(s.depth, 1) {
			return path[:i]
		}
		slashes++
	}
	return path
}

// parent drops the last segment.
func parent(path string) string {
	return path[:max(strings.LastIndexByte(path, '/'), 1)]
}

func (s *Snapshot) serving(method string, routes []int32) (set.Route, bool) {
	for _, i := range routes {
		r := s.set.Routes[i]
		if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
			return r, true
		}
	}
	return set.Route{}, false
}

// Clean says whether an encoded path has only one reading, so that the route
// that is found here is the one that a backend server sees. A path with two
// readings is refused, never rewritten: it must begin with a slash, have no
// empty segment but the last, no dot segment, no backslash, semicolon, control
// character or byte outside ASCII, and no escape of a slash, a backslash, a
// control character, or a character that needs none.
func Clean(path string) bool {
	if path == "" || path[0] != '/' {
		return false
	}
	segment := 1 // Start of the segment.
	for i := 1; i <= len(path); i++ {
		if i < len(path) && path[i] != '/' {
			if !cleanByte(path, i) {
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

// cleanByte checks the byte at i; a percent sign with the escape after it.
func cleanByte(path string, i int) bool {
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
	high, low := digit(path[i+1]), digit(path[i+2])
	if high < 0 || low < 0 {
		return false
	}
	b := byte(high<<4 | low)
	return b >= ' ' && b != 0x7f && b != '/' && b != '\\' && !unreserved(b)
}

// unreserved says whether RFC 3986, section 2.3, lets the byte stand for itself
// everywhere.
func unreserved(b byte) bool {
	return '0' <= b && b <= '9' || 'A' <= b && b <= 'Z' || 'a' <= b && b <= 'z' || strings.IndexByte("-._~", b) >= 0
}

func digit(b byte) int {
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
