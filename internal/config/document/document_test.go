package document_test

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/config/document"
	"filbertturn.example/filbertturn/internal/config/sample"
)

// TestDecode_roundTrip checks that Decode restores any set that Encode wrote.
func TestDecode_roundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := sample.Draw(t)
		text, err := document.Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := document.Decode(text); err != nil || !reflect.DeepEqual(got.Canonical(), want) {
			t.Fatalf("got %+v, %v, want %+v", got, err, want)
		}
	})
}

// TestDecode_problems checks the position, object and field of each kind of problem,
// and the limit on their number.
func TestDecode_problems(t *testing.T) {
	tests := []struct {
		desc, text string
		want       []string
	}{
		{"empty", "", []string{"1:1: unexpected end of JSON input"}},
		{"null", "null", []string{"1:1: is not an object"}},
		{"trailing data", "{}\n{}", []string{"2:1: invalid character '{' after top-level value"}},
		{"not UTF-8", "{\"Routes\": [\xff]}", []string{"1:13: is not UTF-8"}},
		{"unknown kind", `{"Zones": [{"A": 1}], "Keys": []}`, []string{`1:2: field "Zones" is not known`}},
		{"case differs", `{"routes": []}`, []string{`1:2: field "routes" is not known`}},
		{"kind twice", `{"Keys": [], "Keys": []}`, []string{"1:14: Keys: stands twice"}},
		{
			"several", "{\"Pools\": [\n {\"Floor\": 1.5, \"Name\": \"p\", \"Probe\": {\"Path\": 1}, \"QueueWait\": 5},\n [], {\"Name\": \"q\", \"Name\": \"r\"}],\n" +
				" \"Routes\": [{\"Name\": \"r\", \"Timeout\": \"2\", \"Open\": \"yes\", \"Methods\": null, \"Idempotent\": [3]}]}",
			[]string{
				"2:12: Pool p: Floor: is not a whole number", "2:48: Pool p: Probe.Path: is not a text",
				`2:65: Pool p: QueueWait: is not a duration such as "2s" or "150ms"`, "3:2: Pools: is not an object",
				"3:20: Pool q: Name: stands twice", `4:38: Route r: Timeout: is not a duration such as "2s" or "150ms"`,
				"4:51: Route r: Open: is not true or false", "4:69: Route r: Methods: is not a list",
				"4:90: Route r: Idempotent: is not a text",
			},
		},
	}
	for _, tt := range tests {
		_, err := document.Decode([]byte(tt.text))
		var bad *document.Error
		if !errors.As(err, &bad) {
			t.Errorf("%s: got %v, want an Error", tt.desc, err)
			continue
		}
		var got []string
		for _, p := range bad.Problems {
			got = append(got, p.String())
		}
		if !reflect.DeepEqual(got, tt.want) {
			t.Errorf("%s: got\n%s\nwant\n%s", tt.desc, strings.Join(got, "\n"), strings.Join(tt.want, "\n"))
		}
	}
	_, err := document.Decode([]byte(`{"Keys": [` + strings.Repeat("1,", 5000) + `1]}`))
	var bad *document.Error
	if !errors.As(err, &bad) || len(bad.Problems) != document.MaxProblems {
		t.Errorf("got %.100v, want %d problems", err, document.MaxProblems)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"Pools": [{"Name": "p", "Floor": 70, "QueueWait": "50ms", "Probe": {"Contains": "<ok>"}}]}`))
	f.Add([]byte(`{"Routes": [{"Name": "r", "Prefix": "/a", "Methods": ["GET"], "Open": true}], "Limits": [{"Rate": 1e3}]}`))
	f.Add([]byte(`{"Routes": [{"Timeout": 1}, [], null, {"Name": "\ud800"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		want, err := document.Decode(text)
		if err != nil {
			return
		}
		again, err := document.Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := document.Decode(again); err != nil || !reflect.DeepEqual(got.Canonical(), want.Canonical()) {
			t.Fatalf("got %+v, %v, want %+v", got, err, want)
		}
	})
}
