package retrylimit

import (
	"slices"
	"strings"

	"filbertturn.example/filbertturn/internal/request/callcost"
)

// Retry is a retry or a hedge that is to be sent.
type Retry struct {
	Service string
	Costs   callcost.Costs // Calls that its run makes.
}

// Need is the mean number of arrivals at a service that a retry causes.
type Need struct {
	Service string
	Cost    float64
}

// Needs returns what a retry needs. The need at its own service comes last.
func (r Retry) Needs() []Need {
	var list []Need
	own := Need{r.Service, 1}
	for _, c := range r.Costs {
		i := slices.IndexFunc(list, func(n Need) bool { return n.Service == c.Service })
		switch {
		case c.Service == r.Service:
			own.Cost += c.Calls
		case i >= 0:
			list[i].Cost += c.Calls
		default:
			list = append(list, Need{c.Service, c.Calls})
		}
	}
	slices.SortFunc(list, func(a, b Need) int { return strings.Compare(a.Service, b.Service) })
	return append(list, own)
}

// Source grants parts of what a retry needs.
type Source interface {
	// Share grants a need from this node's share.
	Share(n Need) (Grant, bool)
	// Pool grants a need from the pool of the service.
	Pool(n Need) (Grant, bool)
	// ReturnShare and ReturnPool give a grant for a service back.
	ReturnShare(service string, g Grant)
	ReturnPool(service string, g Grant)
}

// Buy gets grants for all needs, each from the share or else from the pool, or for none. It returns the
// service that denied its part. All shares are asked before any pool, which may be another node's.
func Buy(s Source, needs []Need) (denied string, ok bool) {
	type part struct {
		need   Need
		grant  Grant
		pooled bool
	}
	var got []part
	var rest []Need
	for _, n := range needs {
		if g, ok := s.Share(n); ok {
			got = append(got, part{n, g, false})
		} else {
			rest = append(rest, n)
		}
	}
	for _, n := range rest {
		g, ok := s.Pool(n)
		if ok {
			got = append(got, part{n, g, true})
			continue
		}
		for _, p := range got {
			if p.pooled {
				s.ReturnPool(p.need.Service, p.grant)
			} else {
				s.ReturnShare(p.need.Service, p.grant)
			}
		}
		return n.Service, false
	}
	return "", true
}
