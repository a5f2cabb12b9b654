package check_test

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/config/check"
	"filbertturn.example/filbertturn/internal/config/sample"
	"filbertturn.example/filbertturn/internal/config/set"
)

// TestCheck checks the field and the suggestion of each kind of problem.
func TestCheck(t *testing.T) {
	tests := []struct {
		desc   string
		change func(s *set.Set)
		want   []string // Kind, name and field of each problem, with its suggestion.
	}{
		{"valid", func(*set.Set) {}, nil},
		{"empty set", func(s *set.Set) { *s = set.Set{} }, nil},
		{"every reference", func(s *set.Set) {
			s.Routes[0].Pool, s.Keys[0].Customer, s.Customers[0].Limit = "pool-0", "customer-9", ""
			s.Customers[1].Routes = []string{"route-0001", "rout-0001"}
		}, []string{
			"Route route-0000 Pool pool-00", "Customer customer-00000 Limit ", "Customer customer-00001 Routes route-0001",
			"Key key-00000 Customer ",
		}},
		{"destinations", func(s *set.Set) {
			s.Routes[0].Pool, s.Routes[0].Split = "", []set.Share{{Pool: "pool-00", Weight: 2}, {Pool: "pool-0", Weight: -1}}
			s.Routes[1].Split = []set.Share{{Pool: "pool-00"}}
			s.Routes[2].Attempts, s.Routes[2].Priority, s.Routes[2].Target, s.Routes[2].Repeat = -1, -1, -1, "Sometimes"
		}, []string{
			"Route route-0000 Split pool-00", "Route route-0000 Split ", "Route route-0001 Pool ", "Route route-0001 Split ",
			"Route route-0002 Target ", "Route route-0002 Repeat ", "Route route-0002 Attempts ", "Route route-0002 Priority ",
		}},
		{"same prefix of two hosts", func(s *set.Set) {
			s.Routes = append(s.Routes, s.Routes[0])
			last := &s.Routes[len(s.Routes)-1]
			last.Name, last.Host = "other-host", "h.example"
		}, nil},
		{"names", func(s *set.Set) {
			s.Pools = append(s.Pools, set.Pool{Name: "a b", Service: "s"}, set.Pool{Name: "pool-00", Service: "s"}, set.Pool{Service: "s"})
			s.Limits[1].Name = strings.Repeat("x", 64)
			s.Customers = s.Customers[:1]
			s.Keys = s.Keys[:1]
		}, []string{
			"Limit " + strings.Repeat("x", 64) + " Name ", "Pool a b Name ", "Pool pool-00 Name ", "Pool  Name ",
		}},
		{"numbers", func(s *set.Set) {
			s.Limits[0].Rate, s.Limits[0].Burst, s.Limits[1].Rate = 0, 0, math.NaN()
			s.Pools[0] = set.Pool{Name: "pool-00", Floor: 101, Threshold: math.Inf(1), QueueWait: -1, Service: "s"}
			s.Routes[0].Timeout = 2 * time.Hour
		}, []string{
			"Route route-0000 Timeout ", "Limit small Rate ", "Limit small Burst ", "Limit large Rate ",
			"Pool pool-00 Floor ", "Pool pool-00 Threshold ", "Pool pool-00 QueueWait ",
		}},
		{"prefixes", func(s *set.Set) {
			for i, p := range []string{"a", "/a/", "/a//b", "/a/../b", "/a%20", "/a;b", "/é", "/" + strings.Repeat("a", 256), "/ok~-._", ""} {
				s.Routes[i].Prefix = p
			}
		}, []string{
			"Route route-0000 Prefix ", "Route route-0001 Prefix /a", "Route route-0002 Prefix /a/b", "Route route-0003 Prefix /b",
			"Route route-0004 Prefix ", "Route route-0005 Prefix ", "Route route-0006 Prefix ", "Route route-0007 Prefix ",
			"Route route-0009 Prefix ",
		}},
		{"ambiguous routes", func(s *set.Set) {
			for i, m := range [][]string{{"GET"}, {"POST"}, {"PUT", "POST"}, nil} {
				s.Routes[i].Prefix, s.Routes[i].Methods = "/same", m
			}
		}, []string{"Route route-0002 Prefix ", "Route route-0003 Prefix "}},
		{"methods", func(s *set.Set) {
			s.Routes[0].Methods = []string{"get", "TRACE", "PUT", "PUT", ""}
			s.Routes[1].Idempotent = []string{"DELETE"}
		}, []string{
			"Route route-0000 Methods ", "Route route-0000 Methods ", "Route route-0000 Methods ", "Route route-0000 Methods ",
			"Route route-0001 Idempotent ",
		}},
		{"hashes", func(s *set.Set) {
			s.Keys[0].Hash = strings.ToUpper(s.Keys[0].Hash)
			s.Keys[1].Hash = s.Keys[2].Hash
			s.Operators[0].Hash = s.Keys[3].Hash
		}, []string{"Key key-00000 Hash ", "Key key-00002 Hash ", "Operator operator Hash "}},
		{"probes", func(s *set.Set) {
			s.Pools[0].Service = "a b"
			s.Pools[0].Probe = set.Probe{Path: "health", Contains: strings.Repeat("x", 257)}
		}, []string{"Pool pool-00 Service ", "Pool pool-00 Probe.Path ", "Pool pool-00 Probe.Contains "}},
	}
	for _, tt := range tests {
		s := sample.Sized(4, 10)
		tt.change(&s)
		var got []string
		for _, p := range check.Check(s) {
			got = append(got, p.Kind+" "+p.Name+" "+p.Field+" "+p.Suggestion)
			if p.Message == "" || len(p.String()) > 400 {
				t.Errorf("%s: got message %q, want a short one", tt.desc, p.String())
			}
		}
		if strings.Join(got, "\n") != strings.Join(tt.want, "\n") {
			t.Errorf("%s: got\n%s\nwant\n%s", tt.desc, strings.Join(got, "\n"), strings.Join(tt.want, "\n"))
		}
	}
}

// TestCheck_reference renames one object of a valid set, and checks that every
// reference to it, and nothing else, is reported.
func TestCheck_reference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := sample.Draw(t)
		if got := check.Check(s); len(got) > 0 {
			t.Fatalf("got %v of a valid set", got)
		}
		kinds := map[string]int{"Pool": len(s.Pools), "Limit": len(s.Limits), "Customer": len(s.Customers), "Route": len(s.Routes)}
		kind := rapid.SampledFrom([]string{"Pool", "Limit", "Customer", "Route"}).Filter(func(k string) bool {
			return kinds[k] > 0
		}).Draw(t, "kind")
		i := rapid.IntRange(0, kinds[kind]-1).Draw(t, "object")
		name := map[string]*string{}
		switch kind {
		case "Pool":
			name[kind] = &s.Pools[i].Name
		case "Limit":
			name[kind] = &s.Limits[i].Name
		case "Customer":
			name[kind] = &s.Customers[i].Name
		case "Route":
			name[kind] = &s.Routes[i].Name
		}
		old := *name[kind]
		*name[kind] = "renamed"
		want := map[string]bool{}
		for _, r := range s.Routes {
			want["Route "+r.Name+" Pool"] = kind == "Pool" && r.Pool == old
		}
		for _, c := range s.Customers {
			want["Customer "+c.Name+" Limit"] = kind == "Limit" && c.Limit == old
			want["Customer "+c.Name+" Routes"] = kind == "Route" && len(c.Routes) > 0 && c.Routes[0] == old
		}
		for _, k := range s.Keys {
			want["Key "+k.Name+" Customer"] = kind == "Customer" && k.Customer == old
		}
		got := map[string]bool{}
		for _, p := range check.Check(s) {
			got[p.Kind+" "+p.Name+" "+p.Field] = true
		}
		for problem, w := range want {
			if got[problem] != w {
				t.Fatalf("got %v of %s, want %v", got[problem], problem, w)
			}
			delete(got, problem)
		}
		if len(got) > 0 {
			t.Fatalf("got %v besides", got)
		}
	})
}

// TestPlatformOnlyFields checks that the fields are reported that nodes of a fleet with its
// own sets would ignore.
func TestPlatformOnlyFields(t *testing.T) {
	s := set.Set{
		Routes:    []set.Route{{Name: "plain", Pool: "p"}, {Name: "r", Host: "h", Split: []set.Share{{Pool: "p", Weight: 1}}, Upload: true}},
		Customers: []set.Customer{{Name: "c", Priority: 1}},
	}
	var got []string
	for _, p := range check.PlatformOnlyFields(s) {
		got = append(got, p.Name+" "+p.Field)
	}
	want := []string{"r Host", "r Split", "r Upload", "c Priority"}
	if !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}
