package hosted

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"citronknot/owner"
)

type metrics struct {
	calls    *prometheus.CounterVec
	callTime prometheus.Histogram
	owner    *owner.Metrics
	dropped  prometheus.CounterFunc
	machines *prometheus.CounterVec
	detours  prometheus.Counter
}

func newMetrics(dropped func() int64) *metrics {
	if dropped == nil {
		dropped = func() int64 { return 0 }
	}
	return &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "citronknot_calls_total", Help: "Calls of callers by call and outcome.",
		}, []string{"call", "outcome"}),
		callTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "citronknot_call_seconds", Help: "Time until a call was answered.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 13),
		}),
		owner: owner.NewMetrics(),
		detours: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "citronknot_store_detours_total", Help: "Calls to the store that went through another member.",
		}),
		machines: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "citronknot_machine_orders_total", Help: "Orders to machines by order and answer.",
		}, []string{"order", "answer"}),
		dropped: prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "citronknot_log_lines_dropped_total", Help: "Log lines that were dropped because writing was too slow.",
		}, func() float64 { return float64(dropped()) }),
	}
}

func (m *metrics) collectors() []prometheus.Collector {
	return append(m.owner.Collectors(), m.calls, m.callTime, m.dropped, m.machines, m.detours, collectors.NewGoCollector())
}
