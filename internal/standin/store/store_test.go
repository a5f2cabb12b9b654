package store_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/standin/store"
)

// TestStore_Handler runs a sequence of calls against one store: transactions, restores
// and each fault.
func TestStore_Handler(t *testing.T) {
	s := &store.Store{}
	h := s.Handler()
	const key = `"key":"YQ=="` // The key "a" in Base64.
	steps := []struct {
		desc, method, path, body string
		status                   int
		want                     string // Part of the response body.
	}{
		{"put", "POST", "/v3/kv/put", `{` + key + `,"value":"MQ=="}`, 200, `"revision":"1"`},
		{"compare fails", "POST", "/v3/kv/txn", `{"compare":[{` + key + `,"target":"MOD","result":"EQUAL","mod_revision":"0"}],"success":[{"request_put":{` + key + `}}]}`, 200, `"revision":"1"`},
		{"compare holds", "POST", "/v3/kv/txn", `{"compare":[{` + key + `,"target":"MOD","result":"EQUAL","mod_revision":"1"}],"success":[{"request_put":{` + key + `,"value":"Mg=="}}]}`, 200, `"succeeded":true`},
		{"read", "POST", "/v3/kv/range", `{` + key + `}`, 200, `"value":"Mg==","create_revision":"1","mod_revision":"2","version":"2"`},
		{"restore", "POST", "/control", `{"Restore":1}`, 200, `"Revision":1`},
		{"read older", "POST", "/v3/kv/range", `{` + key + `}`, 200, `"value":"MQ==","create_revision":"1","mod_revision":"1","version":"1"`},
		{"restore newer", "POST", "/control", `{"Restore":2}`, 400, "between 0 and 1"},
		{"restore empty", "POST", "/control", `{"Restore":0}`, 200, `"Revision":0`},
		{"read nothing", "POST", "/v3/kv/range", `{` + key + `}`, 200, `{"header":{"revision":"0"}}`},
		{"bad JSON", "POST", "/v3/kv/range", `{`, 400, "unexpected EOF"},
		{"unknown control", "POST", "/control", `{"Outrage":true}`, 400, "unknown field"},
		{"faults", "POST", "/control", `{"Delay":"20ms","LoseNext":1}`, 200, `"Outage":false,"Delay":"20ms","LoseNext":1`},
		{"answer lost", "POST", "/v3/kv/put", `{` + key + `}`, 503, ""},
		{"next answer", "POST", "/v3/kv/put", `{` + key + `}`, 200, `"revision":"2"`},
		{"outage", "POST", "/control", `{"Outage":true}`, 200, `"Outage":true`},
		{"read in outage", "POST", "/v3/kv/range", `{` + key + `}`, 503, ""},
		{"counts", "GET", "/control/counts", ``, 200, `{"Range":4,"Put":3,"Txn":2,"Refused":1,"Lost":1}`},
	}
	start := time.Now()
	for _, tt := range steps {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(tt.method, tt.path, strings.NewReader(tt.body)))
		if w.Code != tt.status || !strings.Contains(w.Body.String(), tt.want) {
			t.Errorf("%s: got %d %s, want %d %s", tt.desc, w.Code, w.Body, tt.status, tt.want)
		}
	}
	if got := time.Since(start); got < 60*time.Millisecond {
		t.Errorf("got %v for three delayed calls, want at least 60ms", got)
	}
}

// FuzzStore_Handler checks that invalid requests do not cause a panic.
func FuzzStore_Handler(f *testing.F) {
	f.Add("/v3/kv/txn", []byte(`{"success":[{"request_put":{"key":"YQ=="}},{"request_delete_range":{"key":"YQ=="}}]}`))
	f.Add("/v3/kv/range", []byte(`{"key":"Yg==","range_end":"YQ==","limit":"-1"}`))
	f.Add("/control", []byte(`{"Restore":-1}`))
	s := &store.Store{}
	h := s.Handler()
	f.Fuzz(func(t *testing.T, path string, body []byte) {
		if !strings.HasPrefix(path, "/v3/") {
			path = "/v3/kv/range"
		}
		u := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(string(body)))
		u.URL.Path = path
		h.ServeHTTP(httptest.NewRecorder(), u)
	})
}
