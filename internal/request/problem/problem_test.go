package problem_test

import (
	"encoding/json"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/problem"
)

// TestWrite checks that status, header and document of every kind agree with the table of
// kinds, and that Retry-After is rounded up to seconds.
func TestWrite(t *testing.T) {
	for _, k := range kind.All() {
		for _, wait := range []time.Duration{0, time.Millisecond, time.Second, 1001 * time.Millisecond} {
			w := httptest.NewRecorder()
			problem.Write(w, &failure.Failure{Kind: k, RetryAfter: wait, Detail: "d", Err: strconv.ErrRange})
			var got problem.Document
			if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
				t.Fatal(err)
			}
			want := k.Response()
			if w.Code != want.Status || got.Status != w.Code || got.Kind != k.String() || got.Outcome != want.Outcome || got.Detail != "d" ||
				w.Header().Get("Request-Outcome") != string(want.Outcome) || w.Header().Get("Content-Type") != problem.ContentType {
				t.Errorf("%s: got %d, %v, %+v, want %+v", k, w.Code, w.Header(), got, want)
			}
			checkRetryAfter(t, k, wait, w.Header().Get("Retry-After"), got.RetryAfter)
		}
	}
}

func checkRetryAfter(t *testing.T, k kind.Kind, wait time.Duration, seconds, exact string) {
	t.Helper()
	if !k.Response().Retryable {
		if seconds != "" || exact != "" {
			t.Errorf("%s: got waits %q and %q, want none", k, seconds, exact)
		}
		return
	}
	if wait == 0 {
		wait = problem.DefaultRetryAfter
	}
	n, err := strconv.Atoi(seconds)
	rounded := time.Duration(n) * time.Second
	if d, _ := time.ParseDuration(exact); err != nil || rounded < wait || rounded-wait >= time.Second || d != wait {
		t.Errorf("%s: got waits %q and %q, want %s", k, seconds, exact, wait)
	}
}
