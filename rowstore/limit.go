package rowstore

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/url"
	"slices"

	"github.com/rotisserie/eris"

	"citronknot/fleet"
)

// limitRoot is the row of a team without a zone. Free is the remainder that no zone holds. Over
// all rows of a team, remainders and portions add up to Limit: a lowered limit makes the
// remainder negative until portions have been returned.
type limitRoot struct {
	Limit  fleet.Slots   `json:"limit"`
	Config fleet.Version `json:"config"` // version of the configuration that the limit is from
	Free   fleet.Slots   `json:"free"`
}

// limitZone is the row of a team and a zone. The zone's allocation is the sum of Free and all
// portions.
type limitZone struct {
	Free     fleet.Slots    `json:"free"`
	Portions []limitPortion `json:"portions,omitempty"`
}

// limitPortion is the number of requests of a team that one process may run.
type limitPortion struct {
	Member fleet.MemberID `json:"member"`
	Epoch  fleet.Version  `json:"epoch"`
	Slots  fleet.Slots    `json:"slots"`
	Want   fleet.Slots    `json:"want,omitempty"` // demand in slots, recorded while the team is short of slots
}

// limitRef names the row of a team and a zone; the root row has no zone.
func limitRef(t fleet.TeamID, z fleet.ZoneID) Ref {
	return Ref{Table: "limits", Key: limitPrefix(t) + url.PathEscape(string(z))}
}

func limitPrefix(t fleet.TeamID) string { return url.PathEscape(string(t)) + "/" }

func (z *limitZone) total() (slots, want fleet.Slots) {
	slots = z.Free
	for _, p := range z.Portions {
		slots += p.Slots
		want += max(p.Want, p.Slots)
	}
	return slots, want
}

func (z *limitZone) portionOf(in incarnation) limitPortion {
	for _, p := range z.Portions {
		if p.Member == in.id && p.Epoch == in.epoch {
			return p
		}
	}
	return limitPortion{Member: in.id, Epoch: in.epoch}
}

// setPortion replaces the portion of one process. The difference comes out of the zone's
// remainder.
func (z *limitZone) setPortion(next limitPortion) {
	old := z.portionOf(incarnation{next.Member, next.Epoch})
	z.Free += old.Slots - next.Slots
	kept := make([]limitPortion, 0, len(z.Portions)+1)
	for _, p := range z.Portions {
		if p.Member != next.Member || p.Epoch != next.Epoch {
			kept = append(kept, p)
		}
	}
	if next.Slots != 0 || next.Want != 0 {
		kept = append(kept, next)
	}
	z.Portions = kept
}

// limitView holds the rows of one team as read, and the changes that a round makes to them.
type limitView struct {
	team        fleet.TeamID
	rootVersion fleet.Version // 0 means absent
	root        limitRoot
	zones       map[fleet.ZoneID]*limitZone
	versions    map[fleet.ZoneID]fleet.Version
	readValues  map[Ref][]byte
}

func newLimitView(t fleet.TeamID, own fleet.ZoneID) *limitView {
	return &limitView{
		team: t, zones: map[fleet.ZoneID]*limitZone{own: {}},
		versions: map[fleet.ZoneID]fleet.Version{}, readValues: map[Ref][]byte{},
	}
}

// addRow decodes a row of the team into v.
func (v *limitView) addRow(r Row) error {
	v.readValues[r.Ref] = r.Value
	zone, err := url.PathUnescape(r.Key[len(limitPrefix(v.team)):])
	if err != nil {
		return eris.Wrapf(err, "rowstore: limit %s", r.Key)
	}
	if zone == "" {
		v.rootVersion = r.Version
		return eris.Wrapf(json.Unmarshal(r.Value, &v.root), "rowstore: limit %s", r.Key)
	}
	z := &limitZone{}
	v.zones[fleet.ZoneID(zone)], v.versions[fleet.ZoneID(zone)] = z, r.Version
	return eris.Wrapf(json.Unmarshal(r.Value, z), "rowstore: limit %s", r.Key)
}

// zoneIDs returns the zones in order, so that a round is deterministic.
func (v *limitView) zoneIDs() []fleet.ZoneID { return slices.Sorted(maps.Keys(v.zones)) }

// changes returns the writes that turn the rows as read into those of v, with a check of every
// row that is written. The row of forcedZone is written even if it has not changed.
func (v *limitView) changes(forcedZone fleet.ZoneID) (checks []Check, writes []Write) {
	put := func(ref Ref, version fleet.Version, row any, force bool) {
		// A struct of strings and numbers always encodes.
		value, _ := json.Marshal(row)
		if force || !bytes.Equal(value, v.readValues[ref]) {
			checks = append(checks, Check{Ref: ref, Version: version})
			writes = append(writes, Write{Ref: ref, Value: value})
		}
	}
	put(limitRef(v.team, ""), v.rootVersion, v.root, false)
	for _, id := range v.zoneIDs() {
		z := v.zones[id]
		if v.versions[id] != 0 || z.Free != 0 || len(z.Portions) > 0 || id == forcedZone {
			put(limitRef(v.team, id), v.versions[id], z, id == forcedZone)
		}
	}
	return checks, writes
}
