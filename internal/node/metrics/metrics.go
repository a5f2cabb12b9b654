// Package metrics is a registry of a node's counters, gauges and request latencies, which it
// serves in the Prometheus text format.
package metrics

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"filbertturn.example/filbertturn/internal/request/call"
	"filbertturn.example/filbertturn/internal/request/failure"
)

// Size and decay factor of the exponentially decaying sample of latencies, from which the
// quantiles are computed.
const (
	reservoirSize = 1028
	decay         = 0.015
	prefix        = "filbertturn_"
)

// Metrics is the registry of one node. It is an http.Handler.
type Metrics struct {
	registry gometrics.Registry
	latency  gometrics.Timer
}

// New returns an empty registry.
func New() *Metrics {
	r := gometrics.NewRegistry()
	histogram := gometrics.NewHistogram(gometrics.NewExpDecaySample(reservoirSize, decay))
	latency := gometrics.NewCustomTimer(histogram, gometrics.NewMeter())
	_ = r.Register("request_seconds", latency)
	return &Metrics{registry: r, latency: latency}
}

// IncrementCounter adds one to a counter, which it creates if needed.
func (m *Metrics) IncrementCounter(name string) {
	gometrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

// RegisterGauge registers a gauge whose value is read from f whenever the metrics are served.
func (m *Metrics) RegisterGauge(name string, f func() int64) {
	_ = m.registry.Register(name, gometrics.NewFunctionalGauge(f))
}

// RecordRequest records a request that has ended: its latency, the class of its status, and the kind
// of its failure unless f is nil.
func (m *Metrics) RecordRequest(_ *call.Call, status int, f *failure.Failure, took time.Duration) {
	m.latency.Update(took)
	m.IncrementCounter(fmt.Sprintf("answers_total{status=%q}", fmt.Sprintf("%dxx", status/100)))
	if f != nil {
		m.IncrementCounter(fmt.Sprintf("failures_total{kind=%q}", f.Kind))
	}
}

// ServeHTTP writes all metrics, sorted by name.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	lines := m.lines()
	sort.Strings(lines)
	_, _ = io.WriteString(w, strings.Join(lines, ""))
}

func (m *Metrics) lines() []string {
	var lines []string
	add := func(name string, value any) {
		lines = append(lines, fmt.Sprintf("%s%s %v\n", prefix, name, value))
	}
	m.registry.Each(func(name string, value any) {
		switch v := value.(type) {
		case gometrics.Counter:
			add(name, v.Count())
		case gometrics.Gauge:
			add(name, v.Value())
		case gometrics.Timer:
			t := v.Snapshot()
			add(name+"_count", t.Count())
			add(name+"_sum", time.Duration(t.Sum()).Seconds())
			for _, q := range []float64{0.5, 0.9, 0.99, 0.999} {
				add(fmt.Sprintf("%s{quantile=\"%g\"}", name, q), time.Duration(t.Percentile(q)).Seconds())
			}
		}
	})
	return lines
}
