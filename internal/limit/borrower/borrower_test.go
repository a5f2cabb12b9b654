package borrower

import (
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/limit/loan"
)

func TestBorrower_HandleGrant(t *testing.T) {
	tests := []struct {
		desc     string
		answered time.Duration // Time from the ask to its grant.
		failed   bool          // HandleFailure was called before the grant came.
		sequence uint64        // Difference of the grant's sequence from the ask's.
		other    bool          // The grant comes from another home.
		used     time.Duration // Time from the ask to the next call of Take.
		want     bool          // The next call of Take admits.
	}{
		{desc: "in time", answered: time.Millisecond, used: 499 * time.Millisecond, want: true},
		{desc: "lifetime counts from the ask", answered: 400 * time.Millisecond, used: 500 * time.Millisecond},
		{desc: "after the lifetime", answered: 600 * time.Millisecond, used: 600 * time.Millisecond},
		{desc: "after the caller gave up", answered: time.Millisecond, failed: true, used: time.Millisecond},
		{desc: "to another ask", answered: time.Millisecond, sequence: 1, used: time.Millisecond},
		{desc: "from another home", answered: time.Millisecond, other: true, used: time.Millisecond},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			f := newFleet(3, 3, benchmarkLimit)
			n, homes := f.nodes[0], f.heads[0].homes
			d := n.Take(start, customer, 1, homes).(NeedLoan)
			if tc.failed {
				n.HandleFailure(start, d.Home, d.Ask)
			}
			from := d.Home
			if tc.other {
				from = homes[1]
			}
			n.HandleGrant(start.Add(tc.answered), from, d.Ask, loan.Grant{Sequence: d.Ask.Sequence + tc.sequence, Tokens: 1, Lifetime: loan.DefaultLifetime})
			_, got := n.Take(start.Add(tc.used), customer, 1, homes).(Admitted)
			if got != tc.want {
				t.Errorf("got admitted %v, want %v", got, tc.want)
			}
		})
	}
}

func TestBorrower_HandleGrant_repeated(t *testing.T) {
	f := newFleet(3, 3, benchmarkLimit)
	n, homes := f.nodes[0], f.heads[0].homes
	d := n.Take(start, customer, 1, homes).(NeedLoan)
	for range 2 {
		n.HandleGrant(start, d.Home, d.Ask, loan.Grant{Sequence: d.Ask.Sequence, Tokens: 1, Lifetime: loan.DefaultLifetime})
	}
	admitted := 0
	for range 2 {
		if _, ok := n.Take(start, customer, 1, homes).(Admitted); ok {
			admitted++
		}
	}
	if admitted != 1 {
		t.Errorf("got %d requests admitted with a token granted twice, want 1", admitted)
	}
}

// TestPadForDrift guards against a loan that is still used after it has expired at
// the home: here the home has the fastest clock allowed and the borrower the
// slowest.
func TestPadForDrift(t *testing.T) {
	borrower := loan.DefaultLifetime.Seconds() / 0.98
	home := loan.PadForDrift(loan.DefaultLifetime).Seconds() / 1.02
	if home < borrower {
		t.Errorf("got a loan ended at the home after %v s of true time, want it after the borrower's %v s", home, borrower)
	}
}
