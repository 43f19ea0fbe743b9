package terminal

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/operator"
)

type statusCommand struct{ app *app }

// Execute prints the version in force and the number of objects of each kind.
func (c *statusCommand) Execute([]string) error {
	return printQuery(c.app, "/v1/status", func(w operator.WireStatus) [][]any {
		return [][]any{
			{"version", w.Version},
			{"note", w.Note},
			{"pools", w.Pools},
			{"queues", w.Queues},
			{"teams", w.Teams},
			{"keys", w.Keys},
			{"instances", w.Instances},
		}
	})
}

type configCommand struct{ app *app }

// Execute prints the whole configuration as a release note that adds every object.
func (c *configCommand) Execute([]string) error { return c.app.printIndented("/v1/config") }

type dumpCommand struct{ app *app }

// Execute prints the state of one process.
func (c *dumpCommand) Execute([]string) error { return c.app.printIndented("/debug/state") }

type historyCommand struct {
	app    *app
	Limit  int    `long:"limit" default:"20" description:"notes in the list, 1 to 100"`
	Before uint64 `long:"before" description:"list versions below this one"`
	Args   struct {
		Version uint64 `positional-arg-name:"VERSION" description:"print this note"`
	} `positional-args:"true"`
}

// Execute lists accepted notes, newest first, or prints one.
func (c *historyCommand) Execute([]string) error {
	if c.Args.Version > 0 {
		return c.app.printIndented(fmt.Sprintf("/v1/notes/%d", c.Args.Version))
	}
	path := fmt.Sprintf("/v1/notes?limit=%d", c.Limit)
	if c.Before > 0 {
		path += fmt.Sprintf("&before=%d", c.Before)
	}
	return printQuery(c.app, path, func(w operator.WireHistory) [][]any {
		rows := [][]any{{"VERSION", "NOTE", "ADDED", "CHANGED", "WITHDRAWN"}}
		for _, n := range w.Notes {
			rows = append(rows, []any{n.Version, n.Note, n.Added, n.Changed, n.Withdrawn})
		}
		if w.Next > 0 {
			rows = append(rows, []any{fmt.Sprintf("older: --before %d", w.Next)})
		}
		return rows
	})
}

type poolsCommand struct{ app *app }

// Execute lists the pools.
func (c *poolsCommand) Execute([]string) error {
	return printQuery(c.app, "/v1/pools", func(w operator.WirePools) [][]any {
		rows := [][]any{{"POOL", "SPARE", "INSTANCES", "SLOTS", "MAX-ABSENT", "MAINTENANCE-EVERY", "DRAIN-BOUND", "QUEUES"}}
		for _, p := range w.Pools {
			rows = append(rows, []any{
				p.ID, p.Spare, p.Instances, p.Slots, p.MaxAbsent, clock.Millis(p.EveryMS).Duration(),
				clock.Millis(p.DrainBoundMS).Duration(), strings.Join(p.Queues, ","),
			})
		}
		return rows
	})
}

type teamsCommand struct{ app *app }

// Execute lists the teams.
func (c *teamsCommand) Execute([]string) error {
	return printQuery(c.app, "/v1/teams", func(w operator.WireTeams) [][]any {
		rows := [][]any{{"TEAM", "SHARE", "LIMIT", "MAX-STALENESS", "KEYS"}}
		for _, t := range w.Teams {
			rows = append(rows, []any{t.ID, t.Share, t.Limit, clock.Millis(t.MaxStalenessMS).Duration(), t.Keys})
		}
		return rows
	})
}

type instancesListCommand struct{ app *app }

// Execute lists the instances.
func (c *instancesListCommand) Execute([]string) error {
	return printQuery(c.app, "/v1/instances", func(w operator.WireInstances) [][]any {
		rows := [][]any{{"INSTANCE", "ZONE", "RACK", "ADDRESS", "SLOTS", "CONNECTIONS", "POOL", "PHASE"}}
		for _, in := range w.Instances {
			rows = append(rows, []any{in.ID, in.Zone, in.Rack, in.Address, in.Slots, in.Connections, in.Pool, in.Phase})
		}
		return rows
	})
}

type drainCommand struct {
	app   *app
	drain bool
	Args  struct {
		Instance fleet.InstanceID `positional-arg-name:"INSTANCE" required:"true"`
	} `positional-args:"true"`
}

// Execute drains or returns an instance.
func (c *drainCommand) Execute([]string) error {
	client, ctx, cancel, err := c.app.operatorClient()
	if err != nil {
		return err
	}
	defer cancel()
	if err := client.SetDrain(ctx, c.Args.Instance, c.drain); err != nil {
		return err
	}
	outcome := "returns to service"
	if c.drain {
		outcome = "is being drained"
	}
	return c.app.print(operator.WireDrain{Instance: string(c.Args.Instance), Drain: c.drain}, fmt.Sprintf("instance %s %s", c.Args.Instance, outcome))
}

type zoneLostCommand struct {
	app  *app
	Args struct {
		Zone fleet.ZoneID `positional-arg-name:"ZONE" required:"true"`
	} `positional-args:"true"`
}

// Execute declares a zone lost, which frees the limits held there.
func (c *zoneLostCommand) Execute([]string) error {
	client, ctx, cancel, err := c.app.operatorClient()
	if err != nil {
		return err
	}
	defer cancel()
	if err := client.DeclareZoneLost(ctx, c.Args.Zone); err != nil {
		return err
	}
	return c.app.print(operator.WireZoneLost{Zone: string(c.Args.Zone)}, fmt.Sprintf("zone %s is declared lost; the limits held there are free", c.Args.Zone))
}

// get returns the JSON text of a query.
func (a *app) get(path string) (json.RawMessage, error) {
	client, ctx, cancel, err := a.operatorClient()
	if err != nil {
		return nil, err
	}
	defer cancel()
	return client.Get(ctx, path)
}

// printQuery prints the response to a query unchanged as JSON, or as the table that the function
// table returns.
func printQuery[T any](a *app, path string, table func(T) [][]any) error {
	text, err := a.get(path)
	if err != nil {
		return err
	}
	var w T
	if err := json.Unmarshal(text, &w); err != nil {
		return eris.Wrap(err, "citronknot: answer")
	}
	return a.print(text, formatTable(table(w)))
}

// printIndented prints the response to a query unchanged as JSON, or as indented JSON in text
// format.
func (a *app) printIndented(path string) error {
	text, err := a.get(path)
	if err != nil {
		return err
	}
	var b bytes.Buffer
	if err := json.Indent(&b, text, "", "  "); err != nil {
		return eris.Wrap(err, "citronknot: answer")
	}
	return a.print(text, strings.TrimSpace(b.String()))
}
