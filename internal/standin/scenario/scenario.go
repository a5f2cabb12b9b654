// Package scenario holds the situations in which policies are compared.
package scenario

import (
	"fmt"
	"time"

	"filbertturn.example/filbertturn/internal/standin/arrival"
	"filbertturn.example/filbertturn/internal/standin/fault"
	"filbertturn.example/filbertturn/internal/standin/load"
)

// BackendServers is the size of the pool.
const BackendServers = 12

// Deployment is a site with its sizes.
type Deployment struct {
	Name  string
	Slots int // Of each backend server.
}

// Deployments are the sites that are measured.
var Deployments = []Deployment{{"sfax", 3}, {"smoky-ridge", 5}}

// Times of a run.
const (
	FaultAt       = 3 * time.Second  // When the fault or the event begins.
	Length        = 11 * time.Second // Time during which requests arrive.
	LongLength    = 15 * time.Second // The same where a node is away for a while.
	FreezeTime    = 5 * time.Second
	FlapPeriod    = 2 * time.Second
	ColdStart     = 4 * time.Second
	Timeout       = time.Second
	usualLatency  = 25 * time.Millisecond  // Median time to run a request.
	lightLatency  = time.Millisecond       // The same where the latency of the path itself is looked at.
	heavyLatency  = 100 * time.Millisecond // The same where capacity is to be scarce.
	inTimeFactor  = 8                      // An answer within this many medians is in time.
	leastInTime   = 100 * time.Millisecond
	lightScale    = 10 // Requests for one in the other scenarios.
	referenceSlot = 3  // Slots for which the rates are given; they grow with the slots.
)

// Event is something that happens besides a fault of backend servers.
type Event int

// The events.
const (
	None      Event = iota
	Cut             // One backend server hears the last node no longer.
	Freeze          // The last node stands still for FreezeTime.
	StoreAway       // The store is away from before the first request on.
	Late            // Half of the pool starts at FaultAt, cold.
)

// Scenario is one situation. Its rates hold for a pool of BackendServers.
type Scenario struct {
	Name    string
	Fault   fault.Setting
	Faulty  int  // Backend servers that get the fault.
	Blame   bool // They are at fault; otherwise nobody is.
	Detect  bool // The time until they are out of service is measured.
	Event   Event
	Routing load.Routing
	Light   bool // Requests take little time and are many.
	Heavy   bool // Requests take longer, so that capacity is scarce.
	Surge   bool // The first customer sends ten times its limit.
	Length  time.Duration
}

// All are the scenarios in the order of the table.
func All() []Scenario {
	slow, share := fault.Setting{Mode: fault.Slow, Factor: 10}, 0.3
	all := []Scenario{
		{Name: "steady"},
		{Name: "steady, 1 ms answers", Light: true},
		{Name: "one 10x slow", Fault: slow, Faulty: 1, Blame: true, Detect: true},
		{Name: "one 30% errors", Fault: fault.Setting{Mode: fault.Error, Share: share}, Faulty: 1, Blame: true, Detect: true},
		{Name: "one wrong with 200", Fault: fault.Setting{Mode: fault.Wrong}, Faulty: 1, Blame: true, Detect: true},
		{Name: "one hangs", Fault: fault.Setting{Mode: fault.Hang}, Faulty: 1, Blame: true, Detect: true},
		{Name: "one flaps", Fault: fault.Setting{Mode: fault.Flap, Period: fault.Duration(FlapPeriod)}, Faulty: 1, Blame: true, Length: LongLength},
		{Name: "one-way cut", Event: Cut},
		{Name: "whole pool 4x slow", Fault: fault.Setting{Mode: fault.Slow, Factor: 4}, Faulty: BackendServers},
		{Name: "half starts cold", Event: Late},
		{Name: "10x slow, load lies", Fault: fault.Setting{Mode: fault.Slow, Factor: 10, LoadLies: true, HealthLies: true}, Faulty: 1, Blame: true, Detect: true},
		{Name: "10x rate, one node", Heavy: true, Surge: true, Routing: load.Sticky},
		{Name: "10x rate, all nodes", Heavy: true, Surge: true},
		{Name: "callers on one node", Routing: load.Single},
		{Name: "load moves", Routing: load.Moving},
		{Name: "node frozen 5 s", Event: Freeze, Length: LongLength},
		{Name: "store away", Event: StoreAway},
	}
	for i := range all {
		if all[i].Routing == "" {
			all[i].Routing = load.Spread
		}
		if all[i].Length == 0 {
			all[i].Length = Length
		}
	}
	return all
}

// Latency returns the median time to run a request.
func (s Scenario) Latency() time.Duration {
	switch {
	case s.Light:
		return lightLatency
	case s.Heavy:
		return heavyLatency
	}
	return usualLatency
}

// InTime returns the time within which an answer is in time.
func (s Scenario) InTime() time.Duration { return max(leastInTime, inTimeFactor*s.Latency()) }

// Customers returns two large and six small customers. Together they send 30
// requests a second, or more where capacity is scarce or answers
// are quick.
func (s Scenario) Customers(d Deployment) []arrival.Customer {
	scale := 1.0
	if s.Light {
		scale = lightScale
	}
	if s.Heavy {
		scale = 2 * float64(d.Slots) / referenceSlot
	}
	var out []arrival.Customer
	for i := range 8 {
		c := arrival.Customer{Name: fmt.Sprintf("small-%d", i-1), Rate: 2 * scale, Limit: 6 * scale, Burst: int(10 * scale)}
		if i < 2 {
			c = arrival.Customer{Name: fmt.Sprintf("large-%d", i+1), Rate: 9 * scale, Limit: 20 * scale, Burst: int(20 * scale)}
		}
		c.Key = "secret-of-" + c.Name
		c.PostShare = 0.2
		if s.Surge && i == 0 {
			c.Surge = arrival.Surge{From: FaultAt, To: s.Length, Factor: 10 * c.Limit / c.Rate}
		}
		out = append(out, c)
	}
	return out
}
