package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"

	"citronknot/fleet"
	"citronknot/note"
	"citronknot/rowstore"
)

// postNote accepts a release note, or checks it with dry_run.
func (s *Server) postNote(r *http.Request) (any, error) {
	dryRun, err := parseDryRun(r.URL.Query())
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(r.Body, note.MaxSize+1))
	if err != nil {
		return nil, invalid("body", "", "a complete body")
	}
	if len(text) > note.MaxSize {
		p := invalid("body", "longer", fmt.Sprintf("at most %d bytes", note.MaxSize))
		p.Status = http.StatusRequestEntityTooLarge
		return nil, p
	}
	n, positions, err := note.DecodeWithPositions(text)
	if err != nil {
		return nil, err
	}
	v, err := s.acceptNote(r.Context(), n, dryRun)
	if err != nil {
		return nil, problemOfNote(n, positions, err)
	}
	return WireAccepted{Version: uint64(v), Note: string(n.ID), DryRun: dryRun}, nil
}

// parseDryRun refuses other parameters: a misspelt dry_run would apply the note.
func parseDryRun(q url.Values) (bool, error) {
	for name := range q {
		if name != "dry_run" {
			return false, invalid(name, q.Get(name), "no parameter but dry_run")
		}
	}
	switch v := q.Get("dry_run"); v {
	case "true":
		return true, nil
	case "", "false":
		return false, nil
	default:
		return false, invalid("dry_run", v, "true or false")
	}
}

// acceptNote checks n against the newest version before it is appended, because every member
// applies what the log holds. A note against a version that this process does not have yet is
// refused, since it could be appended unchecked.
func (s *Server) acceptNote(ctx context.Context, n fleet.ReleaseNote, dryRun bool) (fleet.Version, error) {
	if err := s.refresh(ctx); err != nil {
		return 0, err
	}
	c := s.Config()
	switch {
	case n.Base > c.Version:
		return 0, conflictAt(n.Base, c.Version, c.Note)
	case n.Base == c.Version:
		if _, err := c.Merge(n); err != nil {
			return 0, err
		}
		if dryRun {
			return n.Base + 1, nil
		}
	case dryRun:
		return s.dryRunOlder(ctx, n, c)
	}
	v, err := s.Accept(ctx, n)
	if err != nil {
		return 0, err
	}
	s.Log.Info("operator: release note accepted", "note", n.ID, "version", v)
	if err := s.Refresh(ctx); err != nil {
		s.Log.Warn("operator: accepted release note not applied yet", "note", n.ID, "version", v, "err", err)
	}
	return v, nil
}

// refresh keeps faults of notes that the log holds apart from those of the operator's note.
func (s *Server) refresh(ctx context.Context) error {
	err := s.Refresh(ctx)
	var down *rowstore.UnavailableError
	if err == nil || errors.As(err, &down) {
		return err
	}
	return &Problem{
		Status: http.StatusInternalServerError, Title: "configuration not read",
		Detail: fmt.Sprintf("the release note was not accepted, because the log of notes could not be applied: %v", err),
	}
}

// dryRunOlder answers a note with an older base as the log would: with its version if exactly
// this note was accepted, and with a conflict otherwise.
func (s *Server) dryRunOlder(ctx context.Context, n fleet.ReleaseNote, c *fleet.Config) (fleet.Version, error) {
	notes, err := s.Notes(ctx, n.Base, n.Base+1)
	if err != nil {
		return 0, err
	}
	same, err := sameNote(notes[0], n)
	if err != nil {
		return 0, err
	}
	if !same {
		return 0, conflictAt(n.Base, c.Version, c.Note)
	}
	return n.Base + 1, nil
}

func sameNote(a, b fleet.ReleaseNote) (bool, error) {
	x, err := note.Encode(a)
	if err != nil {
		return false, err
	}
	y, err := note.Encode(b)
	return string(x) == string(y), eris.Wrap(err, "operator: compare notes")
}

// postDrain takes an instance out of service, or back into it.
func (s *Server) postDrain(drain bool) handler {
	return func(r *http.Request) (any, error) {
		id := fleet.InstanceID(r.PathValue("id"))
		if _, ok := s.Config().Instances[id]; !ok {
			return nil, notFound("instance", string(id))
		}
		if s.SetDrain == nil {
			return nil, &Problem{Status: http.StatusNotImplemented, Title: "not implemented", Detail: "this process does not drain instances"}
		}
		if err := s.SetDrain(r.Context(), id, drain); err != nil {
			return nil, problemOfDrain(err)
		}
		s.Log.Info("operator: drain set", "instance", id, "drain", drain)
		return WireDrain{Instance: string(id), Drain: drain}, nil
	}
}

// ZoneLiveError reports that a zone cannot be declared lost, because its members are heard.
type ZoneLiveError struct {
	Zone    fleet.ZoneID
	Members int
}

func (e *ZoneLiveError) Error() string {
	return fmt.Sprintf("operator: zone %q is not lost: %d of its members answer", e.Zone, e.Members)
}

func (s *Server) postZoneLost(r *http.Request) (any, error) {
	zone := fleet.ZoneID(r.PathValue("id"))
	if !hasZone(s.Config(), zone) {
		return nil, notFound("zone", string(zone))
	}
	if s.DeclareZoneLost == nil {
		return nil, &Problem{Status: http.StatusNotImplemented, Title: "not implemented", Detail: "this process does not declare zones lost"}
	}
	err := s.DeclareZoneLost(r.Context(), zone)
	var live *ZoneLiveError
	if errors.As(err, &live) {
		return nil, &Problem{Status: http.StatusConflict, Title: "zone not lost", Detail: live.Error()}
	}
	if err != nil {
		return nil, problemOfDrain(err)
	}
	s.Log.Info("operator: zone declared lost", "zone", zone)
	return WireZoneLost{Zone: string(zone)}, nil
}

func hasZone(c *fleet.Config, zone fleet.ZoneID) bool {
	for _, in := range c.Instances {
		if in.Zone == zone {
			return true
		}
	}
	return false
}
