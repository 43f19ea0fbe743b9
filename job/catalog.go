package job

import (
	"net"
	"slices"
	"strings"

	"citronknot/clock"
	"citronknot/fleet"
)

// Queue accepts jobs from callers and runs them in a pool.
type Queue struct {
	ID       fleet.QueueID
	Host     string // of the request, without the port
	Prefix   string // of the request path; the queue with the longest matching prefix is used
	Pool     fleet.PoolID
	Open     bool         // accepts jobs without a key
	Priority int          // 0 is the highest
	Attempts int          // failures of a task until its job fails
	Stretch  float64      // a job should end within Stretch times its critical path plus Slack
	Slack    clock.Millis // see Stretch
	Timeout  clock.Millis // of one request
	Advice   *Advice      // nil if any worker may run the steps
}

// Address returns where callers reach the queue.
func (q *Queue) Address() fleet.QueueAddress { return fleet.QueueAddress(q.Host + q.Prefix) }

// Advice configures a queue whose steps may run only on workers that the adviser, an external
// service, permits.
type Advice struct {
	RequestTime   clock.Millis // time that one request takes
	TimePerWorker clock.Millis // additional time for each worker in the request
	Validity      clock.Millis // how long a response may be used
}

// Pool is a set of workers that runs the jobs of queues.
type Pool struct {
	ID             fleet.PoolID
	Spare          bool // its instances are off and cost nothing
	AdmissionCheck bool // its workers refuse a task that exceeds their free capacity
}

// Team is a customer, whose keys authorize submissions.
type Team struct {
	ID     fleet.TeamID
	Weight float64   // share of a full pool, and rate in jobs a second; 0 means that none is set
	Cap    Resources // limit of the team's running tasks; 0 in a dimension means no limit
}

// Catalog is one version of the configuration under which jobs are accepted. It does not change
// after Index.
type Catalog struct {
	Version      fleet.Version
	Queues       map[fleet.QueueID]*Queue
	Pools        map[fleet.PoolID]*Pool
	Teams        map[fleet.TeamID]*Team
	Keys         map[fleet.KeyHash]fleet.TeamID
	MaxBodyBytes int64
	byHost       map[string][]*Queue
}

// Index prepares the catalog for Find. It must be called once all queues are set.
func (c *Catalog) Index() {
	c.byHost = map[string][]*Queue{}
	for _, q := range c.Queues {
		c.byHost[q.Host] = append(c.byHost[q.Host], q)
	}
	for _, list := range c.byHost {
		slices.SortFunc(list, func(a, b *Queue) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// Find returns the queue with the longest prefix of a path on a host, and the rest of the path. It
// returns nil if no queue matches. A port in host is ignored.
func (c *Catalog) Find(host, path string) (q *Queue, rest string) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, q := range c.byHost[host] {
		if rest, ok := strings.CutPrefix(path, q.Prefix); ok {
			return q, rest
		}
	}
	return nil, ""
}
