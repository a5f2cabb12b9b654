package directory_test

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/route/directory"
)

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
}

func drawSummary(t *rapid.T) directory.Summary {
	s := directory.Summary{
		Owner:       address(rapid.IntRange(1, 4).Draw(t, "owner")),
		Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		Sequence:    rapid.Uint64Range(1, 4).Draw(t, "sequence"),
		DataCentre:  rapid.SampledFrom([]string{"dc1", "dc2"}).Draw(t, "data centre"),
	}
	for _, service := range []string{"booking", "catering"} {
		s.Services = append(s.Services, directory.Capacity{
			Service:        service,
			Slots:          rapid.IntRange(0, 6).Draw(t, "slots"),
			Free:           rapid.IntRange(-3, 6).Draw(t, "free"),
			BackendServers: rapid.IntRange(0, 2).Draw(t, "backend servers"),
		})
	}
	s.Lifetime = time.Duration(rapid.SampledFrom([]int{0, 1, 30}).Draw(t, "lifetime")) * time.Second
	return s
}

// TestDirectory compares the directory with a model, a map of the newest summaries,
// under summaries that arrive late, twice and out of order.
func TestDirectory(t *testing.T) {
	type known struct {
		summary directory.Summary
		heard   time.Time
	}
	newer := func(a, b directory.Summary) bool {
		return a.Incarnation > b.Incarnation || a.Incarnation == b.Incarnation && a.Sequence > b.Sequence
	}
	rapid.Check(t, func(t *rapid.T) {
		var d directory.Directory
		model := make(map[netip.AddrPort]known)
		now := time.Unix(1000, 0)
		alive := func(k known) bool {
			if k.summary.Lifetime == 0 {
				return now.Sub(k.heard) <= directory.DefaultLifetime
			}
			return now.Sub(k.heard) <= k.summary.Lifetime
		}
		t.Repeat(map[string]func(*rapid.T){
			"hear": func(t *rapid.T) {
				s := drawSummary(t)
				k, ok := model[s.Owner]
				want := !ok || newer(s, k.summary)
				if want {
					model[s.Owner] = known{s, now}
				}
				if got := d.Update(now, s); got != want {
					t.Fatalf("got %v for %v after %v, want %v", got, s, k.summary, want)
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"expire": func(*rapid.T) {
				d.Expire(now)
				for a, k := range model {
					if !alive(k) {
						delete(model, a)
					}
				}
			},
			"done": func(t *rapid.T) { d.Release(address(rapid.IntRange(1, 5).Draw(t, "owner")), "booking") },
			"pick": func(t *rapid.T) {
				exclude := map[netip.AddrPort]bool{address(rapid.IntRange(1, 4).Draw(t, "excluded")): true}
				can := map[netip.AddrPort]bool{}
				for a, k := range model {
					c := k.summary.Services[0]
					can[a] = alive(k) && !exclude[a] && c.BackendServers > 0 && c.Slots > 0
				}
				got, ok := d.Pick(now, directory.Choice{Service: "booking", DataCentre: "dc1", Exclude: exclude, Random: rapid.Uint64().Draw(t, "random")})
				any := false
				for _, is := range can {
					any = any || is
				}
				if ok != any || ok && !can[got] {
					t.Fatalf("got %v, %v, want one of %v", got, ok, can)
				}
			},
			"": func(t *rapid.T) {
				want := []directory.Summary(nil)
				for i := range 5 {
					if k, ok := model[address(i)]; ok && alive(k) {
						want = append(want, k.summary)
					}
				}
				if got := d.Owners(now); !reflect.DeepEqual(got, want) {
					t.Fatalf("got %v, want %v", got, want)
				}
			},
		})
	})
}

// TestDirectory_Pick_free checks that the selection depends on free slots, not only on
// the number of slots.
func TestDirectory_Pick_free(t *testing.T) {
	var d directory.Directory
	now := time.Unix(1000, 0)
	for i, free := range []int{0, 90} {
		d.Update(now, directory.Summary{Owner: address(i + 1), Services: []directory.Capacity{{Service: "booking", Slots: 100, Free: free, BackendServers: 1}}})
	}
	got := map[netip.AddrPort]int{}
	for i := range uint64(100) {
		a, _ := d.Pick(now, directory.Choice{Service: "booking", Random: i * 2654435761})
		got[a]++
	}
	if got[address(2)] < 60 || got[address(1)] == 0 {
		t.Errorf("got %v, want at least 60 requests to %v, which has free slots, and some to the other", got, address(2))
	}
}

// TestDirectory_MarkUnreachable checks that an unreachable owner gets no request while others can
// take it, for at most a second.
func TestDirectory_MarkUnreachable(t *testing.T) {
	var d directory.Directory
	now := time.Unix(1000, 0)
	for i := range 2 {
		d.Update(now, directory.Summary{Owner: address(i), Services: []directory.Capacity{{Service: "booking", Slots: 3, Free: 3, BackendServers: 1}}})
	}
	count := func(at time.Time, exclude map[netip.AddrPort]bool) (missed, other int) {
		for i := range uint64(50) {
			switch a, ok := d.Pick(at, directory.Choice{Service: "booking", Exclude: exclude, Random: i * 2654435761}); {
			case ok && a == address(0):
				missed++
			case ok:
				other++
			}
		}
		return missed, other
	}
	d.MarkUnreachable(now, address(0))
	d.MarkUnreachable(now, address(9))
	tests := []struct {
		desc          string
		after         time.Duration
		exclude       map[netip.AddrPort]bool
		missed, other bool
	}{
		{"at once", 0, nil, false, true},
		{"the other was tried", 0, map[netip.AddrPort]bool{address(1): true}, true, false},
		{"later", time.Second, nil, true, true},
	}
	for _, tt := range tests {
		if missed, other := count(now.Add(tt.after), tt.exclude); (missed > 0) != tt.missed || (other > 0) != tt.other {
			t.Errorf("%s: got %d requests to the unreachable owner and %d to the other", tt.desc, missed, other)
		}
	}
}
