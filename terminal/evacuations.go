package terminal

import "citronknot/operator"

type evacuationsCommand struct{ app *app }

// Execute lists the evacuated zones and what is left there, with a row for each pool that has workers in
// the zone.
func (c *evacuationsCommand) Execute([]string) error {
	return printQuery(c.app, "/v1/evacuations", func(w operator.WireEvacuations) [][]any {
		rows := [][]any{{"ZONE", "SINCE", "ROW", "POOL", "WORKERS", "RUNS"}}
		for _, e := range w.Evacuations {
			if len(e.Pools) == 0 {
				rows = append(rows, []any{e.Zone, e.Since, e.Version, "-", 0, 0})
			}
			for _, p := range e.Pools {
				rows = append(rows, []any{e.Zone, e.Since, e.Version, p.Pool, p.Workers, p.Runs})
			}
		}
		return appendMissing(rows, w.Missing)
	})
}
