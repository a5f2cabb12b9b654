package command

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"filbertturn.example/filbertturn/internal/request/kind"
)

const (
	// trusted is the likelihood of failure up to which nothing is held against a backend
	// server: twice that of a sound one whose requests have all been answered.
	trusted = 0.05

	// likely is the one from which a backend server is as likely to fail a request as
	// not.
	likely = 0.5
)

func newLosses() *cobra.Command {
	return &cobra.Command{
		Use:   "losses",
		Short: "Sort the requests that were not served by cause, from the log lines on standard input",
		Long: "Sort the requests that were not served by cause, from the log lines on standard input.\n\n" +
			"The lines may come from all nodes, mixed and out of order. Callers are customers with a key; calls are\n" +
			"requests on open routes, most of which backend servers make. Requests beyond a limit and requests that\n" +
			"no configuration allows are left out.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return sortLosses(c.OutOrStdout(), c.InOrStdin())
		},
	}
}

// record is what losses reads of a log line.
type record struct {
	RequestID     string
	Message       string
	Customer      string
	Kind          string
	Decision      string
	Status        int
	Allowed       bool
	FailingBefore float64
	Idempotent    bool
}

// lost is one request that was not served.
type lost struct {
	end    record
	run    *record // Its last run that failed; nil if there was none.
	denied bool    // A repeat was denied.
}

// loss is what a cause cost.
type loss struct{ callers, calls int }

// sortLosses prints the number of requests lost for each cause, greatest first.
func sortLosses(out io.Writer, in io.Reader) error {
	requests, err := readLosses(in)
	if err != nil {
		return &Exit{Code: ExitFailure, Err: err}
	}
	causes := make(map[string]loss)
	var sum loss
	for _, l := range requests {
		if l.end.Message == "" || !l.counts() {
			continue
		}
		cause := l.cause()
		c := causes[cause]
		if l.end.Customer != "" {
			c.callers++
			sum.callers++
		} else {
			c.calls++
			sum.calls++
		}
		causes[cause] = c
	}
	names := slices.SortedFunc(maps.Keys(causes), func(a, b string) int {
		x, y := causes[a], causes[b]
		return cmp.Or(cmp.Compare(y.callers, x.callers), cmp.Compare(y.calls, x.calls), cmp.Compare(a, b))
	})
	_, _ = fmt.Fprintf(out, "%8s %8s  %s\n", "callers", "calls", "cause")
	for _, name := range names {
		_, _ = fmt.Fprintf(out, "%8d %8d  %s\n", causes[name].callers, causes[name].calls, name)
	}
	_, err = fmt.Fprintf(out, "%8d %8d  %s\n", sum.callers, sum.calls, "all")
	return err
}

// readLosses returns what the lines say of each request that did not end well.
func readLosses(in io.Reader) (map[string]*lost, error) {
	requests := make(map[string]*lost)
	_, err := scanLog(in, func(text []byte) {
		var r record
		if json.Unmarshal(text, &r) != nil || r.RequestID == "" {
			return
		}
		l := requests[r.RequestID]
		if l == nil {
			l = new(lost)
			requests[r.RequestID] = l
		}
		switch r.Message {
		case "request ended":
			l.end = r
		case "run ended with an error", "run failed":
			l.run = &r
		case "another attempt":
			l.denied = l.denied || r.Decision == "repeat" && !r.Allowed
		}
	})
	return requests, err
}

// counts tells whether the request was owed an answer and got none.
func (l *lost) counts() bool {
	switch l.end.Kind {
	case "":
		return l.end.Status >= http.StatusInternalServerError
	case kind.LimitReached.String(), kind.UnknownKey.String(), kind.MissingKey.String(), kind.UnknownRoute.String(),
		kind.ForbiddenRoute.String(), kind.CancelledByCaller.String(), kind.MalformedRequest.String():
		return false
	}
	return true
}

// cause says why the request was lost, by its last attempt.
func (l *lost) cause() string {
	if l.end.Kind != "" && (l.run == nil || l.end.Kind != l.run.Kind) {
		return l.end.Kind
	}
	what := "error of a backend server"
	if l.end.Kind != "" {
		what = l.end.Kind
	}
	if l.run == nil {
		return what + ", its node's log is missing"
	}
	parts := []string{what}
	switch f := l.run.FailingBefore; {
	case f <= trusted:
		parts = append(parts, "nothing held against it")
	case f < likely:
		parts = append(parts, "something held against it")
	default:
		parts = append(parts, "it was likely to fail")
	}
	switch {
	case l.denied:
		parts = append(parts, "a repeat was denied")
	case l.run.Idempotent:
		parts = append(parts, "attempts used up")
	default:
		parts = append(parts, "may run only once")
	}
	return strings.Join(parts, "; ")
}
