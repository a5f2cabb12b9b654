package tenure_test

import (
	"fmt"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/backend/tenure"
)

// step is an announcement, a deregistration or a health check that succeeded.
type step struct {
	kind     string
	instance string
	born     int64
	sequence int64
	state    tenure.State
}

func TestTenure_Serving(t *testing.T) {
	tests := []struct {
		desc  string
		steps []step
		want  string // Instance in service, or empty.
	}{
		{"first heartbeat alone", []step{{"beat", "a", 1, 1, tenure.Ready}}, ""},
		{"first heartbeat and a check", []step{{"beat", "a", 1, 1, tenure.Ready}, {"check", "a", 0, 0, 0}}, "a"},
		{"second heartbeat", []step{{"beat", "a", 1, 1, tenure.Ready}, {"beat", "a", 1, 2, tenure.Ready}}, "a"},
		{"repeated heartbeat", []step{{"beat", "a", 1, 1, tenure.Ready}, {"beat", "a", 1, 1, tenure.Ready}}, ""},
		{"drained", []step{{"beat", "a", 1, 1, tenure.Ready}, {"check", "a", 0, 0, 0}, {"beat", "a", 1, 2, tenure.Draining}}, ""},
		{
			"late heartbeat after draining",
			[]step{{"beat", "a", 1, 1, tenure.Ready}, {"beat", "a", 1, 3, tenure.Draining}, {"beat", "a", 1, 2, tenure.Ready}},
			"",
		},
		{
			"heartbeat after deregistration",
			[]step{{"beat", "a", 1, 1, tenure.Ready}, {"leave", "a", 1, 0, 0}, {"beat", "a", 1, 9, tenure.Ready}},
			"",
		},
		{"heartbeat after deregistration of an unknown one", []step{{"leave", "a", 1, 0, 0}, {"beat", "a", 1, 9, tenure.Ready}}, ""},
		{
			"born again under its identifier",
			[]step{{"beat", "a", 1, 7, tenure.Ready}, {"leave", "a", 1, 0, 0}, {"beat", "a", 2, 1, tenure.Ready}, {"beat", "a", 2, 2, tenure.Ready}},
			"a",
		},
		{
			"late deregistration of the earlier incarnation",
			[]step{{"beat", "a", 2, 1, tenure.Ready}, {"beat", "a", 2, 2, tenure.Ready}, {"leave", "a", 1, 0, 0}},
			"a",
		},
		{
			"late heartbeat of the predecessor",
			[]step{{"beat", "b", 2, 1, tenure.Ready}, {"beat", "b", 2, 2, tenure.Ready}, {"beat", "a", 1, 8, tenure.Ready}},
			"b",
		},
		{
			"successor",
			[]step{{"beat", "a", 1, 1, tenure.Ready}, {"check", "a", 0, 0, 0}, {"beat", "b", 2, 1, tenure.Ready}, {"check", "b", 0, 0, 0}},
			"b",
		},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			var n tenure.Tenure
			for _, s := range tt.steps {
				switch s.kind {
				case "beat":
					n.Announce(tenure.Announcement{Instance: s.instance, Born: time.UnixMilli(s.born), Sequence: s.sequence, State: s.state})
				case "check":
					n.Confirm(s.instance)
				case "leave":
					n.Deregister(s.instance, time.UnixMilli(s.born))
				}
			}
			got := ""
			if a, ok := n.Serving(); ok {
				got = a.Instance
			}
			if got != tt.want {
				t.Errorf("got %q in service, want %q", got, tt.want)
			}
		})
	}
}

func ExampleTenure() {
	var n tenure.Tenure
	n.Announce(tenure.Announcement{Instance: "i-1", Sequence: 1})
	n.Confirm("i-1")
	n.Deregister("i-1", time.Time{})
	_, serving := n.Serving()
	fmt.Println(serving)
	// Output: false
}
