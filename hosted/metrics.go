package hosted

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"citronknot/owner"
)

// metrics are the Prometheus metrics of a process.
type metrics struct {
	callerCalls     *prometheus.CounterVec
	callSeconds     prometheus.Histogram
	owner           *owner.Metrics
	droppedLogLines prometheus.CounterFunc
	machineOrders   *prometheus.CounterVec
	relayedCalls    prometheus.Counter
	evacuatedZones  prometheus.Gauge
	heldBackStarts  *prometheus.CounterVec
	fleetPlanTime   prometheus.Histogram // seconds of one pass of the fleet leader's planner
}

// newMetrics returns metrics that start at 0. droppedLogLines returns the number of dropped log
// lines; nil means 0.
func newMetrics(droppedLogLines func() int64) *metrics {
	if droppedLogLines == nil {
		droppedLogLines = func() int64 { return 0 }
	}
	return &metrics{
		callerCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "citronknot_calls_total", Help: "Calls of callers by call and outcome.",
		}, []string{"call", "outcome"}),
		callSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "citronknot_call_seconds", Help: "Time until a call was answered.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 13),
		}),
		owner: owner.NewMetrics(),
		relayedCalls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "citronknot_store_detours_total", Help: "Calls to the store that went through another member.",
		}),
		evacuatedZones: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "citronknot_evacuated_zones", Help: "Evacuated zones that the member knows.",
		}),
		heldBackStarts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "citronknot_starts_held_back_total", Help: "Starts that were not sent, by reason: evacuated or unconfirmed.",
		}, []string{"reason"}),
		machineOrders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "citronknot_machine_orders_total", Help: "Orders to machines by order and answer.",
		}, []string{"order", "answer"}),
		fleetPlanTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "citronknot_fleet_plan_seconds", Help: "Time in which the fleet leader decided on moves and maintenance once.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 4, 8),
		}),
		droppedLogLines: prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "citronknot_log_lines_dropped_total", Help: "Log lines that were dropped because writing was too slow.",
		}, func() float64 { return float64(droppedLogLines()) }),
	}
}

func (m *metrics) collectors() []prometheus.Collector {
	return append(m.owner.Collectors(),
		m.callerCalls, m.callSeconds, m.droppedLogLines, m.machineOrders, m.relayedCalls, m.evacuatedZones, m.heldBackStarts, m.fleetPlanTime,
		collectors.NewGoCollector())
}
