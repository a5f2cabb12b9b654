package call

import (
	"net/http"
	"slices"

	"filbertturn.example/filbertturn/internal/config/set"
)

// safe lists the methods that are idempotent on a route that names none.
var safe = []string{http.MethodGet, http.MethodHead, http.MethodOptions}

// Idempotent reports whether a request with the method may be sent again on
// the route. A caller's Idempotency-Key field does not count: the fleet keeps
// no record of it, so that it could not recognise the second request.
func Idempotent(route set.Route, method string) bool {
	if len(route.Idempotent) == 0 {
		return slices.Contains(safe, method)
	}
	return slices.Contains(route.Idempotent, method)
}
