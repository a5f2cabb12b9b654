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

	"filbertturn.example/filbertturn/internal/request/ending"
	"filbertturn.example/filbertturn/internal/request/kind"
)

const (
	// maxHealthyProbability is the failure probability up to which a backend server
	// counts as healthy: twice that of a healthy one that has answered all its requests.
	maxHealthyProbability = 0.05

	// minFailingProbability is the failure probability from which a backend server is at
	// least as likely to fail a request as to answer it.
	minFailingProbability = 0.5
)

func newLosses() *cobra.Command {
	return &cobra.Command{
		Use:   "losses",
		Short: "Count the requests that were not served by cause, from the log lines on standard input",
		Long: "Count the requests that were not served by cause, from the log lines on standard input.\n\n" +
			"The lines may come from all nodes, mixed and out of order. Callers are customers with a key; calls are\n" +
			"requests on open routes, most of which backend servers make. Requests beyond a limit and requests that\n" +
			"no configuration allows are left out.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return printLosses(c.OutOrStdout(), c.InOrStdin())
		},
	}
}

// logRecord holds the fields of a log line that losses reads.
type logRecord struct {
	RequestID     string
	Message       string
	Customer      string
	Kind          string
	Reason        string // Why its run ended; empty for a refusal, and in lines of older releases.
	By            string // Who gave the run up first.
	Decision      string
	Status        int
	Allowed       bool
	FailingBefore float64
	Idempotent    bool
}

// lostRequest collects the log lines of one request. Whether the request was in fact
// lost is decided by isLoss once all lines are read.
type lostRequest struct {
	end           logRecord
	lastFailedRun *logRecord // Its last failed run on a backend server; nil if there was none.
	retryDenied   bool       // A retry was denied.
}

// lossCount is the number of requests lost to a cause, by sender.
type lossCount struct{ callers, calls int }

// printLosses prints the number of lost requests for each cause, greatest first.
func printLosses(out io.Writer, in io.Reader) error {
	requests, err := readLosses(in)
	if err != nil {
		return &Exit{Code: ExitFailure, Err: err}
	}
	causes := make(map[string]lossCount)
	var sum lossCount
	for _, l := range requests {
		if l.end.Message == "" || !l.isLoss() {
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

// readLosses collects the log lines that losses needs, by request.
func readLosses(in io.Reader) (map[string]*lostRequest, error) {
	requests := make(map[string]*lostRequest)
	_, err := scanLog(in, func(text []byte) {
		var r logRecord
		if json.Unmarshal(text, &r) != nil || r.RequestID == "" {
			return
		}
		l := requests[r.RequestID]
		if l == nil {
			l = new(lostRequest)
			requests[r.RequestID] = l
		}
		switch r.Message {
		case "request ended":
			l.end = r
		case "run ended with an error", "run failed":
			// A run that lost against another attempt says nothing of the request's end.
			if r.Reason != ending.Superseded.String() {
				l.lastFailedRun = &r
			}
		case "another attempt":
			l.retryDenied = l.retryDenied || r.Decision == "repeat" && !r.Allowed
		}
	})
	return requests, err
}

// isLoss reports whether the request failed for a reason other than its caller, its
// credentials, its limit or its route.
func (l *lostRequest) isLoss() bool {
	switch l.end.Kind {
	case "":
		return l.end.Status >= http.StatusInternalServerError
	case kind.LimitReached.String(), kind.UnknownKey.String(), kind.MissingKey.String(), kind.UnknownRoute.String(),
		kind.ForbiddenRoute.String(), kind.CancelledByCaller.String(), kind.MalformedRequest.String():
		return false
	}
	return true
}

// cause describes why the request was lost: the error and who gave the run up first, the failure
// probability of the backend server before the last run, and why the request was not retried.
func (l *lostRequest) cause() string {
	what := "error of a backend server"
	if l.end.Kind != "" {
		what = l.end.Kind
	}
	if l.end.By != "" {
		what += ", ended by the " + l.end.By
	}
	switch {
	case l.end.Kind != "" && (l.lastFailedRun == nil || l.end.Kind != l.lastFailedRun.Kind), !l.concernsBackendServer():
		return what
	case l.lastFailedRun == nil:
		return what + ", its node's log is missing"
	}
	parts := []string{what}
	switch f := l.lastFailedRun.FailingBefore; {
	case f <= maxHealthyProbability:
		parts = append(parts, "nothing held against it")
	case f < minFailingProbability:
		parts = append(parts, "something held against it")
	default:
		parts = append(parts, "it was likely to fail")
	}
	switch {
	case l.retryDenied:
		parts = append(parts, "a repeat was denied")
	case l.lastFailedRun.Idempotent:
		parts = append(parts, "attempts used up")
	default:
		parts = append(parts, "may run only once")
	}
	return strings.Join(parts, "; ")
}

// concernsBackendServer reports whether the end of the request says something of the backend
// server that ran it.
func (l *lostRequest) concernsBackendServer() bool {
	switch l.end.Reason {
	case "", ending.BackendServer.String(), ending.Deadline.String():
		return true
	default:
		return false
	}
}
