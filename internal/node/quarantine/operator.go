package quarantine

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"filbertturn.example/filbertturn/internal/health/blame"
	"filbertturn.example/filbertturn/internal/request/fingerprint"
)

// Path is the URL path of the list.
const Path = "/quarantine"

// Entry is a suspected or quarantined request as operators see it.
type Entry struct {
	Fingerprint string
	Verdict     string
	Until       time.Time // When the verdict expires.
	Crashes     []Crash
}

// Crash is one crash that counts against a request.
type Crash struct {
	At      time.Time
	Service string
	Node    netip.AddrPort // The one beside the backend server.
	Share   float64        // Part of the blame, from 0 to 1.
}

// Handler returns the HTTP handler for operators: GET lists the requests that are suspected or quarantined, and
// DELETE of a fingerprint below it withdraws what is held against a request, at all nodes.
func (g *Guard) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// An error means that the operator closed the connection.
		_ = json.NewEncoder(w).Encode(entries(g.Cases()))
	})
	mux.HandleFunc("DELETE "+Path+"/{fingerprint}", func(w http.ResponseWriter, r *http.Request) {
		f, ok := fingerprint.Parse(r.PathValue("fingerprint"))
		switch {
		case !ok:
			http.Error(w, "not a fingerprint", http.StatusBadRequest)
		case !g.Withdraw(f):
			http.Error(w, "nothing is held against this request", http.StatusNotFound)
		}
	})
	return mux
}

func entries(cases []blame.Case) []Entry {
	list := make([]Entry, 0, len(cases))
	for _, c := range cases {
		e := Entry{Fingerprint: c.Fingerprint.String(), Verdict: c.Verdict.String(), Until: c.Until, Crashes: []Crash{}}
		for _, event := range c.Events {
			if !event.Withdrawn {
				e.Crashes = append(e.Crashes, Crash{event.At, event.Service, event.Node, event.Share})
			}
		}
		list = append(list, e)
	}
	return list
}
