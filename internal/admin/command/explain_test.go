package command

import (
	"strings"
	"testing"
)

const mixedLog = `  4.2 node-2 {"Node":"node-2","RequestID":"r1","Message":"request ended","Kind":"DeadlineDuringRun","Time":"2026-12-04T01:00:02.5Z"}
not a log line
{"Node":"node-1","RequestID":"r2","Message":"request ended","Time":"2026-12-04T01:00:00Z"}
{"Node":"node-2","RequestID":"r1","Message":"attempt failed","To":"10.0.0.1:8543","Failing":0.6,"Time":"2026-12-04T01:00:02Z"}
{"Level":"warn","Message":"log lines dropped","Count":3}
`

func TestExplain(t *testing.T) {
	var out strings.Builder
	if err := explainRequest(&out, strings.NewReader(mixedLog), "r1"); err != nil {
		t.Fatal(err)
	}
	want := "3 log lines were dropped by the nodes; some of this request's may be missing\n" +
		"01:00:02.000 node-2: attempt failed Failing=0.6 To=10.0.0.1:8543\n" +
		"01:00:02.500 node-2: request ended Kind=DeadlineDuringRun\n"
	if got := out.String(); got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}

func TestExplain_unknown(t *testing.T) {
	err := explainRequest(&strings.Builder{}, strings.NewReader(mixedLog), "r3")
	if err == nil || !strings.Contains(err.Error(), `no log line names request "r3"`) {
		t.Errorf("got error %v, want that no log line names the request", err)
	}
}

func FuzzExplain(f *testing.F) {
	f.Add(mixedLog)
	f.Add(`{"RequestID":"r1","Time":7,"Node":null}`)
	f.Fuzz(func(_ *testing.T, log string) {
		_ = explainRequest(&strings.Builder{}, strings.NewReader(log), "r1")
	})
}
