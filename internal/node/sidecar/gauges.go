package sidecar

// registerRequestGauges registers the gauges of requests that wait or are suspected.
func (c *Sidecar) registerRequestGauges() {
	c.metrics.RegisterGauge("limit_waiting_requests", func() int64 { return int64(c.quotaEnforcer.Waiting()) })
	c.metrics.RegisterGauge("limit_places", func() int64 { return int64(c.quotaEnforcer.Places()) })
	c.metrics.RegisterGauge("suspected_requests", func() int64 { return int64(len(c.guard.Cases())) })
}
