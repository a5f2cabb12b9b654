package kind

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// documentedRow returns the row of a kind in the table of docs/CALLERS.md.
func documentedRow(k Kind) string {
	a, retry := k.Response(), "no"
	if a.Retryable {
		retry = "yes"
	}
	return fmt.Sprintf("| %s | %d | %s | %s | %s |", a.Name, a.Status, a.Outcome, retry, a.Title)
}

// TestAll checks that the table of the callers' documentation lists exactly the kinds, with
// their responses.
func TestAll(t *testing.T) {
	text, err := os.ReadFile("../../../docs/CALLERS.md")
	if err != nil {
		t.Fatal(err)
	}
	names := make(map[string]bool)
	for _, k := range All() {
		a := k.Response()
		if a.Name == "" || a.Status < 400 || a.Title == "" || names[a.Name] {
			t.Errorf("kind %d has an incomplete or repeated row %+v", k, a)
		}
		names[a.Name] = true
		if want := documentedRow(k); !strings.Contains(string(text), want+"\n") {
			t.Errorf("docs/CALLERS.md lacks the row\n%s", want)
		}
	}
	if got, want := strings.Count(string(text), "\n| "), len(names)+2; got != want {
		t.Errorf("got %d rows in docs/CALLERS.md, want %d", got, want)
	}
}

func TestKind_Response_unknownKind(t *testing.T) {
	if got := Kind(1 << 20).Response(); got.Outcome != Unknown {
		t.Errorf("got outcome %s of an unknown kind, want %s", got.Outcome, Unknown)
	}
}
