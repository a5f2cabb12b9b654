package set

import (
	"cmp"
	"slices"
)

// Canonical returns the set with the objects of each kind sorted by name and
// with empty lists as nil, so that equal sets have one form. It copies what it
// changes; the lists inside the objects keep their order.
func (s Set) Canonical() Set {
	return Set{
		Routes:    sorted(s.Routes, func(r *Route) string { trim(&r.Methods); trim(&r.Idempotent); return r.Name }),
		Customers: sorted(s.Customers, func(c *Customer) string { trim(&c.Routes); return c.Name }),
		Keys:      sorted(s.Keys, func(k *Key) string { return k.Name }),
		Limits:    sorted(s.Limits, func(l *Limit) string { return l.Name }),
		Pools:     sorted(s.Pools, func(p *Pool) string { return p.Name }),
		Operators: sorted(s.Operators, func(o *Operator) string { return o.Name }),
	}
}

// sorted returns a sorted copy. The function name may change its object, which
// is one of the copy.
func sorted[T any](objects []T, name func(*T) string) []T {
	if len(objects) == 0 {
		return nil
	}
	objects = slices.Clone(objects)
	slices.SortStableFunc(objects, func(a, b T) int { return cmp.Compare(name(&a), name(&b)) })
	for i := range objects {
		name(&objects[i])
	}
	return objects
}

func trim(list *[]string) {
	if len(*list) == 0 {
		*list = nil
	}
}
