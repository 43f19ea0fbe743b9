package owner

import "github.com/prometheus/client_golang/prometheus"

// Metrics count what owners do. All owners of a process share one.
type Metrics struct {
	Orders     *prometheus.CounterVec // by order and answer
	Events     *prometheus.CounterVec // by kind
	OrderTime  prometheus.Histogram   // seconds
	Plan       prometheus.Histogram   // seconds of one pass
	Commit     prometheus.Histogram   // seconds
	CommitRows prometheus.Counter
}

// NewMetrics returns metrics that count from 0.
func NewMetrics() *Metrics {
	return &Metrics{
		Orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "citronknot_orders_total", Help: "Orders to workers by order and answer.",
		}, []string{"order", "answer"}),
		Events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "citronknot_pool_events_total", Help: "What the owners of pools came to believe, by kind.",
		}, []string{"event"}),
		OrderTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "citronknot_order_seconds", Help: "Time until a worker answered an order.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 11),
		}),
		Plan: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "citronknot_plan_seconds", Help: "Time of one scheduling pass.", Buckets: prometheus.ExponentialBuckets(0.00001, 4, 8),
		}),
		Commit: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "citronknot_commit_seconds", Help: "Time until a commit of a pool was durable.", Buckets: prometheus.ExponentialBuckets(0.002, 2, 12),
		}),
		CommitRows: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "citronknot_commit_rows_total", Help: "Rows written by owners of pools.",
		}),
	}
}

// Collectors returns what a registry needs.
func (m *Metrics) Collectors() []prometheus.Collector {
	return []prometheus.Collector{m.Orders, m.Events, m.OrderTime, m.Plan, m.Commit, m.CommitRows}
}
