package operator

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"

	"citronknot/fleet"
	"citronknot/note"
)

const (
	defaultPageSize = 20  // notes
	maxPageSize     = 100 // maximum number of rows requested in one read of the table service
	shortHashLength = 12  // hexadecimal digits
)

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) getStatus(*http.Request) (any, error) {
	c := s.Config()
	return WireStatus{
		Version: uint64(c.Version), Note: string(c.Note), Pools: len(c.Pools), Queues: len(c.Queues),
		Teams: len(c.Teams), Keys: len(c.Keys), Instances: len(c.Instances),
	}, nil
}

func (s *Server) getState(*http.Request) (any, error) { return s.Dump(), nil }

// getConfig returns the whole configuration as a release note that adds every object.
func (s *Server) getConfig(*http.Request) (any, error) {
	text, err := note.EncodeConfig(s.Config())
	return json.RawMessage(text), err
}

// getNotes returns a page of the history, newest first. The page ends below the version in the
// parameter before and holds at most as many notes as the parameter limit allows.
func (s *Server) getNotes(r *http.Request) (any, error) {
	query := r.URL.Query()
	newest := s.Config().Version
	limit, err := parseNumber(query, "limit", defaultPageSize, 1, maxPageSize)
	if err != nil {
		return nil, err
	}
	before, err := parseNumber(query, "before", uint64(newest)+1, 1, 1<<63)
	if err != nil {
		return nil, err
	}
	last := min(newest, fleet.Version(before-1))
	after := last - min(last, fleet.Version(limit))
	out := WireHistory{Notes: []WireSummary{}}
	if after == last {
		return out, nil
	}
	notes, err := s.Notes(r.Context(), after, last)
	if err != nil {
		return nil, err
	}
	for _, n := range slices.Backward(notes) {
		out.Notes = append(out.Notes, summarize(n))
	}
	if after > 0 {
		out.Next = uint64(after) + 1
	}
	return out, nil
}

// summarize counts the objects that a release note adds, changes and withdraws.
func summarize(releaseNote fleet.ReleaseNote) WireSummary {
	count := func(items fleet.Items) int {
		return len(items.Pools) + len(items.Queues) + len(items.Teams) + len(items.Keys) + len(items.Instances)
	}
	withdrawn := releaseNote.Withdrawn
	return WireSummary{
		Version: uint64(releaseNote.Base) + 1, Note: string(releaseNote.ID), Added: count(releaseNote.Added), Changed: count(releaseNote.Changed),
		Withdrawn: len(withdrawn.Pools) + len(withdrawn.Queues) + len(withdrawn.Teams) + len(withdrawn.Keys) + len(withdrawn.Instances),
	}
}

// parseNumber returns the query parameter called name, or defaultValue if it is absent. The
// value must be from low to high.
func parseNumber(query url.Values, name string, defaultValue, low, high uint64) (uint64, error) {
	text := query.Get(name)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n < low || n > high {
		return 0, invalid(name, text, fmt.Sprintf("%d to %d", low, high))
	}
	return n, nil
}

func (s *Server) getNote(r *http.Request) (any, error) {
	text := r.PathValue("version")
	v, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return nil, invalid("version", text, "a version number")
	}
	if v == 0 || fleet.Version(v) > s.Config().Version {
		return nil, notFound("version", text)
	}
	notes, err := s.Notes(r.Context(), fleet.Version(v)-1, fleet.Version(v))
	if err != nil {
		return nil, err
	}
	encoded, err := note.Encode(notes[0])
	return WireNote{Version: v, Note: encoded}, err
}

func (s *Server) getPools(*http.Request) (any, error) {
	c := s.Config()
	pools := make(map[fleet.PoolID]*WirePool, len(c.Pools))
	out := WirePools{Pools: make([]WirePool, 0, len(c.Pools))}
	for _, p := range valuesByID(c.Pools) {
		out.Pools = append(out.Pools, WirePool{
			ID: string(p.ID), Spare: p.Spare, MaxAbsent: p.MaxAbsent, EveryMS: int64(p.Maintenance.Every),
			DrainBoundMS: int64(p.Maintenance.DrainBound), Queues: []string{},
		})
		pools[p.ID] = &out.Pools[len(out.Pools)-1]
	}
	for _, q := range valuesByID(c.Queues) {
		if p := pools[q.Pool]; p != nil {
			p.Queues = append(p.Queues, string(q.ID))
		}
	}
	for _, in := range c.Instances {
		if p := pools[s.placement(in).Pool]; p != nil {
			p.Instances++
			p.Slots += int(in.Slots)
		}
	}
	return out, nil
}

func (s *Server) getTeams(*http.Request) (any, error) {
	c := s.Config()
	keys := make(map[fleet.TeamID]int, len(c.Teams))
	for _, key := range c.Keys {
		keys[key.Team]++
	}
	out := WireTeams{Teams: make([]WireTeam, 0, len(c.Teams))}
	for _, t := range valuesByID(c.Teams) {
		out.Teams = append(out.Teams, WireTeam{
			ID: string(t.ID), Share: int(t.Share), Limit: int(t.Limit), MaxStalenessMS: int64(t.MaxStaleness), Keys: keys[t.ID],
		})
	}
	return out, nil
}

func (s *Server) getKeys(*http.Request) (any, error) {
	c := s.Config()
	out := WireKeys{Keys: make([]WireKey, 0, len(c.Keys))}
	for _, k := range valuesByID(c.Keys) {
		out.Keys = append(out.Keys, WireKey{Hash: string(k.Hash)[:min(shortHashLength, len(k.Hash))], Team: string(k.Team)})
	}
	return out, nil
}

func (s *Server) getInstances(*http.Request) (any, error) {
	c := s.Config()
	out := WireInstances{Instances: make([]WireInstance, 0, len(c.Instances))}
	for _, in := range valuesByID(c.Instances) {
		placement := s.placement(in)
		out.Instances = append(out.Instances, WireInstance{
			ID: string(in.ID), Zone: string(in.Zone), Rack: string(in.Rack), Address: in.Address, Slots: int(in.Slots),
			Connections: in.Connections, Pool: string(placement.Pool), Phase: string(placement.Phase),
		})
	}
	return out, nil
}

func (s *Server) placement(in fleet.Instance) fleet.Placement {
	if s.Placement == nil {
		return fleet.Placement{Pool: in.Pool, Phase: fleet.Serving}
	}
	return s.Placement(in)
}

// valuesByID returns the values of m sorted by id.
func valuesByID[K ~string, V any](m map[K]V) []V {
	out := make([]V, 0, len(m))
	for _, id := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[id])
	}
	return out
}
