package snapshot_test

import (
	"crypto/sha256"
	"fmt"
	"net/url"
	"path"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/config/sample"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/config/snapshot"
)

func TestIsCleanPath(t *testing.T) {
	tests := []struct {
		path string
		want bool
	}{
		{"/", true}, {"/a/b", true}, {"/a/", true}, {"/a%20b", true}, {"/%C3%A9", true}, {"/%c3%a9", true}, {"/a.b/..c", true},
		{"/a:b@c,(d)!*'+$&=", true}, {"/%25", true}, {"/%3B", true},
		{"", false}, {"*", false}, {"a", false}, {"//", false}, {"/a//b", false}, {"/./a", false}, {"/a/..", false}, {"/a/.", false},
		{"/%2e%2e/a", false}, {"/%61", false}, {"/a%2Fb", false}, {"/a%5cb", false}, {"/a\\b", false}, {"/a;b", false}, {"/a%00", false},
		{"/a%0d", false}, {"/a%7F", false}, {"/a b", false}, {"/é", false}, {"/%", false}, {"/%2", false}, {"/%zz", false}, {"/a?b", false},
	}
	for _, tt := range tests {
		if got := snapshot.IsCleanPath(tt.path); got != tt.want {
			t.Errorf("%q: got %v, want %v", tt.path, got, tt.want)
		}
	}
}

// linearSearch finds the route by comparing every prefix. It is the reference for
// Route.
func linearSearch(routes []set.Route, method, path string) (string, bool) {
	longest, name := -1, ""
	for _, r := range routes {
		p := strings.TrimSuffix(r.Prefix, "/")
		if path != p && !strings.HasPrefix(path, p+"/") || len(p) < longest {
			continue
		}
		if len(p) > longest {
			longest, name = len(p), ""
		}
		if len(r.Methods) == 0 || strings.Contains(strings.Join(r.Methods, " "), method) {
			name = r.Name
		}
	}
	return name, name != ""
}

// TestSnapshot_Route guards against an encoded path that gets another route than its
// decoded form, on which a backend server acts. The expected route is found by a
// linear search with the decoded path.
func TestSnapshot_Route(t *testing.T) {
	prefix := rapid.StringMatching(`(/[ab]{1,2}){1,4}|/`)
	request := rapid.OneOf(rapid.StringMatching(`(/[ab]{0,3}){1,6}/?`), rapid.StringMatching(`(/(a|b|%61|%2F|%20|\.|%2e|;|c%C3%A9|\\){0,3}){1,4}`))
	rapid.Check(t, func(t *rapid.T) {
		var s set.Set
		prefixes := rapid.SliceOfNDistinct(prefix, 1, 8, rapid.ID).Draw(t, "prefixes")
		for i, p := range prefixes {
			s.Routes = append(s.Routes, set.Route{
				Name: fmt.Sprint("route", i), Prefix: p, Methods: rapid.SampledFrom([][]string{nil, {"GET"}, {"POST", "PUT"}}).Draw(t, "methods"),
			})
		}
		n := snapshot.Compile(s, 1)
		raw := request.Draw(t, "path")
		if rapid.Bool().Draw(t, "below a prefix") {
			raw = strings.TrimSuffix(rapid.SampledFrom(prefixes).Draw(t, "prefix"), "/") + raw
		}
		method := rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "method")
		got, found := n.Route(method, raw)
		if !snapshot.IsCleanPath(raw) {
			if found {
				t.Fatalf("got route %s of %q, which is not clean", got.Name, raw)
			}
			return
		}
		decoded, err := url.PathUnescape(raw)
		if err != nil || path.Clean(decoded) != strings.TrimSuffix(decoded, "/") && decoded != "/" {
			t.Fatalf("got a clean path %q that decodes to %q, %v", raw, decoded, err)
		}
		if want, ok := linearSearch(s.Routes, method, decoded); found != ok || got.Name != want {
			t.Fatalf("got %s, %v of %q, want %s, %v", got.Name, found, raw, want, ok)
		}
	})
}

func TestSnapshot_Customer(t *testing.T) {
	s := sample.Sized(10, 3)
	s.Customers[3].Routes = []string{"route-0001"}
	n := snapshot.Compile(s, 7)
	c, k, found := n.Customer(sha256.Sum256([]byte(sample.Secret(3))))
	if !found || c.Name != "customer-00003" || k.Name != "key-00003" || n.Revision() != 7 {
		t.Errorf("got %+v, %+v, %v, want customer 3", c, k, found)
	}
	if l, found := n.Limit(c.Name); !found || l.Name != "large" {
		t.Errorf("got limit %+v, %v, want large", l, found)
	}
	if !snapshot.Allows(c, s.Routes[1]) || snapshot.Allows(c, s.Routes[0]) || !snapshot.Allows(c, set.Route{Open: true}) {
		t.Error("got other routes allowed than route 1 and open ones")
	}
	if o, found := n.Operator(sha256.Sum256([]byte("operator"))); !found || o.Name != "operator" {
		t.Errorf("got %+v, %v, want the operator", o, found)
	}
	if p, found := n.Pool("pool-00"); !found || p.Service != "service-00" {
		t.Errorf("got %+v, %v, want pool-00", p, found)
	}
	for _, secret := range []string{"", "operator", sample.Secret(10)} {
		if c, _, found := n.Customer(sha256.Sum256([]byte(secret))); found {
			t.Errorf("got %s by %q, want none", c.Name, secret)
		}
	}
	var zero snapshot.Snapshot
	if _, found := zero.Route("GET", "/a/b/c"); found {
		t.Error("got a route of the zero value")
	}
}

func BenchmarkSnapshot_Route(b *testing.B) {
	for _, routes := range []int{17, 170, 1_700} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			n := snapshot.Compile(sample.Sized(1, routes), 1)
			b.ReportAllocs()
			for b.Loop() {
				if _, found := n.Route("GET", "/service-03/resource-0003/of/some/depth"); !found {
					b.Fatal("no route")
				}
			}
		})
	}
}

func BenchmarkSnapshot_Customer(b *testing.B) {
	n := snapshot.Compile(sample.Sized(25_000, 1), 1)
	hash := sha256.Sum256([]byte(sample.Secret(12_345)))
	b.ReportAllocs()
	for b.Loop() {
		if _, _, found := n.Customer(hash); !found {
			b.Fatal("no customer")
		}
	}
}

// BenchmarkCompile reports the memory that a snapshot retains, including its set.
func BenchmarkCompile(b *testing.B) {
	for _, customers := range []int{2_500, 25_000} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			n := snapshot.Compile(sample.Sized(customers, 1_700), 1)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				n = snapshot.Compile(n.Set(), 1)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB/snapshot")
			runtime.KeepAlive(n)
		})
	}
}
