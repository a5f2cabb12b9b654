package lease

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
)

// TestBook_Heartbeat sends the announcements of one backend server late,
// crossed, repeated and not at all, and checks against the newest heard that
// none is eligible for longer than TTL after its last heartbeat, nor after it
// was heard to drain, and that the effects tell the same story.
func TestBook_Heartbeat(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:8000")
	rapid.Check(t, func(t *rapid.T) {
		var b Book
		now := time.Unix(1_800_000_000, 0)
		made := []Announcement{{BackendServer: address, Service: "orders", Slots: 3, State: Ready, Incarnation: 1, Sequence: 1}}
		var newest Announcement
		var heard time.Time
		released, held := false, false
		follow := func(effects []Effect) {
			for _, e := range effects {
				switch e := e.(type) {
				case Added:
					if held || e.Entry.Announcement != newest {
						t.Fatalf("got %+v, want the newest, %+v, and it once", e, newest)
					}
					held = true
				case Changed:
					if !held || e.Entry.Announcement != newest {
						t.Fatalf("got %+v, want the newest, %+v, of a lease", e, newest)
					}
				case Expired:
					if !held {
						t.Fatalf("got %+v without a lease", e)
					}
					held = false
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			pause := rapid.SampledFrom([]time.Duration{0, 0, time.Second, TTL - 1, TTL, 20 * time.Second}).Draw(t, "pause")
			now = now.Add(pause)
			switch rapid.SampledFrom([]int{0, 0, 1, 1, 1, 2, 3, 4}).Draw(t, "act") {
			case 0: // The backend server says something new.
				a := made[len(made)-1]
				a.Sequence++
				a.State = rapid.SampledFrom([]State{Starting, Ready, Ready, Draining}).Draw(t, "state")
				a.Slots = rapid.IntRange(1, 2).Draw(t, "slots")
				if rapid.SampledFrom([]bool{false, false, true}).Draw(t, "restart") {
					a.Incarnation, a.Sequence = a.Incarnation+1, 1
				}
				made = append(made, a)
			case 1: // One of the latest announcements arrives, perhaps again.
				a := made[max(0, len(made)-1-rapid.IntRange(0, 3).Draw(t, "late"))]
				again := a.Incarnation == newest.Incarnation && a.Sequence == newest.Sequence
				if a.Incarnation > newest.Incarnation || a.Incarnation == newest.Incarnation && a.Sequence > newest.Sequence || again && released {
					newest, heard, released = a, now, false
				}
				follow(b.Heartbeat(now, a))
			case 2:
				follow(b.Expire(now))
				if held != (now.Sub(heard) < TTL && !released && !heard.IsZero()) {
					t.Fatalf("got a lease %v, %v after the last heartbeat", held, now.Sub(heard))
				}
			case 3:
				follow(b.Remove(address))
				released = !heard.IsZero()
			}
			want := newest.State == Ready && !heard.IsZero() && now.Sub(heard) < TTL && !released
			got := b.Eligible(now, "orders")
			if (len(got) == 1) != want || len(got) > 1 || want && got[0].Announcement != newest {
				t.Fatalf("got %+v eligible %v after the last heartbeat %+v, want %v", got, now.Sub(heard), newest, want)
			}
		}
	})
}

func TestBook_Eligible(t *testing.T) {
	var b Book
	now := time.Unix(1_800_000_000, 0)
	for _, a := range []Announcement{
		{BackendServer: netip.MustParseAddrPort("10.0.0.3:1"), Service: "orders", State: Ready, Sequence: 1},
		{BackendServer: netip.MustParseAddrPort("10.0.0.1:1"), Service: "orders", State: Ready, Sequence: 1},
		{BackendServer: netip.MustParseAddrPort("10.0.0.2:1"), Service: "stock", State: Ready, Sequence: 1},
		{BackendServer: netip.MustParseAddrPort("10.0.0.4:1"), Service: "orders", State: Starting, Sequence: 1},
	} {
		b.Heartbeat(now, a)
	}
	got := b.Eligible(now, "orders")
	if len(got) != 2 || got[0].BackendServer.String() != "10.0.0.1:1" || got[1].BackendServer.String() != "10.0.0.3:1" {
		t.Errorf("got %+v, want the two of the service that are ready, by address", got)
	}
	if got := b.Entries(); len(got) != 4 {
		t.Errorf("got %d entries, want 4", len(got))
	}
}
