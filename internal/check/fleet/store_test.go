package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/admin/message"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/standin/cluster"
)

// TestStore_unavailable makes the store unavailable and restarts a node meanwhile.
// Requests must be served as before; only publishing must fail.
func TestStore_unavailable(t *testing.T) {
	f := startFleet(t)
	ctx := context.Background()
	if err := cluster.SetStoreOutage(ctx, f.Store(), true); err != nil {
		t.Fatal(err)
	}
	stop := f.load(50, http.MethodGet, roundRobinNode)
	time.Sleep(6 * time.Second)
	for _, r := range stop() {
		if r.status != http.StatusOK {
			t.Errorf("got %+v while the store is unavailable", r)
		}
	}
	if _, err := f.publish(0, func(s *set.Set) { s.Keys = nil }); err == nil {
		t.Error("got a publish while the store is unavailable")
	}
	f.Node(2).Kill()
	if err := f.Restart(2); err != nil {
		t.Fatal(err)
	}
	f.awaitCurrent(2)
	if r := f.send(2, http.MethodGet); r.status != http.StatusOK {
		t.Errorf("got %+v at the replaced node while the store is unavailable", r)
	}
	if err := cluster.SetStoreOutage(ctx, f.Store(), false); err != nil {
		t.Fatal(err)
	}
	for started := time.Now(); ; time.Sleep(100 * time.Millisecond) {
		done, err := f.publish(0, func(s *set.Set) { s.Keys = nil })
		if err == nil && done.InForce {
			break
		}
		if time.Since(started) > 15*time.Second {
			t.Fatalf("got %+v, %v after the store returned", done, err)
		}
	}
	if r := f.send(2, http.MethodGet); r.status != http.StatusUnauthorized {
		t.Errorf("got %+v with a withdrawn key", r)
	}
}

// TestStore_restored restores the store to the state before a key was withdrawn. No
// node may return to the old configuration, and an operator can reinstate the newer
// one in the store.
func TestStore_restored(t *testing.T) {
	f := startFleet(t)
	earlier := f.control(`{}`)
	if done, err := f.publish(0, func(s *set.Set) { s.Keys = nil }); err != nil || !done.InForce {
		t.Fatalf("got %+v, %v", done, err)
	}
	f.control(fmt.Sprintf(`{"Restore":%d}`, earlier))
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for i := range nodes {
			if r := f.send(i, http.MethodGet); r.status == http.StatusOK {
				t.Fatalf("got %+v after the store was restored", r)
			}
		}
	}
	if done, err := f.publish(1, func(s *set.Set) { s.Limits[0].Rate++ }); err == nil {
		t.Errorf("got %+v published on a store that is older than the fleet", done)
	}
	if err := f.Admin(1).Reinstate(context.Background()); err != nil {
		t.Fatal(err)
	}
	done, err := f.publish(1, func(s *set.Set) { s.Limits[0].Rate++ })
	if err != nil || !done.InForce || done.Revision != 3 {
		t.Errorf("got %+v, %v after the reinstatement, want revision 3 in force", done, err)
	}
}

// TestConfig_raced publishes two sets from the same base revision. One must succeed and
// the other must fail with a conflict that lists the changes.
func TestConfig_raced(t *testing.T) {
	f := startFleet(t)
	errs := make(chan error, 2)
	for i := range 2 {
		go func() {
			_, err := f.publish(i, func(s *set.Set) { s.Limits[0].Rate += float64(i + 1) })
			errs <- err
		}()
	}
	first, second := <-errs, <-errs
	if first != nil {
		first, second = second, first
	}
	var refused *message.Error
	if first != nil || !errors.As(second, &refused) || refused.Code != message.Conflict || len(refused.Changes) != 1 {
		t.Errorf("got %v and %v, want one publish and one conflict that lists the change", first, second)
	}
}

// TestFleet_restarted kills all nodes and restarts them while the store is unavailable.
// They must refuse requests with 503 and serve them once the store is available again.
func TestFleet_restarted(t *testing.T) {
	f := startFleet(t)
	f.control(`{"Outage":true}`)
	for i := range nodes {
		f.Node(i).Kill()
	}
	for i := range nodes {
		if err := f.Restart(i); err != nil {
			t.Fatal(err)
		}
	}
	refused := 0
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for i := range nodes {
			r := f.send(i, http.MethodGet)
			if r.status == http.StatusOK {
				t.Fatalf("got %+v without any proof of the configuration", r)
			}
			if r.status == http.StatusServiceUnavailable && r.outcome == "NotRun" {
				refused++
			}
		}
	}
	if refused == 0 {
		t.Error("got no response with status 503 and outcome NotRun")
	}
	f.control(`{"Outage":false}`)
	for i := range nodes {
		f.awaitCurrent(i)
	}
	for started := time.Now(); f.send(0, http.MethodGet).status != http.StatusOK; time.Sleep(100 * time.Millisecond) {
		if time.Since(started) > 15*time.Second {
			t.Fatalf("got %+v long after the store returned", f.send(0, http.MethodGet))
		}
	}
}

// TestMembers_ended kills two of three nodes without restarting them. Changes must wait
// for them until an operator asserts that they have ended.
func TestMembers_ended(t *testing.T) {
	f := startFleet(t)
	ctx := context.Background()
	s, err := f.Admin(0).Status(ctx)
	if err != nil {
		t.Fatal(err)
	}
	f.Node(1).Kill()
	f.Node(2).Kill()
	done, err := f.publish(0, func(s *set.Set) { s.Limits[0].Rate++ })
	if err != nil || done.InForce {
		t.Fatalf("got %+v, %v, want a publish that is stored and not in force", done, err)
	}
	var e message.Ended
	for _, m := range s.Roster {
		if m != s.Member {
			e.Members = append(e.Members, m)
		}
	}
	if done, err = f.Admin(0).Ended(ctx, e); err != nil || !done.InForce {
		t.Fatalf("got %+v, %v after the members were asserted to have ended", done, err)
	}
	if done, err = f.publish(0, func(s *set.Set) { s.Keys = nil }); err != nil || !done.InForce {
		t.Errorf("got %+v, %v, want a publish in force", done, err)
	}
	records, err := f.Admin(0).Audit(ctx, 2)
	if err != nil || len(records) != 2 || len(records[1].Changes) != 2 || records[1].Changes[0].Kind != "Member" {
		t.Errorf("got the audit trail %+v, %v, want the member removal", records, err)
	}
}
