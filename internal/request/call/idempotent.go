package call

import (
	"net/http"
	"slices"

	"filbertturn.example/filbertturn/internal/config/set"
)

// defaultIdempotent lists the methods that are idempotent on a route that names none.
var defaultIdempotent = []string{http.MethodGet, http.MethodHead, http.MethodOptions}

// Idempotent reports whether a request with the method may be sent again on
// the route. A caller's Idempotency-Key field does not count, because the fleet keeps
// no record of these keys and could not recognise a second request with the same one.
func Idempotent(route set.Route, method string) bool {
	if len(route.Idempotent) == 0 {
		return slices.Contains(defaultIdempotent, method)
	}
	return slices.Contains(route.Idempotent, method)
}
