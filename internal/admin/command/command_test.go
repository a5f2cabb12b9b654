package command_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"filbertturn.example/filbertturn/internal/admin/command"
	"filbertturn.example/filbertturn/internal/admin/message"
	"filbertturn.example/filbertturn/internal/config/check"
	"filbertturn.example/filbertturn/internal/config/diff"
)

const (
	goodSet   = `{"Limits": [{"Name": "l", "Rate": 1, "Burst": 1}], "Customers": [{"Name": "c", "Limit": "l"}]}`
	brokenSet = `{"Routes": [{"Name": "r", "Prefix": "/r", "Pool": "p"}], "Customers": [{"Name": "c", "Limit": "l", "Routes": ["x"]}]}`
)

// fakeNode is a fake administration API that serves goodSet as revision 7 and answers
// every POST with a fixed status and response.
type fakeNode struct {
	status   int
	response any
	got      message.Publish
	token    string
}

func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.token = r.Header.Get("Authorization")
	if r.Method == http.MethodGet {
		_ = json.NewEncoder(w).Encode(message.Config{Revision: 7, Set: json.RawMessage(goodSet)})
		return
	}
	_ = json.NewDecoder(r.Body).Decode(&n.got)
	w.WriteHeader(n.status)
	_ = json.NewEncoder(w).Encode(n.response)
}

func writeSet(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "set.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestRun_publish(t *testing.T) {
	change := []diff.Change{{Kind: "Limit", Name: "l", Action: diff.Changed, Fields: []string{"Rate"}}}
	problems := []check.Problem{
		{Kind: "Route", Name: "r", Field: "Pool", Message: "no object is named p"},
		{Kind: "Customer", Name: "c", Field: "Limit", Message: "no object is named l"},
	}
	tests := []struct {
		desc     string
		status   int
		response any
		want     int
		output   []string
	}{
		{"in force", 200, message.Published{Revision: 8, InForce: true, Changes: change}, command.ExitOK, []string{"Changed Limit l: Rate", "revision 8: in force everywhere"}},
		{"pending", 200, message.Published{Revision: 8}, command.ExitPending, []string{"revision 8: stored, not yet in force everywhere"}},
		{"invalid", 422, message.Error{Code: message.Invalid, Problems: problems}, command.ExitInvalid, []string{"Route r: Pool: no object is named p", "Customer c: Limit: no object is named l"}},
		{"conflict", 409, message.Error{Code: message.Conflict, Base: 7, Current: 9, Changes: change}, command.ExitConflict, []string{"revision 9 is in force", "made from 7", "Changed Limit l: Rate"}},
		{"unknown", 504, message.Error{Code: message.Unknown, Message: "m"}, command.ExitUnknown, []string{"repeat it with --id the-id"}},
		{"unpublished", 503, message.Error{Code: message.Unpublished, Message: "store unavailable"}, command.ExitUnreachable, []string{"store unavailable"}},
		{"refused", 401, message.Error{Code: message.UnknownToken, Message: "no operator"}, command.ExitFailure, []string{"no operator"}},
		{"response of another server", 502, "text", command.ExitUnreachable, []string{"502"}},
	}
	for _, tt := range tests {
		n := &fakeNode{status: tt.status, response: tt.response}
		s := httptest.NewServer(n)
		var out bytes.Buffer
		args := []string{"config", "publish", writeSet(t, goodSet), "--base", "7", "--id", "the-id", "--admin", s.Listener.Addr().String(), "--token", "t"}
		got := command.Run(args, &out, &out)
		s.Close()
		if got != tt.want || n.got.Base != 7 || n.got.PublishID != "the-id" || n.token != "Bearer t" {
			t.Errorf("%s: got exit code %d, request %+v with token %q, want code %d", tt.desc, got, n.got, n.token, tt.want)
		}
		for _, want := range tt.output {
			if !strings.Contains(out.String(), want) {
				t.Errorf("%s: got output %q, want it to hold %q", tt.desc, out.String(), want)
			}
		}
	}
}

func TestRun(t *testing.T) {
	n := &fakeNode{status: 200, response: message.Published{Revision: 8, InForce: true}}
	s := httptest.NewServer(n)
	defer s.Close()
	admin := []string{"--admin", s.Listener.Addr().String()}
	closed := httptest.NewServer(n)
	closed.Close()
	tests := []struct {
		desc   string
		args   []string
		want   int
		output []string
	}{
		{"check good", []string{"config", "check", writeSet(t, goodSet)}, command.ExitOK, nil},
		{"check broken", []string{"config", "check", writeSet(t, brokenSet)}, command.ExitInvalid, []string{
			`Route r: Pool: no object is named p`, `Customer c: Limit: no object is named l`, `Customer c: Routes: no object is named x`,
		}},
		{"check malformed", []string{"config", "check", writeSet(t, "{\n \"Zones\": []}")}, command.ExitInvalid, []string{`set.json:2:2: field "Zones" is not known`}},
		{"no file", []string{"config", "check", "absent.json"}, command.ExitUsage, []string{"absent.json"}},
		{"no argument", []string{"config", "check"}, command.ExitUsage, nil},
		{"unknown flag", []string{"status", "--colour"}, command.ExitUsage, []string{"--colour"}},
		{"no address", []string{"status"}, command.ExitUsage, []string{"FILBERTTURN_ADMIN"}},
		{"node unreachable", []string{"status", "--admin", closed.Listener.Addr().String()}, command.ExitUnreachable, []string{"does not answer"}},
		{"same", append([]string{"config", "diff", writeSet(t, goodSet)}, admin...), command.ExitOK, nil},
		{"differs", append([]string{"config", "diff", writeSet(t, brokenSet)}, admin...), command.ExitDiffers, []string{"Added Route r", "Removed Limit l", "Changed Customer c: Routes"}},
		{"withdrawal of an unknown key", append([]string{"key", "withdraw", "k"}, admin...), command.ExitUsage, []string{"there is no key k"}},
		{"node without settings", []string{"node"}, command.ExitUsage, []string{"--caller-address (FILBERTTURN_CALLER_ADDRESS): is required", "--store"}},
		{"get", append([]string{"config", "get"}, admin...), command.ExitOK, []string{"revision 7", "\"Limit\": \"l\""}},
	}
	for _, tt := range tests {
		var out bytes.Buffer
		if got := command.Run(tt.args, &out, &out); got != tt.want {
			t.Errorf("%s: got exit code %d, want %d; %s", tt.desc, got, tt.want, out.String())
		}
		for _, want := range tt.output {
			if !strings.Contains(out.String(), want) {
				t.Errorf("%s: got output %q, want it to hold %q", tt.desc, out.String(), want)
			}
		}
	}
}

// TestRun_key checks that key create prints the secret of the new key and publishes
// only its hash, and that key hash computes the same hash.
func TestRun_key(t *testing.T) {
	n := &fakeNode{status: 200, response: message.Published{Revision: 8, InForce: true}}
	s := httptest.NewServer(n)
	defer s.Close()
	var out bytes.Buffer
	if got := command.Run([]string{"key", "create", "k", "--customer", "c", "--json", "--admin", s.Listener.Addr().String()}, &out, &out); got != command.ExitOK {
		t.Fatalf("got exit code %d; %s", got, out.String())
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	var created struct{ Name, Customer, Secret string }
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &created); err != nil {
		t.Fatal(err)
	}
	hash := new(bytes.Buffer)
	t.Setenv("FILBERTTURN_TOKEN", "")
	stdin, err := os.Create(filepath.Join(t.TempDir(), "secret"))
	if err != nil {
		t.Fatal(err)
	}
	defer stdin.Close()
	_, _ = stdin.WriteString(created.Secret + "\n")
	_, _ = stdin.Seek(0, 0)
	old := os.Stdin
	os.Stdin = stdin
	defer func() { os.Stdin = old }()
	command.Run([]string{"key", "hash"}, hash, hash)
	set := string(n.got.Set)
	if len(created.Secret) < 20 || strings.Contains(set, created.Secret) || !strings.Contains(set, strings.TrimSpace(hash.String())) || n.got.Base != 7 {
		t.Errorf("got secret %q, hash %s and request %+v", created.Secret, hash, n.got)
	}
}
