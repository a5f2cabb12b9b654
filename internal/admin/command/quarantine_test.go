package command

import (
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/health/blame"
	"filbertturn.example/filbertturn/internal/node/quarantine"
	"filbertturn.example/filbertturn/internal/request/fingerprint"
)

// TestQuarantine lists and withdraws what a node holds against a request.
func TestQuarantine(t *testing.T) {
	g := &quarantine.Guard{
		Self: netip.MustParseAddrPort("10.0.0.1:80"), Log: zerolog.Nop(),
		Homes: func() []netip.AddrPort { return nil }, Nodes: func() map[string][]netip.AddrPort { return nil },
	}
	f := fingerprint.Fingerprint{7}
	g.ReportCrash(t.Context(), time.Now(), "bookings", []blame.Request{{Fingerprint: f}})
	server := httptest.NewServer(g.Handler())
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	tests := []struct {
		args     []string
		wantCode int
		want     string
	}{
		{[]string{"list"}, ExitUsage, ""},
		{[]string{"list", "--metrics", address}, ExitOK, "bookings beside 10.0.0.1:80"},
		{[]string{"list", "--metrics", address, "--json"}, ExitOK, `"Verdict":"Suspected"`},
		{[]string{"withdraw", "xy", "--metrics", address}, ExitUsage, ""},
		{[]string{"withdraw", fingerprint.Fingerprint{8}.String(), "--metrics", address}, ExitUnreachable, ""},
		{[]string{"withdraw", f.String(), "--metrics", address}, ExitOK, ""},
		{[]string{"list", "--metrics", address, "--json"}, ExitOK, "[]"},
	}
	for _, tt := range tests {
		var out, errs strings.Builder
		code := Run(append([]string{"quarantine"}, tt.args...), &out, &errs)
		if code != tt.wantCode || !strings.Contains(out.String(), tt.want) {
			t.Errorf("%v: got code %d, %q and %q, want %d and %q", tt.args, code, out.String(), errs.String(), tt.wantCode, tt.want)
		}
	}
}
