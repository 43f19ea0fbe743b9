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

// limitRoot is the row of a team without a zone. Its remainder is what no zone holds. Over all
// rows of a team, remainders and portions add up to Limit: a lowered limit makes the
// remainder negative until portions have come back.
type limitRoot struct {
	Limit  fleet.Slots   `json:"limit"`
	Config fleet.Version `json:"config"` // the configuration that the limit is from
	Free   fleet.Slots   `json:"free"`
}

// limitZone is the row of a team and a zone. Its allocation is Free and all portions.
type limitZone struct {
	Free     fleet.Slots    `json:"free"`
	Portions []limitPortion `json:"portions,omitempty"`
}

// limitPortion is what one process may run.
type limitPortion struct {
	Member fleet.MemberID `json:"member"`
	Epoch  fleet.Version  `json:"epoch"`
	Slots  fleet.Slots    `json:"slots"`
	Want   fleet.Slots    `json:"want,omitempty"` // demand, when the team is short
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

func (z *limitZone) of(in incarnation) limitPortion {
	for _, p := range z.Portions {
		if p.Member == in.id && p.Epoch == in.epoch {
			return p
		}
	}
	return limitPortion{Member: in.id, Epoch: in.epoch}
}

// set replaces the portion of one process; the change comes out of the remainder.
func (z *limitZone) set(next limitPortion) {
	old := z.of(incarnation{next.Member, next.Epoch})
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

// limitView is the rows of one team as read.
type limitView struct {
	team        fleet.TeamID
	rootVersion fleet.Version // 0 means absent
	root        limitRoot
	zones       map[fleet.ZoneID]*limitZone
	versions    map[fleet.ZoneID]fleet.Version
	was         map[Ref][]byte
}

func newLimitView(t fleet.TeamID, own fleet.ZoneID) *limitView {
	return &limitView{
		team: t, zones: map[fleet.ZoneID]*limitZone{own: {}},
		versions: map[fleet.ZoneID]fleet.Version{}, was: map[Ref][]byte{},
	}
}

// add takes in a row of the team.
func (v *limitView) add(r Row) error {
	v.was[r.Ref] = r.Value
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

// zoneIDs returns the zones in order, so that a round is repeatable.
func (v *limitView) zoneIDs() []fleet.ZoneID { return slices.Sorted(maps.Keys(v.zones)) }

// changes returns the writes that bring the table from what was read to v, with a check of
// every row written. The row of the zone always is written when it must be.
func (v *limitView) changes(always fleet.ZoneID) (checks []Check, writes []Write) {
	put := func(ref Ref, version fleet.Version, row any, force bool) {
		// A struct of strings and numbers always encodes.
		value, _ := json.Marshal(row)
		if force || !bytes.Equal(value, v.was[ref]) {
			checks = append(checks, Check{Ref: ref, Version: version})
			writes = append(writes, Write{Ref: ref, Value: value})
		}
	}
	put(limitRef(v.team, ""), v.rootVersion, v.root, false)
	for _, id := range v.zoneIDs() {
		z := v.zones[id]
		if v.versions[id] != 0 || z.Free != 0 || len(z.Portions) > 0 || id == always {
			put(limitRef(v.team, id), v.versions[id], z, id == always)
		}
	}
	return checks, writes
}
