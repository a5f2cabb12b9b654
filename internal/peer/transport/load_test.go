package transport_test

import (
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/check/odd"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/transport"
)

// TestLoadFromProto guards against a part of a load that entries do not hear of.
func TestLoadFromProto(t *testing.T) {
	tests := []scheduler.Load{
		{},
		{Running: 2, Waiting: 3, Slots: 4, FailureProbability: 0.5, Serving: true, MeanSlotTime: time.Second, Idle: 2 * time.Second, TrialDue: true},
		{LimitInterval: 250 * time.Millisecond, LimitDelay: time.Second},
		{LimitInterval: 250 * time.Millisecond, LimitDelay: -time.Second},
		{WorkKnown: true},
		{WorkKnown: true, Work: 4 * time.Second, SlotDelay: 300 * time.Millisecond},
	}
	for _, want := range tests {
		if got, err := transport.LoadFromProto(transport.LoadToProto(want)); got != want || err != nil {
			t.Errorf("got %+v and %v, want %+v", got, err, want)
		}
	}
}

// TestLoadFromProto_odd guards against loads that attract all requests: a cost that is not a
// number or negative is less than all others.
func TestLoadFromProto_odd(t *testing.T) {
	var tests []*peerpb.Load
	for _, f := range odd.Floats() {
		tests = append(tests, &peerpb.Load{Failing: float32(f)})
	}
	for _, n := range odd.Integers() {
		if n != math.MaxInt32+1 {
			tests = append(tests, &peerpb.Load{HoldNanos: n})
		}
		if n == int64(int32(n)) {
			tests = append(tests, &peerpb.Load{Running: int32(n)}, &peerpb.Load{Waiting: int32(n)}, &peerpb.Load{Slots: int32(n)})
		}
	}
	tests = append(tests,
		&peerpb.Load{Slots: math.MaxInt32}, &peerpb.Load{Running: math.MaxInt32}, &peerpb.Load{UnusedMillis: math.MaxUint32},
		&peerpb.Load{WorkMillis: proto.Uint32(math.MaxUint32)}, &peerpb.Load{WorkMillis: proto.Uint32(0), SlotDelayMillis: math.MaxUint32},
		&peerpb.Load{LimitIntervalMillis: math.MaxUint32}, &peerpb.Load{LimitDelayMillis: math.MaxInt32}, &peerpb.Load{LimitDelayMillis: math.MinInt32},
	)
	for _, l := range tests {
		l.Serving = true
		if got, err := transport.LoadFromProto(l); err == nil || got != (scheduler.Load{}) {
			t.Errorf("%v: got %+v and %v, want an error", l, got, err)
		}
	}
}

// TestLoadFromProto_withoutWork guards against taking the load of an older release, which reports no work,
// for that of a backend server with no work left.
func TestLoadFromProto_withoutWork(t *testing.T) {
	got, err := transport.LoadFromProto(&peerpb.Load{Running: 8, Slots: 8, Serving: true, SlotDelayMillis: 5})
	if want := (scheduler.Load{Running: 8, Slots: 8, Serving: true}); got != want || err != nil {
		t.Errorf("got %+v and %v, want %+v", got, err, want)
	}
}

func FuzzLoadFromProto(f *testing.F) {
	good, _ := proto.Marshal(transport.LoadToProto(scheduler.Load{Running: 2, Slots: 4, FailureProbability: 0.5, Serving: true, MeanSlotTime: time.Second}))
	f.Add(good)
	f.Add([]byte("\x25\x00\x00\xc0\x7f"))
	f.Fuzz(func(t *testing.T, b []byte) {
		m := new(peerpb.Load)
		if proto.Unmarshal(b, m) != nil {
			return
		}
		l, err := transport.LoadFromProto(m)
		if p := l.FailureProbability; err == nil && (!(p >= 0 && p <= 1) || l.Slots < 0 || l.Running < 0 || l.Waiting < 0 || l.MeanSlotTime < 0) {
			t.Errorf("got %+v of %v", l, m)
		}
	})
}
