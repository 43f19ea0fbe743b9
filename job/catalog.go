package job

import (
	"net"
	"slices"
	"strings"

	"citronknot/clock"
	"citronknot/fleet"
)

// Queue is where callers hand jobs in.
type Queue struct {
	ID       fleet.QueueID
	Host     string
	Prefix   string // of the path; the longest that fits names the queue
	Pool     fleet.PoolID
	Open     bool // takes jobs without a key
	Priority int  // 0 comes first
	Attempts int  // failures of a task until its job fails
	Stretch  float64
	Slack    clock.Millis // a job's objective is Stretch times its chain and Slack
	Timeout  clock.Millis // of one call
	Advice   *Advice      // nil if any worker may run the steps
}

// Advice says that an adviser names the workers that may run a step of a queue.
type Advice struct {
	Decide clock.Millis // time of one call
	Each   clock.Millis // more for each worker asked about
	Valid  clock.Millis // how long an answer may be used
}

// Pool is a set of workers that serves queues.
type Pool struct {
	ID         fleet.PoolID
	Spare      bool // its instances are off and cost nothing
	Guarded    bool // its workers refuse what does not fit
	HealthPath string
	MaxConns   int
}

// Team is a customer.
type Team struct {
	ID     fleet.TeamID
	Weight float64
	Cap    Resources // what may run at once; 0 in a dimension means no limit
}

// Catalog is one version of the configuration under which jobs are accepted. It is immutable.
type Catalog struct {
	Version      fleet.Version
	Queues       map[fleet.QueueID]*Queue
	Pools        map[fleet.PoolID]*Pool
	Teams        map[fleet.TeamID]*Team
	Keys         map[fleet.KeyHash]fleet.TeamID
	MaxBodyBytes int64
	byHost       map[string][]*Queue
}

// Index prepares the catalog for Find.
func (c *Catalog) Index() {
	c.byHost = map[string][]*Queue{}
	for _, q := range c.Queues {
		c.byHost[q.Host] = append(c.byHost[q.Host], q)
	}
	for _, list := range c.byHost {
		slices.SortFunc(list, func(a, b *Queue) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// Find returns the queue of a path on a host and the rest of the path, or nil.
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
