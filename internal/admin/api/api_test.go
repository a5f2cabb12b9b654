package api_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/admin/api"
	"filbertturn.example/filbertturn/internal/admin/message"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/config/snapshot"
	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/keyvalue/store"
	"filbertturn.example/filbertturn/internal/node/membership"
	"filbertturn.example/filbertturn/internal/node/owner"
	"filbertturn.example/filbertturn/internal/node/settings"
	"filbertturn.example/filbertturn/internal/route/directory"
)

// fakeNode implements the dependencies of the API with a fixed configuration; nil
// means that nothing has been published.
type fakeNode struct {
	config *snapshot.Snapshot
}

func (f *fakeNode) View() (head.Head, *snapshot.Snapshot)        { return head.Head{Revision: 3}, f.config }
func (f *fakeNode) Accepted() uint64                             { return 0 }
func (f *fakeNode) InForce(time.Time) uint64                     { return 0 }
func (f *fakeNode) Status(time.Time) membership.Status           { return membership.Status{} }
func (f *fakeNode) Refresh(context.Context)                      {}
func (f *fakeNode) Statuses(time.Time) []owner.Status            { return nil }
func (f *fakeNode) Owners(time.Time) []directory.Summary         { return nil }
func (f *fakeNode) ServeHTTP(http.ResponseWriter, *http.Request) {}

func hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// newAPI returns an API whose store client has no endpoints, so that reads of the
// store fail.
func newAPI(f *fakeNode) http.Handler {
	a := &api.API{
		Members: f, Owner: f, Owners: f, Metrics: f, Store: &store.Client{}, Log: zerolog.Nop(),
		Bootstrap: settings.BootstrapOperator{Name: "first", Hash: hash("bootstrap")},
	}
	return a.Handler()
}

func newPublishedNode() *fakeNode {
	return &fakeNode{config: snapshot.Compile(set.Set{Operators: []set.Operator{{Name: "hajer", Hash: hash("token")}}}, 3)}
}

// TestAPI_Handler_authentication sends every protected request with several tokens.
// The bootstrap operator of the settings must be rejected after the first publish.
func TestAPI_Handler_authentication(t *testing.T) {
	calls := []struct{ method, path, body string }{
		{"GET", message.ConfigPath, ""},
		{"POST", message.ConfigPath, "{}"},
		{"POST", message.CheckPath, "{}"},
		{"POST", message.ReinstatePath, "{}"},
		{"GET", message.AuditPath, ""},
		{"POST", message.EndedPath, `{"Members":[{"Address":"10.0.0.1:1","Incarnation":1}]}`},
	}
	tests := []struct {
		desc   string
		node   *fakeNode
		header string
		want   bool
	}{
		{"bootstrap before the first publish", &fakeNode{}, "Bearer bootstrap", true},
		{"other token before the first publish", &fakeNode{}, "Bearer token", false},
		{"no header before the first publish", &fakeNode{}, "", false},
		{"bootstrap after the first publish", newPublishedNode(), "Bearer bootstrap", false},
		{"operator", newPublishedNode(), "Bearer token", true},
		{"hash of the token", newPublishedNode(), "Bearer " + hash("token"), false},
		{"other scheme", newPublishedNode(), "Basic token", false},
		{"no token", newPublishedNode(), "Bearer ", false},
	}
	for _, tt := range tests {
		for _, c := range calls {
			w, r := httptest.NewRecorder(), httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
			if tt.header != "" {
				r.Header.Set("Authorization", tt.header)
			}
			newAPI(tt.node).ServeHTTP(w, r)
			if (w.Code != http.StatusUnauthorized) != tt.want {
				t.Errorf("%s: %s %s: got status %d, want authenticated %v", tt.desc, c.method, c.path, w.Code, tt.want)
			}
		}
	}
	// Without a hash in the settings, an empty token must not be accepted.
	w, r := httptest.NewRecorder(), httptest.NewRequest("GET", message.ConfigPath, nil)
	r.Header.Set("Authorization", "Bearer ")
	(&api.API{Members: &fakeNode{}, Metrics: &fakeNode{}}).Handler().ServeHTTP(w, r)
	if w.Code != http.StatusUnauthorized {
		t.Errorf("without a bootstrap operator: got status %d", w.Code)
	}
}

func TestAPI_Handler_refusals(t *testing.T) {
	tests := []struct {
		desc, method, path, body string
		status                   int
		want                     message.Code
		problems, syntax         int
	}{
		{"not JSON", "POST", message.ConfigPath, "{", 400, message.Malformed, 0, 0},
		{"unknown field", "POST", message.ConfigPath, `{"Zone":1}`, 400, message.Malformed, 0, 0},
		{"malformed set", "POST", message.ConfigPath, `{"Set":{"Zones":[],"Pools":3}}`, 400, message.Malformed, 0, 2},
		{"broken set", "POST", message.CheckPath, `{"Set":{"Customers":[{"Name":"c","Limit":"l"},{"Name":"d","Limit":"l"}]}}`, 422, message.Invalid, 2, 0},
		{"broken set published", "POST", message.ConfigPath, `{"PublishID":"p","Base":3,"Set":{"Customers":[{"Name":"c","Limit":"l"}]}}`, 422, message.Invalid, 1, 0},
		{"audit limit", "GET", message.AuditPath + "?Limit=0", "", 400, message.Malformed, 0, 0},
		{"store unavailable", "GET", message.AuditPath, "", 503, message.Unavailable, 0, 0},
	}
	for _, tt := range tests {
		w, r := httptest.NewRecorder(), httptest.NewRequest(tt.method, tt.path, strings.NewReader(tt.body))
		r.Header.Set("Authorization", "Bearer token")
		newAPI(newPublishedNode()).ServeHTTP(w, r)
		var got message.Error
		if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
			t.Fatalf("%s: %v", tt.desc, err)
		}
		if w.Code != tt.status || got.Code != tt.want || len(got.Problems) < tt.problems || len(got.Syntax) != tt.syntax {
			t.Errorf("%s: got %d %+v, want %d %s", tt.desc, w.Code, got, tt.status, tt.want)
		}
	}
}
