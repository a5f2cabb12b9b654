package permit

import (
	"net/netip"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/health/report"
)

func TestTable_Weight(t *testing.T) {
	const s = time.Second
	addr := netip.MustParseAddrPort("10.0.0.1:80")
	start := time.Unix(1_800_000_000, 0)
	ejection := []report.Verdict{report.Ejection{Address: addr, Reason: report.Slow, Life: 2 * s}}
	probation := []report.Verdict{report.Probation{Address: addr, Weight: 0.2, Life: 2 * s}}
	type grant struct {
		asked, now time.Duration
		verdicts   []report.Verdict
	}
	tests := []struct {
		desc   string
		grants []grant
		at     time.Duration
		want   float64
	}{
		{"no permit", nil, 1 * s, 1},
		{"ejected", []grant{{1 * s, 1 * s, ejection}}, 2 * s, 0},
		{"expired", []grant{{1 * s, 1 * s, ejection}}, 3 * s, 1},
		{"late ruling expires as counted from the report", []grant{{1 * s, 2900 * time.Millisecond, ejection}}, 3 * s, 1},
		{"probation", []grant{{1 * s, 1 * s, probation}}, 2 * s, 0.2},
		{"revoked", []grant{{1 * s, 1 * s, ejection}, {2 * s, 2 * s, nil}}, 2 * s, 1},
		{"ruling after a newer one", []grant{{2 * s, 2 * s, nil}, {1 * s, 2 * s, ejection}}, 2 * s, 1},
		{"repeated ruling", []grant{{1 * s, 1 * s, ejection}, {1 * s, 4 * s, ejection}}, 4 * s, 1},
		{"report sent after now", []grant{{5 * s, 1 * s, ejection}}, 5 * s, 1},
		{"suspicion only", []grant{{1 * s, 1 * s, []report.Verdict{report.Suspicion{Address: addr}}}}, 1 * s, 1},
	}
	for _, tt := range tests {
		var b Table
		for _, g := range tt.grants {
			b.Apply(start.Add(g.asked), start.Add(g.now), report.Ruling{Verdicts: g.verdicts})
		}
		if got := b.Weight(start.Add(tt.at), addr); got != tt.want {
			t.Errorf("%s: got weight %v, want %v", tt.desc, got, tt.want)
		}
	}
}
