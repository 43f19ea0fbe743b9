package caller

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts requests by outcome and reason. It does not register itself; see Collectors.
type Metrics struct {
	requests     *prometheus.CounterVec
	failedStarts prometheus.Counter
}

// NewMetrics returns a Metrics with all counters at zero.
func NewMetrics() *Metrics {
	return &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "citronknot_caller_requests_total",
			Help: "Requests of callers, by run outcome and by the reason of citronknot's own answers.",
		}, []string{"outcome", "reason"}),
		failedStarts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "citronknot_caller_failed_starts_total",
			Help: "Targets on which a request failed before it ran.",
		}),
	}
}

// Collectors returns the collectors to register with a Prometheus registry.
func (m *Metrics) Collectors() []prometheus.Collector {
	return []prometheus.Collector{m.requests, m.failedStarts}
}

// count counts one finished request. A nil Metrics counts nothing.
func (m *Metrics) count(o Outcome, reason string) {
	if m != nil {
		m.requests.WithLabelValues(string(o), reason).Inc()
	}
}

func (m *Metrics) addFailedStarts(n int) {
	if m != nil {
		m.failedStarts.Add(float64(n))
	}
}
