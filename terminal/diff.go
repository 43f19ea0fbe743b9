package terminal

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"

	"citronknot/fleet"
	"citronknot/note"
)

type diffCommand struct {
	app    *app
	Config flags.Filename `long:"config" description:"compare with this file, written by the command config, without a connection"`
	Args   fileArgument   `positional-args:"true"`
}

// Execute prints what a release note changes.
func (c *diffCommand) Execute([]string) error {
	f, err := c.app.readNote(c.Args.File)
	if err != nil {
		return err
	}
	current, err := c.app.current(c.Config)
	if err != nil {
		return err
	}
	next, err := f.merge(current)
	if err != nil {
		return err
	}
	changes, err := compare(current, next)
	if err != nil {
		return err
	}
	lines := make([]string, len(changes))
	for i, ch := range changes {
		lines[i] = ch.String()
	}
	if len(lines) == 0 {
		lines = []string{"no change"}
	}
	return c.app.print(struct {
		Base    uint64   `json:"base"`
		Changes []change `json:"changes"`
	}{uint64(current.Version), changes}, strings.Join(lines, "\n"))
}

// change is what a note does to one object.
type change struct {
	Op     string        `json:"op"` // add, change or withdraw
	Kind   string        `json:"kind"`
	ID     string        `json:"id"`
	Fields []fieldChange `json:"fields,omitempty"`
}

// fieldChange has a nil value where the object or the field is absent.
type fieldChange struct {
	Name string `json:"name"`
	Old  any    `json:"old"`
	New  any    `json:"new"`
}

func (c change) String() string {
	sign := map[string]string{"add": "+", "change": "~", "withdraw": "-"}[c.Op]
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", sign, c.Kind, c.ID)
	for _, f := range c.Fields {
		if c.Op == "add" {
			fmt.Fprintf(&b, " %s=%v", f.Name, f.New)
		} else {
			fmt.Fprintf(&b, " %s: %s -> %s", f.Name, shown(f.Old), shown(f.New))
		}
	}
	return b.String()
}

func shown(v any) string {
	if v == nil {
		return "unset"
	}
	return fmt.Sprint(v)
}

// object is the JSON text of one object, by field.
type object map[string]any

var kinds = []string{"pools", "queues", "teams", "keys", "instances"}

func compare(before, after *fleet.Config) ([]change, error) {
	x, err := objects(before)
	if err != nil {
		return nil, err
	}
	y, err := objects(after)
	if err != nil {
		return nil, err
	}
	changes := []change{}
	for _, kind := range kinds {
		ids := maps.Clone(y[kind])
		maps.Copy(ids, x[kind])
		for _, id := range slices.Sorted(maps.Keys(ids)) {
			if ch, changed := compareObject(kind, id, x[kind][id], y[kind][id]); changed {
				changes = append(changes, ch)
			}
		}
	}
	return changes, nil
}

func compareObject(kind, id string, before, after object) (change, bool) {
	ch := change{Op: "change", Kind: kind, ID: id}
	switch {
	case after == nil:
		ch.Op = "withdraw"
		return ch, true
	case before == nil:
		ch.Op = "add"
	}
	names := maps.Clone(after)
	maps.Copy(names, before)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if name != "id" && name != "hash" && before[name] != after[name] {
			ch.Fields = append(ch.Fields, fieldChange{Name: name, Old: before[name], New: after[name]})
		}
	}
	return ch, ch.Op == "add" || len(ch.Fields) > 0
}

// objects returns the objects of a configuration by kind and id, as a release note has them.
func objects(c *fleet.Config) (map[string]map[string]object, error) {
	text, err := note.EncodeConfig(c)
	if err != nil {
		return nil, err
	}
	var w struct {
		Added map[string][]object `json:"added"`
	}
	d := json.NewDecoder(strings.NewReader(string(text)))
	d.UseNumber()
	if err := d.Decode(&w); err != nil {
		return nil, err
	}
	out := make(map[string]map[string]object, len(kinds))
	for _, kind := range kinds {
		out[kind] = map[string]object{}
		for _, o := range w.Added[kind] {
			id := o["id"]
			if id == nil {
				id = o["hash"]
			}
			out[kind][fmt.Sprint(id)] = o
		}
	}
	return out, nil
}
