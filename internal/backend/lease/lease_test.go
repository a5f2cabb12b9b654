package lease

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
)

// TestTable_Heartbeat delays, reorders, repeats and drops the announcements of one
// backend server. It checks against the newest one received that the backend server is
// not eligible for longer than TTL after the last heartbeat nor while it drains, and that
// the effects are consistent with the lease.
func TestTable_Heartbeat(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:8000")
	rapid.Check(t, func(t *rapid.T) {
		var table Table
		now := time.Unix(1_800_000_000, 0)
		announced := []Announcement{{BackendServer: address, Service: "orders", Slots: 3, State: Ready, Incarnation: 1, Sequence: 1}}
		var newest Announcement
		var lastHeartbeat time.Time
		released, active := false, false
		apply := func(effects []Effect) {
			for _, e := range effects {
				switch e := e.(type) {
				case Added:
					if active || e.Entry.Announcement != newest {
						t.Fatalf("got %+v, want a single Added with the newest announcement, %+v", e, newest)
					}
					active = true
				case Changed:
					if !active || e.Entry.Announcement != newest {
						t.Fatalf("got %+v, want it for an existing lease with the newest announcement, %+v", e, newest)
					}
				case Expired:
					if !active {
						t.Fatalf("got %+v without a lease", e)
					}
					active = false
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			pause := rapid.SampledFrom([]time.Duration{0, 0, time.Second, TTL - 1, TTL, 20 * time.Second}).Draw(t, "pause")
			now = now.Add(pause)
			switch rapid.SampledFrom([]int{0, 0, 1, 1, 1, 2, 3, 4}).Draw(t, "act") {
			case 0: // The backend server makes a new announcement.
				a := announced[len(announced)-1]
				a.Sequence++
				a.State = rapid.SampledFrom([]State{Starting, Ready, Ready, Draining}).Draw(t, "state")
				a.Slots = rapid.IntRange(1, 2).Draw(t, "slots")
				if rapid.SampledFrom([]bool{false, false, true}).Draw(t, "restart") {
					a.Incarnation, a.Sequence = a.Incarnation+1, 1
				}
				announced = append(announced, a)
			case 1: // One of the latest announcements arrives, possibly a second time.
				a := announced[max(0, len(announced)-1-rapid.IntRange(0, 3).Draw(t, "late"))]
				again := a.Incarnation == newest.Incarnation && a.Sequence == newest.Sequence
				if a.Incarnation > newest.Incarnation || a.Incarnation == newest.Incarnation && a.Sequence > newest.Sequence || again && released {
					newest, lastHeartbeat, released = a, now, false
				}
				apply(table.Heartbeat(now, a))
			case 2:
				apply(table.Expire(now))
				if active != (now.Sub(lastHeartbeat) < TTL && !released && !lastHeartbeat.IsZero()) {
					t.Fatalf("got a lease %v, %v after the last heartbeat", active, now.Sub(lastHeartbeat))
				}
			case 3:
				apply(table.Remove(address))
				released = !lastHeartbeat.IsZero()
			}
			want := newest.State == Ready && !lastHeartbeat.IsZero() && now.Sub(lastHeartbeat) < TTL && !released
			got := table.Eligible(now, "orders")
			if (len(got) == 1) != want || len(got) > 1 || want && got[0].Announcement != newest {
				t.Fatalf("got %+v eligible %v after the last heartbeat %+v, want %v", got, now.Sub(lastHeartbeat), newest, want)
			}
		}
	})
}

func TestTable_Eligible(t *testing.T) {
	var table Table
	now := time.Unix(1_800_000_000, 0)
	for _, a := range []Announcement{
		{BackendServer: netip.MustParseAddrPort("10.0.0.3:1"), Service: "orders", State: Ready, Sequence: 1},
		{BackendServer: netip.MustParseAddrPort("10.0.0.1:1"), Service: "orders", State: Ready, Sequence: 1},
		{BackendServer: netip.MustParseAddrPort("10.0.0.2:1"), Service: "stock", State: Ready, Sequence: 1},
		{BackendServer: netip.MustParseAddrPort("10.0.0.4:1"), Service: "orders", State: Starting, Sequence: 1},
	} {
		table.Heartbeat(now, a)
	}
	got := table.Eligible(now, "orders")
	if len(got) != 2 || got[0].BackendServer.String() != "10.0.0.1:1" || got[1].BackendServer.String() != "10.0.0.3:1" {
		t.Errorf("got %+v, want the two ready backend servers of the service, sorted by address", got)
	}
	if got := table.Entries(); len(got) != 4 {
		t.Errorf("got %d entries, want 4", len(got))
	}
}
