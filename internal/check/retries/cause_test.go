package retries

import (
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/request/retrylimit"
)

// afterTheFact counts calls of retries after they were made, and refuses none of them, as releases did
// that send no costs: a call belongs to a retry with the fraction of retries among the running requests.
type afterTheFact struct {
	exact  bool // It is known which calls belong to retries. Nodes do not know it.
	shares map[shareKey]*retrylimit.Limiter
	pools  map[string]*retrylimit.Limiter
}

type shareKey struct {
	node    int
	service string
}

func newAfterTheFact(exact bool) *afterTheFact {
	return &afterTheFact{exact: exact, shares: make(map[shareKey]*retrylimit.Limiter), pools: map[string]*retrylimit.Limiter{first: {}, second: {}}}
}

func (b *afterTheFact) share(n *node, service string) *retrylimit.Limiter {
	k := shareKey{n.index, service}
	if b.shares[k] == nil {
		b.shares[k] = new(retrylimit.Limiter)
	}
	return b.shares[k]
}

func (b *afterTheFact) firstAttempt(f *fleet, r *request, caller *node) {
	probability := 0.0
	if caller != nil {
		probability = float64(caller.retries) / float64(max(caller.running, 1))
		if b.exact {
			probability = 0
			if r.ofRetry {
				probability = 1
			}
		}
	}
	b.share(r.entry, r.route.service).RecordFirstAttempt(f.now, f.limits(r.entry), probability)
}

func (b *afterTheFact) unused(*fleet, *node, string, float64) {}

func (b *afterTheFact) allow(f *fleet, r *request) bool {
	l := f.limits(r.entry)
	if _, ok := b.share(r.entry, r.route.service).AllowRetry(f.now, l, 1); ok {
		return true
	}
	_, ok := b.pools[r.route.service].AllowRetry(f.now, l.ForPool(time.Minute), 1)
	return ok
}

// fullUse is a trouble in which the budget of the second service is in full use: look-ups hang, so that
// they are hedged, and the second service sheds.
func fullUse(hang float64) trouble {
	return trouble{hang: map[string]float64{lookUp.name: hang}, shed: map[string]float64{second: 0.45}}
}

// TestFleet_countedAfterTheFact shows why the calls of retries broke the rule of the service that they call
// when they were counted after they were made. It plays the load with what nodes know, and with knowledge
// of which calls belong to retries, which tells the two causes apart.
func TestFleet_countedAfterTheFact(t *testing.T) {
	const seeds = 2
	for _, hang := range []float64{0.05, 0.1} {
		var over [2]float64
		for i, exact := range []bool{false, true} {
			for seed := range uint64(seeds) {
				f := newFleet(firstWorkload(seed, fullUse(hang)), newAfterTheFact(exact))
				f.play()
				over[i] += f.excess(second) / seeds
			}
		}
		t.Logf("%g of look-ups hang: %.0f arrivals more than allowed in the worst window, mean of %d plays; %.0f if it were known which calls belong to retries",
			hang, over[0], seeds, over[1])
		if hang > 0.05 && (over[0] <= 0 || over[1] <= 0 || over[1] >= over[0]) {
			t.Errorf("%g of look-ups hang: got %.0f and %.0f, want two causes that each exceed the rule", hang, over[0], over[1])
		}
	}
}
