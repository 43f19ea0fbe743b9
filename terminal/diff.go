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

// Execute prints the changes that a release note makes.
func (c *diffCommand) Execute([]string) error {
	file, err := c.app.readNote(c.Args.File)
	if err != nil {
		return err
	}
	current, err := c.app.readConfig(c.Config)
	if err != nil {
		return err
	}
	next, err := file.merge(current)
	if err != nil {
		return err
	}
	changes, err := compareConfigs(current, next)
	if err != nil {
		return err
	}
	lines := make([]string, len(changes))
	for i, objectChange := range changes {
		lines[i] = objectChange.String()
	}
	if len(lines) == 0 {
		lines = []string{"no change"}
	}
	return c.app.print(struct {
		Base    uint64   `json:"base"`
		Changes []change `json:"changes"`
	}{uint64(current.Version), changes}, strings.Join(lines, "\n"))
}

// change is the change that a note makes to one object.
type change struct {
	Op     string        `json:"op"` // add, change or withdraw
	Kind   string        `json:"kind"`
	ID     string        `json:"id"`
	Fields []fieldChange `json:"fields,omitempty"`
}

// fieldChange is the change of one field. Old or New is nil if the field is absent on that side.
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
			fmt.Fprintf(&b, " %s: %s -> %s", f.Name, formatValue(f.Old), formatValue(f.New))
		}
	}
	return b.String()
}

// formatValue returns the text of a field's value, which is "unset" for an absent field.
func formatValue(v any) string {
	if v == nil {
		return "unset"
	}
	return fmt.Sprint(v)
}

// object holds the decoded JSON values of one object by field name.
type object map[string]any

var objectKinds = []string{"pools", "queues", "teams", "keys", "instances"}

// compareConfigs returns the changes from before to after, sorted by kind and id.
func compareConfigs(before, after *fleet.Config) ([]change, error) {
	oldObjects, err := objects(before)
	if err != nil {
		return nil, err
	}
	newObjects, err := objects(after)
	if err != nil {
		return nil, err
	}
	changes := []change{}
	for _, kind := range objectKinds {
		ids := maps.Clone(newObjects[kind])
		maps.Copy(ids, oldObjects[kind])
		for _, id := range slices.Sorted(maps.Keys(ids)) {
			if objectChange, changed := compareObject(kind, id, oldObjects[kind][id], newObjects[kind][id]); changed {
				changes = append(changes, objectChange)
			}
		}
	}
	return changes, nil
}

// compareObject returns the change of one object and whether there is one. A nil object is absent.
func compareObject(kind, id string, before, after object) (change, bool) {
	objectChange := change{Op: "change", Kind: kind, ID: id}
	switch {
	case after == nil:
		objectChange.Op = "withdraw"
		return objectChange, true
	case before == nil:
		objectChange.Op = "add"
	}
	names := maps.Clone(after)
	maps.Copy(names, before)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if name != "id" && name != "hash" && before[name] != after[name] {
			objectChange.Fields = append(objectChange.Fields, fieldChange{Name: name, Old: before[name], New: after[name]})
		}
	}
	return objectChange, objectChange.Op == "add" || len(objectChange.Fields) > 0
}

// objects returns the objects of a configuration by kind and id, with the fields that they have
// in a release note.
func objects(c *fleet.Config) (map[string]map[string]object, error) {
	text, err := note.EncodeConfig(c)
	if err != nil {
		return nil, err
	}
	var configuration struct {
		Added map[string][]object `json:"added"`
	}
	decoder := json.NewDecoder(strings.NewReader(string(text)))
	decoder.UseNumber()
	if err := decoder.Decode(&configuration); err != nil {
		return nil, err
	}
	out := make(map[string]map[string]object, len(objectKinds))
	for _, kind := range objectKinds {
		out[kind] = map[string]object{}
		for _, object := range configuration.Added[kind] {
			id := object["id"]
			if id == nil {
				id = object["hash"]
			}
			out[kind][fmt.Sprint(id)] = object
		}
	}
	return out, nil
}
