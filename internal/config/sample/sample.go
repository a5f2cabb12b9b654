// Package sample generates configuration sets for tests and benchmarks.
package sample

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"pgregory.net/rapid"

	"filbertturn.example/filbertturn/internal/config/set"
)

// Sized returns a valid set with the given numbers of customers, each with one key,
// and of routes. The secret of key n is Secret(n).
func Sized(customers, routes int) set.Set {
	s := set.Set{
		Limits:    []set.Limit{{Name: "small", Rate: 2, Burst: 20}, {Name: "large", Rate: 500, Burst: 1000}},
		Operators: []set.Operator{{Name: "operator", Hash: hashHex("operator")}},
	}
	for i := range max(1, routes/20) {
		s.Pools = append(s.Pools, set.Pool{
			Name: fmt.Sprintf("pool-%02d", i), Service: fmt.Sprintf("service-%02d", i), Floor: 70, QueueWait: 50 * time.Millisecond,
		})
	}
	for i := range routes {
		s.Routes = append(s.Routes, set.Route{
			Name: fmt.Sprintf("route-%04d", i), Prefix: fmt.Sprintf("/service-%02d/resource-%04d", i%88, i),
			Pool: s.Pools[i%len(s.Pools)].Name, Timeout: 2 * time.Second, Methods: []string{"GET", "POST"},
		})
	}
	for i := range customers {
		c := set.Customer{Name: fmt.Sprintf("customer-%05d", i), Limit: s.Limits[i%2].Name}
		s.Customers = append(s.Customers, c)
		s.Keys = append(s.Keys, set.Key{Name: fmt.Sprintf("key-%05d", i), Customer: c.Name, Hash: hashHex(Secret(i))})
	}
	return s
}

// Secret returns the secret of key n in a set from Sized.
func Secret(n int) string { return fmt.Sprintf("secret-%d", n) }

// Draw draws a valid set in canonical form.
func Draw(t *rapid.T) set.Set {
	s := Sized(rapid.IntRange(0, 6).Draw(t, "customers"), rapid.IntRange(0, 8).Draw(t, "routes"))
	for i := range s.Pools {
		p := &s.Pools[i]
		p.Floor = rapid.IntRange(0, 100).Draw(t, "floor")
		p.Threshold = rapid.Float64Range(0, 50).Draw(t, "threshold")
		p.Probe = set.Probe{Path: "/health?full=1", Contains: rapid.StringN(0, 20, 60).Draw(t, "contains")}
	}
	for i := range s.Routes {
		r := &s.Routes[i]
		r.Open = rapid.Bool().Draw(t, "open")
		r.Timeout = time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "timeout"))
		r.Idempotent = rapid.SampledFrom([][]string{nil, {"GET"}, {"POST", "GET"}}).Draw(t, "idempotent")
	}
	for i := range s.Limits {
		s.Limits[i].Rate = rapid.Float64Range(0.001, 1e9).Draw(t, "rate")
	}
	for i := range s.Customers {
		if len(s.Routes) > 0 {
			r := rapid.SampledFrom(s.Routes).Draw(t, "route")
			s.Customers[i].Routes = []string{r.Name}
		}
	}
	return s.Canonical()
}

func hashHex(secret string) string {
	h := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(h[:])
}
