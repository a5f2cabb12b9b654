package callcost_test

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"

	"filbertturn.example/filbertturn/internal/request/callcost"
)

// TestCosts_Valid guards against costs of other nodes that are out of bounds.
func TestCosts_Valid(t *testing.T) {
	good := callcost.Cost{Service: "s", Level: 1, Calls: 1.5}
	odd := callcost.Costs{
		good, good, {Service: "", Level: 1, Calls: 1}, {Service: strings.Repeat("s", 300), Level: 1, Calls: 1}, {Service: "s", Level: 0, Calls: 1},
		{Service: "s", Level: 4, Calls: 1}, {Service: "s", Level: 2, Calls: math.NaN()}, {Service: "s", Level: 2, Calls: -1}, {Service: "t", Level: 3, Calls: 1e9},
	}
	if got, want := odd.Valid(), (callcost.Costs{good, {Service: "t", Level: 3, Calls: callcost.MaxCalls}}); !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	var many callcost.Costs
	for i := range 100 {
		many = append(many, callcost.Cost{Service: fmt.Sprint(i), Level: 1, Calls: 1})
	}
	if got := len(many.Valid()); got != callcost.MaxCosts {
		t.Errorf("got %d costs, want %d", got, callcost.MaxCosts)
	}
}

// TestCosts_OfCalls checks that the calls of calls are counted up to the last level.
func TestCosts_OfCalls(t *testing.T) {
	c := callcost.Costs{{Service: "s", Level: 1, Calls: 2}, {Service: "s", Level: 2, Calls: 3}, {Service: "s", Level: 3, Calls: 4}}
	want := callcost.Costs{{Service: "s", Level: 2, Calls: 1}, {Service: "s", Level: 3, Calls: 1.5}}
	if got := c.OfCalls(0.5); !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestTable_Observe guards against one owner whose wrong report decides, and against reports that rest on nothing.
func TestTable_Observe(t *testing.T) {
	var table callcost.Table
	costs := callcost.Costs{{Service: "t", Level: 1, Calls: 1}}
	for range 100 {
		table.Observe("s", "r", costs, 50)
		table.Observe("s", "r", nil, 0)
	}
	table.Observe("s", "r", callcost.Costs{{Service: "t", Level: 1, Calls: 5}}, 1e9)
	got := table.Costs("s", "r")
	if len(got) != 1 || got[0].Calls < 1 || got[0].Calls > 1.5 {
		t.Errorf("got %v, want about one call", got)
	}
	for range 100 {
		table.Observe("s", "r", nil, 50)
	}
	if got := table.Costs("s", "r"); len(got) != 0 {
		t.Errorf("got %v of a route that makes no calls any more, want none", got)
	}
}
