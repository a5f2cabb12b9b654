package set

import (
	"cmp"
	"slices"
)

// Canonical returns the set with the objects of each kind sorted by name and with
// nil instead of empty lists, so that equal sets have the same form. It does not
// modify s. The lists inside the objects keep their order.
func (s Set) Canonical() Set {
	c := Set{
		Routes:    sorted(s.Routes, func(r Route) string { return r.Name }),
		Customers: sorted(s.Customers, func(c Customer) string { return c.Name }),
		Keys:      sorted(s.Keys, func(k Key) string { return k.Name }),
		Limits:    sorted(s.Limits, func(l Limit) string { return l.Name }),
		Pools:     sorted(s.Pools, func(p Pool) string { return p.Name }),
		Operators: sorted(s.Operators, func(o Operator) string { return o.Name }),
		Clients:   s.Clients,
	}
	for i := range c.Routes {
		c.Routes[i].Methods = trimmed(c.Routes[i].Methods)
		if len(c.Routes[i].Split) == 0 {
			c.Routes[i].Split = nil
		}
		c.Routes[i].Idempotent = trimmed(c.Routes[i].Idempotent)
	}
	for i := range c.Customers {
		c.Customers[i].Routes = trimmed(c.Customers[i].Routes)
	}
	return c
}

// sorted returns a copy sorted by name, or nil without objects.
func sorted[T any](objects []T, name func(T) string) []T {
	if len(objects) == 0 {
		return nil
	}
	objects = slices.Clone(objects)
	compare := func(a, b T) int { return cmp.Compare(name(a), name(b)) }
	if !slices.IsSortedFunc(objects, compare) {
		slices.SortStableFunc(objects, compare)
	}
	return objects
}

// trimmed returns the list, or nil if it is empty.
func trimmed(list []string) []string {
	if len(list) == 0 {
		return nil
	}
	return list
}
