package callcost

const (
	// maxRoutes bounds the routes of a Table.
	maxRoutes = 4096

	// maxRuns bounds the weight of one report, and maxWeight that of all earlier ones, both in runs.
	// One owner whose report is wrong changes the mean by a tenth.
	maxRuns   = 50
	maxWeight = 9 * maxRuns
)

// Table holds the costs of routes as owners report them. Its zero value knows none. It is not safe for
// concurrent use.
type Table struct {
	routes map[tableKey]*mean
}

type tableKey struct{ service, route string }

// mean is the mean of reports, weighted by the runs that they rest on.
type mean struct {
	weight float64
	costs  Costs
}

// Observe records the costs of a route of a service that an owner reports, and the number of runs that
// they rest on. A report without runs says nothing.
func (t *Table) Observe(service, route string, c Costs, runs float64) {
	if !(runs > 0) {
		return
	}
	k := tableKey{service, route}
	m := t.routes[k]
	if m == nil {
		if t.routes == nil {
			t.routes = make(map[tableKey]*mean)
		}
		for old := range t.routes {
			if len(t.routes) < maxRoutes {
				break
			}
			delete(t.routes, old)
		}
		m = new(mean)
		t.routes[k] = m
	}
	m.observe(c, min(runs, maxRuns))
}

func (m *mean) observe(c Costs, runs float64) {
	part := runs / (m.weight + runs)
	m.weight = min(m.weight+runs, maxWeight)
	for i := range m.costs {
		m.costs[i].Calls *= 1 - part
	}
	for _, x := range c.Valid() {
		x.Calls *= part
		if m.costs.index(x) >= 0 || len(m.costs) < 2*MaxCosts {
			m.costs = m.costs.Add(Costs{x})
		}
	}
}

// Costs returns the costs of a run of a route of a service that are worth being paid.
func (t *Table) Costs(service, route string) Costs {
	m := t.routes[tableKey{service, route}]
	if m == nil {
		return nil
	}
	return m.costs.Significant()
}
