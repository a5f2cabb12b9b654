package ingress

import (
	"context"
	"net/http"
	"sync"
	"time"

	"filbertturn.example/filbertturn/internal/limit/waitline"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/latency"
)

const (
	// waitsAtLimits tells whether requests wait for the next tokens of their customers' limits. If not, those beyond a limit
	// are refused at once.
	waitsAtLimits = true

	// defaultResponsePart is the part of the objective that the response of a route takes as long as there are too few
	// responses to tell.
	defaultResponsePart = 0.5

	// maxUsualTimes bounds the routes whose response times are kept.
	maxUsualTimes = 4096
)

// applyLimit takes the request out of the customer's limit. It may wait for that as long as it is then likely to be answered
// within the objective of its route, if the route has one.
func (i *Ingress) applyLimit(ctx context.Context, rs *requestState) error {
	if rs.customer.Name == "" {
		return nil
	}
	var err error
	if wait := i.maxLimitWait(rs, time.Now()); wait > 0 {
		err = i.Limiter.AdmitWithin(ctx, rs.customer.Name, waitline.Ask{Wait: wait, Priority: priority(rs)})
	} else {
		err = i.Limiter.Admit(ctx, rs.customer.Name)
	}
	if err == nil {
		rs.admitted = time.Now()
	}
	return err
}

// maxLimitWait returns the time for which the request may wait for a token.
func (i *Ingress) maxLimitWait(rs *requestState, now time.Time) time.Duration {
	objective := rs.route.Target
	if !waitsAtLimits || objective <= 0 {
		return 0
	}
	likely, ok := i.usual.likely(now, rs.route.Name)
	if !ok {
		likely = time.Duration(defaultResponsePart * float64(objective))
	}
	left := min(objective, rs.deadline.Sub(rs.started)) - now.Sub(rs.started)
	return max(left-likely, 0)
}

// recordTime records the time between the admission of a request and the head of its response. A request that its service has no room
// for counts as one that takes its whole objective, unless its caller had less time: the next ones are as unlikely to be answered in time.
func (i *Ingress) recordTime(rs *requestState, status int, f *failure.Failure) {
	objective := rs.route.Target
	if rs.admitted.IsZero() || objective <= 0 {
		return
	}
	now := time.Now()
	took := now.Sub(rs.admitted)
	switch {
	case f != nil && lacksRoom(f.Kind) && rs.deadline.Sub(rs.started) >= objective:
		took = max(took, objective)
	case f != nil || status >= http.StatusInternalServerError:
		return
	}
	i.usual.observe(now, rs.route.Name, took)
}

// lacksRoom reports whether a failure of a kind shows that a service is overloaded.
func lacksRoom(k kind.Kind) bool {
	return k == kind.NoCapacity || k == kind.Overloaded || k == kind.ShedByBackendServer
}

// usualTimes holds the response times of routes after their requests were admitted: the wait for a slot, attempts that
// failed, and the run. The zero value is ready for use. It is safe for concurrent use.
type usualTimes struct {
	mu     sync.Mutex
	routes map[string]*latency.Estimator
}

// observe adds a response of a route.
func (u *usualTimes) observe(now time.Time, route string, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	e := u.routes[route]
	if e == nil {
		if u.routes == nil || len(u.routes) >= maxUsualTimes {
			// Also removes routes that have left the configuration. Those in use are soon known again.
			u.routes = make(map[string]*latency.Estimator)
		}
		e = new(latency.Estimator)
		u.routes[route] = e
	}
	e.Observe(now, took)
}

// likely returns the time within which a response of a route probably arrives, or false if it is not known.
func (u *usualTimes) likely(now time.Time, route string) (time.Duration, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	e := u.routes[route]
	if e == nil {
		return 0, false
	}
	return e.Likely(now)
}
