package note_test

import (
	"errors"
	"flag"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"citronknot/clock"
	"citronknot/fleet"
	"citronknot/note"
)

// The seed is fixed, so that each run draws the same values. The flag -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// Guards against a faulty text being decoded without an error, and against a fault being
// reported at the wrong position.
func TestDecodeFaults(t *testing.T) {
	const head = `{"schema": 1, "id": "n", "base": 0`
	tests := []struct {
		name, text, field, accepted string
		line, column                int
	}{
		{"empty", "", "", "unexpected end", 1, 1},
		{"syntax", "{\"schema\": 1,\n  oops}", "", "JSON: invalid character", 2, 3},
		{"not an object", ` []`, "", "an object", 1, 2},
		{"trailing text", head + "}\n{}", "", "no text after", 2, 1},
		{"unknown field", head + ",\n \"teams\": []}", "teams", "one of the fields schema, id", 2, 2},
		{"field in other case", head + `, "Added": {}}`, "Added", "one of the fields", 1, 37},
		{"repeated field", head + ",\n\"base\": 1}", "base", "given once", 2, 1},
		{"missing field", `{"schema": 1, "id": "n"}`, "base", "required", 1, 1},
		{"missing field of an object", head + `, "added": {"teams": [{"id": "t", "share": 1}]}}`, "added.teams[0].limit", "required", 1, 57},
		{"wrong type", head + ",\n\"added\": {\"teams\": [{\"id\": 7, \"share\": 1, \"limit\": 1}]}}", "added.teams[0].id", "a string", 2, 28},
		{"null", head + `, "added": null}`, "added", "an object", 1, 46},
		{"not a list", head + `, "added": {"pools": {}}}`, "added.pools", "a list", 1, 56},
		{"not a truth value", head + `, "added": {"pools": [{"id": "p", "max_absent": 1, "spare": 1}]}}`, "added.pools[0].spare", "true or false", 1, 95},
		{"fraction", head + `, "added": {"pools": [{"id": "p", "max_absent": 1.5}]}}`, "added.pools[0].max_absent", "a whole number", 1, 83},
		{"too large", head + `, "added": {"pools": [{"id": "p", "max_absent": 9223372036854775808}]}}`, "added.pools[0].max_absent", "2^63-1", 1, 83},
		{"base below 0", `{"schema": 1, "id": "n", "base": -1}`, "base", "0 to 2^64-1", 1, 34},
		{"other schema", `{"schema": 2, "id": "n", "base": 0}`, "schema", "1", 1, 12},
		{"withdrawn id", head + `, "withdrawn": {"keys": [{}]}}`, "withdrawn.keys[0]", "a string", 1, 60},
		{"too deep", strings.Repeat("[", 20_000), "", "at most 16 levels", 1, 17},
		{"too long", strings.Repeat(" ", note.MaxSize+1), "", "at most 4194304 bytes", 1, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			_, err := note.Decode([]byte(tc.text))
			var de *note.DecodeError
			must.True(t, errors.As(err, &de))
			must.Len(t, 1, de.Faults, must.Sprint(err))
			f := de.Faults[0]
			must.Eq(t, tc.field, f.Field)
			must.StrContains(t, f.Accepted, tc.accepted)
			must.Eq(t, note.Position{Line: tc.line, Column: tc.column}, f.Position)
		})
	}
}

// Guards against reporting only the first of several faults, and against a report that grows
// without limit with the text.
func TestDecodeListsAllFaults(t *testing.T) {
	_, err := note.Decode([]byte(`{"schema": 3, "ID": "n", "base": "x", "added": {"pools": [1, 2]}}`))
	var de *note.DecodeError
	must.True(t, errors.As(err, &de))
	must.Len(t, 6, de.Faults)
	_, err = note.Decode([]byte(`{"added": {"pools": [` + strings.Repeat("1,", 100_000) + `1]}}`))
	must.True(t, errors.As(err, &de))
	must.Len(t, 100, de.Faults)
}

// Guards against a fault that fleet.Config.Merge reports being shown at the wrong position.
func TestPositionsOfFields(t *testing.T) {
	text := "{\"schema\": 1, \"id\": \"n\", \"base\": 0,\n\"added\": {\n \"teams\": [\n  {\"id\": \"t\", \"share\": 1, \"limit\": 2}]}}"
	_, p, err := note.DecodeWithPositions([]byte(text))
	must.NoError(t, err)
	must.Eq(t, note.Position{Line: 4, Column: 24}, p.Of("added.teams[0].share"))
	must.Eq(t, note.Position{Line: 4, Column: 3}, p.Of("added.teams[0].max_staleness_ms"))
	must.Eq(t, note.Position{Line: 3, Column: 11}, p.Of("added.teams[7].share"))
	must.Eq(t, note.Position{Line: 1, Column: 1}, p.Of("withdrawn.teams[0]"))
}

// drawReleaseNote draws a release note with arbitrary values.
func drawReleaseNote(t *rapid.T) fleet.ReleaseNote {
	anyString := rapid.String()
	millis := rapid.Custom(func(t *rapid.T) clock.Millis { return clock.Millis(rapid.Int64().Draw(t, "ms")) })
	id := func(t *rapid.T) string { return anyString.Draw(t, "id") }
	items := func(name string) fleet.Items {
		return fleet.Items{
			Pools: drawSlice(t, name, func(t *rapid.T) fleet.Pool {
				return fleet.Pool{
					ID: fleet.PoolID(id(t)), Spare: rapid.Bool().Draw(t, "spare"), MaxAbsent: rapid.Int().Draw(t, "absent"),
					Maintenance: fleet.Maintenance{Every: millis.Draw(t, "every"), DrainBound: millis.Draw(t, "drain")},
				}
			}),
			Queues: drawSlice(t, name, func(t *rapid.T) fleet.Queue {
				return fleet.Queue{
					ID: fleet.QueueID(id(t)), Pool: fleet.PoolID(id(t)), Open: rapid.Bool().Draw(t, "open"),
					Idempotent: rapid.Bool().Draw(t, "idempotent"), Urgent: rapid.Bool().Draw(t, "urgent"),
					DefaultDeadline: millis.Draw(t, "default"), MaxDeadline: millis.Draw(t, "max"), MaxWaiting: rapid.Int().Draw(t, "waiting"),
				}
			}),
			Teams: drawSlice(t, name, func(t *rapid.T) fleet.Team {
				return fleet.Team{
					ID: fleet.TeamID(id(t)), Share: fleet.Share(rapid.Int().Draw(t, "share")),
					Limit: fleet.Slots(rapid.Int().Draw(t, "limit")), MaxStaleness: millis.Draw(t, "staleness"),
				}
			}),
			Keys: drawSlice(t, name, func(t *rapid.T) fleet.Key { return fleet.Key{Hash: fleet.KeyHash(id(t)), Team: fleet.TeamID(id(t))} }),
			Instances: drawSlice(t, name, func(t *rapid.T) fleet.Instance {
				return fleet.Instance{
					ID: fleet.InstanceID(id(t)), Zone: fleet.ZoneID(id(t)), Rack: fleet.RackID(id(t)), Address: id(t),
					Slots: fleet.Slots(rapid.Int().Draw(t, "slots")), Connections: rapid.Int().Draw(t, "connections"), Pool: fleet.PoolID(id(t)),
				}
			}),
		}
	}
	return fleet.ReleaseNote{
		ID: fleet.NoteID(id(t)), Base: fleet.Version(rapid.Uint64().Draw(t, "base")), Added: items("added"), Changed: items("changed"),
		Withdrawn: fleet.Refs{
			Pools: drawSlice(t, "pools", func(t *rapid.T) fleet.PoolID { return fleet.PoolID(id(t)) }),
			Keys:  drawSlice(t, "keys", func(t *rapid.T) fleet.KeyHash { return fleet.KeyHash(id(t)) }),
		},
	}
}

// drawSlice draws at most 3 items. It returns nil in place of an empty slice, as decoding does.
func drawSlice[T any](t *rapid.T, name string, item func(*rapid.T) T) []T {
	list := rapid.SliceOfN(rapid.Custom(item), 0, 3).Draw(t, name)
	if len(list) == 0 {
		return nil
	}
	return list
}

// Guards against a field being lost or changed when a note is encoded and decoded, as it is
// between operators, the table service and members.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := drawReleaseNote(t)
		text, err := note.Encode(n)
		must.NoError(t, err)
		got, err := note.Decode(text)
		must.NoError(t, err)
		must.Eq(t, n, got)
	})
}

// Guards against a text that makes decoding panic, against a note that changes in a second
// round trip, and against faults whose order depends on the iteration order of maps.
func FuzzReleaseNote(f *testing.F) {
	for _, text := range []string{
		`{"schema": 1, "id": "n", "base": 0}`,
		`{"schema": 1, "id": "n", "base": 0, "added": {"pools": [{"id": "p", "max_absent": 1}], "keys": [{"hash": "x", "team": "t"}]}}`,
		`{"schema": 1, "id": "\u0000\"", "base": 18446744073709551615, "withdrawn": {"keys": ["a", "a"]}}`,
		`{"schema": 1e0, "id": null, "added": [[]], "x": {"y": "]"}}`,
		`[`, `{"a": "\`, "\xff",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		n, err := note.Decode(text)
		if err != nil {
			var de *note.DecodeError
			must.True(t, errors.As(err, &de))
			return
		}
		again, err := note.Encode(n)
		must.NoError(t, err)
		second, err := note.Decode(again)
		must.NoError(t, err)
		third, err := note.Encode(second)
		must.NoError(t, err)
		must.Eq(t, string(again), string(third))
		_, firstErr := (&fleet.Config{}).Merge(n)
		_, secondErr := (&fleet.Config{}).Merge(second)
		must.Eq(t, firstErr == nil, secondErr == nil)
		if firstErr != nil {
			must.Eq(t, firstErr.Error(), secondErr.Error())
		}
	})
}
