package main

import (
	"errors"
	"net/http"
	"sync"
	"time"
)

// Figures of the case about a planned stop.
const (
	callee       = "suivi"                 // Service that the backend server beside the stopping node calls.
	longTime     = 6500 * time.Millisecond // Run that makes the calls. It begins longBefore the stop.
	longBefore   = time.Second
	callTime     = 1500 * time.Millisecond // Run of a call.
	firstCall    = 3200 * time.Millisecond // After SIGTERM.
	callGap      = 100 * time.Millisecond
	countedCalls = 3 * time.Second // Calls count that are sent later than this after SIGTERM.
)

// call is a call with the time after SIGTERM at which it was sent.
type call struct {
	sent
	after time.Duration
}

// runLost stops a node in a planned way while the backend server beside it runs a request that makes calls through the node. It
// checks that no call is cut off that was sent later than 3 s after SIGTERM and passed on to a backend server.
func runLost(f *fleet, trouble bool) (bool, error) {
	err := f.publish([]tenant{{"town", []string{"town-key-1"}, 0, 0}}, []route{
		{"front", "/front/", "idempotent", service, 10, 8, 1, 1, false}, {"call", "/call/", "idempotent", callee, 4, 1, 2, 1, true},
	})
	if err != nil {
		return false, err
	}
	ran := &arrivals{fleet: f}
	for _, name := range []string{service, callee, callee} {
		n, err := f.add(name)
		if err != nil {
			return false, err
		}
		if _, err := n.addServer(serverSettings{Slots: 32, Work: callTime, LongWork: longTime}, ran.add); err != nil {
			return false, err
		}
	}
	if err := f.awaitCalls(); err != nil {
		return false, err
	}
	var sending sync.WaitGroup
	sending.Go(func() {
		f.noteSent(send(f.nodes[1].address(portOutbound), http.MethodGet, "/front/long", "town-key-1", 9*time.Second))
	})
	time.Sleep(longBefore)
	if trouble {
		f.nodes[0].terminate()
	}
	calls := f.sendCalls(time.Now())
	sending.Wait()
	passed := make(map[string]bool)
	for _, r := range ran.all() {
		passed[r.ID] = true
	}
	cut, answered := 0, 0
	for _, c := range calls {
		switch {
		case c.Err == nil && c.Status == http.StatusOK:
			answered++
		case c.Err != nil && passed[c.ID] && c.after > countedCalls:
			cut++
			f.note("call %s was sent %s after SIGTERM, passed on to a backend server and cut off: %s", c.ID, c.after.Round(time.Millisecond), c.Err)
		}
	}
	f.note("%d calls of %d were answered, %d were passed on and cut off", answered, len(calls), cut)
	if !trouble && answered < len(calls) {
		return false, errors.New("calls fail without the stop")
	}
	return cut > 0, nil
}

// awaitCalls waits until all nodes are ready and both services serve.
func (f *fleet) awaitCalls() error {
	if err := f.awaitReady(); err != nil {
		return err
	}
	for _, path := range []string{"/front/a", "/call/a"} {
		for deadline := time.Now().Add(15 * time.Second); ; {
			if send(f.nodes[0].address(portOutbound), http.MethodGet, path, "town-key-1", 4*time.Second).Status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return errors.New("a service does not serve within 15 s")
			}
		}
	}
	time.Sleep(4 * time.Second) // All machines are in touch, and all backend servers confirmed.
	return nil
}

// sendCalls sends calls through the first node, each on a new connection, until its grace period is over.
func (f *fleet) sendCalls(stopped time.Time) []call {
	var sending sync.WaitGroup
	var mu sync.Mutex
	var calls []call
	for after := firstCall; after < graceTime; after += callGap {
		sending.Go(func() {
			c := client{to: f.nodes[0].address(portOutbound)}
			defer c.close()
			time.Sleep(time.Until(stopped.Add(after)))
			began := time.Now()
			s := c.send(http.MethodGet, "/call/a", "", 4*time.Second)
			f.noteSent(s)
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, call{s, began.Sub(stopped)})
		})
	}
	sending.Wait()
	return calls
}
