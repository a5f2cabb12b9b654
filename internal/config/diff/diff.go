// Package diff compares two configuration sets.
package diff

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"filbertturn.example/filbertturn/internal/config/set"
)

// Action is the kind of a change.
type Action string

// Values of Change.Action.
const (
	Added   Action = "Added"
	Removed Action = "Removed"
	Changed Action = "Changed"
)

// Change is one object that differs between two sets. It contains names only, never
// values, so that it discloses no hash of a secret.
type Change struct {
	Kind   string // Kind of the object, such as Route.
	Name   string
	Action Action
	Fields []string `json:",omitempty"` // Names of the fields that differ, if Action is Changed.
}

// String returns one line, such as: Changed Route orders: Pool, Timeout.
func (c Change) String() string {
	line := fmt.Sprintf("%s %s %s", c.Action, c.Kind, c.Name)
	if len(c.Fields) > 0 {
		line += ": " + strings.Join(c.Fields, ", ")
	}
	return line
}

// Diff returns the changes that turn a into b, by kind in the order of the fields
// of set.Set and then by name.
func Diff(a, b set.Set) []Change {
	a, b = a.Canonical(), b.Canonical()
	return slices.Concat(
		compare("Route", a.Routes, b.Routes, func(o set.Route) string { return o.Name }),
		compare("Customer", a.Customers, b.Customers, func(o set.Customer) string { return o.Name }),
		compare("Key", a.Keys, b.Keys, func(o set.Key) string { return o.Name }),
		compare("Limit", a.Limits, b.Limits, func(o set.Limit) string { return o.Name }),
		compare("Pool", a.Pools, b.Pools, func(o set.Pool) string { return o.Name }),
		compare("Operator", a.Operators, b.Operators, func(o set.Operator) string { return o.Name }),
	)
}

// compare returns the changes between two lists, both sorted by name.
func compare[T any](kind string, a, b []T, name func(T) string) []Change {
	var changes []Change
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(b) == 0 || len(a) > 0 && name(a[0]) < name(b[0]):
			changes = append(changes, Change{Kind: kind, Name: name(a[0]), Action: Removed})
			a = a[1:]
		case len(a) == 0 || name(b[0]) < name(a[0]):
			changes = append(changes, Change{Kind: kind, Name: name(b[0]), Action: Added})
			b = b[1:]
		default:
			if f := fields(a[0], b[0]); len(f) > 0 {
				changes = append(changes, Change{Kind: kind, Name: name(a[0]), Action: Changed, Fields: f})
			}
			a, b = a[1:], b[1:]
		}
	}
	return changes
}

// fields returns the names of the fields that differ between two structs.
func fields(a, b any) []string {
	var names []string
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range x.NumField() {
		if !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
			names = append(names, x.Type().Field(i).Name)
		}
	}
	return names
}
