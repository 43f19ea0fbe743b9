package owner

import "github.com/prometheus/client_golang/prometheus"

// Metrics holds the Prometheus metrics of pool owners. All owners of a process share one
// Metrics.
type Metrics struct {
	Orders     *prometheus.CounterVec // orders to workers, by order kind and result
	Events     *prometheus.CounterVec // events of pools, by kind
	RunsLost   *prometheus.CounterVec // runs that were lost with their workers, by cause
	PlaceWaits *prometheus.CounterVec // ended waits of tasks for a near place, by outcome
	OrderTime  prometheus.Histogram   // seconds until a worker responded to an order
	PlanTime   prometheus.Histogram   // seconds of one scheduling pass
	CommitTime prometheus.Histogram   // seconds until a commit was durable
	CommitRows prometheus.Counter     // rows written
	Refusals   *prometheus.CounterVec // submissions that were refused, by reason
	// Suspects is the number of tasks of each pool that are suspected to crash their workers.
	Suspects *prometheus.GaugeVec
	// TeamsOverShare is the number of teams of each pool that have more than their share.
	TeamsOverShare *prometheus.GaugeVec
	// TasksAway is the number of long-running tasks in each pool that are not known to work, by cause.
	TasksAway *prometheus.GaugeVec
	// TasksWaiting is the number of tasks in each pool that wait for a start, by cause.
	TasksWaiting *prometheus.GaugeVec
	// WorkersAvoided is the number of workers of each pool that get no starts after repeated failures.
	WorkersAvoided *prometheus.GaugeVec
	// Dispatchers is the number of dispatchers of each pool that the process owns.
	Dispatchers *prometheus.GaugeVec
}

// NewMetrics returns metrics that start at 0 and are not registered.
func NewMetrics() *Metrics {
	return &Metrics{
		Orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "citronknot_orders_total", Help: "Orders to workers by order and answer.",
		}, []string{"order", "answer"}),
		Events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "citronknot_pool_events_total", Help: "What the owners of pools came to believe, by kind.",
		}, []string{"event"}),
		RunsLost: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "citronknot_runs_lost_total", Help: "Runs that were lost with their workers, by cause: crash, expected or silent.",
		}, []string{"cause"}),
		PlaceWaits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "citronknot_place_waits_total", Help: "Ended waits of tasks for a place near their data or their step, by outcome: near, gave_up or withdrawn.",
		}, []string{"outcome"}),
		OrderTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "citronknot_order_seconds", Help: "Time until a worker answered an order.", Buckets: prometheus.ExponentialBuckets(0.001, 2, 11),
		}),
		PlanTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "citronknot_plan_seconds", Help: "Time of one scheduling pass.", Buckets: prometheus.ExponentialBuckets(0.00001, 4, 8),
		}),
		CommitTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "citronknot_commit_seconds", Help: "Time until a commit of a pool was durable.", Buckets: prometheus.ExponentialBuckets(0.002, 2, 12),
		}),
		CommitRows: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "citronknot_commit_rows_total", Help: "Rows written by owners of pools.",
		}),
		Refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "citronknot_refusals_total", Help: "Submissions that owners refused, by reason: not_in_time, store_stalled or too_many_waiting.",
		}, []string{"reason"}),
		Suspects: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "citronknot_pool_suspects", Help: "Tasks that are suspected to crash their workers.",
		}, []string{"pool"}),
		TeamsOverShare: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "citronknot_pool_teams_over_share", Help: "Teams that have more than their share of the pool while others wait.",
		}, []string{"pool"}),
		TasksAway: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "citronknot_long_running_tasks_away",
			Help: "Long-running tasks that are not known to work, by cause: new, stopped, lost, ended, silent, unseen or unconfirmed.",
		}, []string{"pool", "cause"}),
		TasksWaiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "citronknot_pool_tasks_waiting",
			Help: "Tasks that wait for a start, by cause: gang, trial, allowance or worker.",
		}, []string{"pool", "cause"}),
		WorkersAvoided: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "citronknot_pool_workers_avoided", Help: "Workers that get no starts after repeated failures.",
		}, []string{"pool"}),
		Dispatchers: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "citronknot_pool_dispatchers", Help: "Members that call workers for the owner of a pool.",
		}, []string{"pool"}),
	}
}

// Collectors returns all metrics for registration.
func (m *Metrics) Collectors() []prometheus.Collector {
	return []prometheus.Collector{
		m.Orders, m.Events, m.RunsLost, m.PlaceWaits, m.OrderTime, m.PlanTime, m.CommitTime, m.CommitRows,
		m.Refusals, m.Suspects, m.TeamsOverShare, m.TasksAway, m.TasksWaiting, m.WorkersAvoided, m.Dispatchers,
	}
}
