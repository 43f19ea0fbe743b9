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

// postNote handles POST /v1/notes: it accepts a release note, or only checks it if the
// parameter dry_run is true.
func (s *Server) postNote(r *http.Request) (any, error) {
	dryRun, err := parseDryRun(r.URL.Query())
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, note.MaxSize+1))
	if err != nil {
		return nil, invalid("body", "", "a complete body")
	}
	if len(body) > note.MaxSize {
		problem := invalid("body", "longer", fmt.Sprintf("at most %d bytes", note.MaxSize))
		problem.Status = http.StatusRequestEntityTooLarge
		return nil, problem
	}
	releaseNote, positions, err := note.DecodeWithPositions(body)
	if err != nil {
		return nil, err
	}
	acceptedVersion, err := s.acceptNote(r.Context(), releaseNote, dryRun)
	if err != nil {
		return nil, problemOfNote(releaseNote, positions, err)
	}
	return WireAccepted{Version: uint64(acceptedVersion), Note: string(releaseNote.ID), DryRun: dryRun}, nil
}

// parseDryRun returns the value of the parameter dry_run. It rejects all other parameters,
// because a note sent with a misspelt dry_run would be applied.
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

// acceptNote checks a release note against the newest version before it is appended, because
// every member applies each note in the log. A note whose base version this process has not
// read yet is rejected with a conflict, since it would be appended unchecked.
func (s *Server) acceptNote(ctx context.Context, releaseNote fleet.ReleaseNote, dryRun bool) (fleet.Version, error) {
	if err := s.refresh(ctx); err != nil {
		return 0, err
	}
	current := s.Config()
	switch {
	case releaseNote.Base > current.Version:
		return 0, conflictAt(releaseNote.Base, current.Version, current.Note)
	case releaseNote.Base == current.Version:
		if _, err := current.Merge(releaseNote); err != nil {
			return 0, err
		}
		if dryRun {
			return releaseNote.Base + 1, nil
		}
	case dryRun:
		return s.dryRunOlderBase(ctx, releaseNote, current)
	}
	acceptedVersion, err := s.Accept(ctx, releaseNote)
	if err != nil {
		return 0, err
	}
	s.Log.Info("operator: release note accepted", "note", releaseNote.ID, "version", acceptedVersion)
	if err := s.Refresh(ctx); err != nil {
		s.Log.Warn("operator: accepted release note is not applied yet", "note", releaseNote.ID, "version", acceptedVersion, "err", err)
	}
	return acceptedVersion, nil
}

// refresh calls Refresh and converts its errors. A fault in a note of the log becomes an internal
// error, so that it is not reported as a fault of the operator's note.
func (s *Server) refresh(ctx context.Context) error {
	err := s.Refresh(ctx)
	var unavailable *rowstore.UnavailableError
	if err == nil || errors.As(err, &unavailable) {
		return err
	}
	return &Problem{
		Status: http.StatusInternalServerError, Title: "configuration not read",
		Detail: fmt.Sprintf("the release note was not accepted, because the log of notes could not be applied: %v", err),
	}
}

// dryRunOlderBase returns the result that appending a note with an older base would have: the
// note's version if exactly this note was accepted, and a conflict otherwise.
func (s *Server) dryRunOlderBase(ctx context.Context, releaseNote fleet.ReleaseNote, current *fleet.Config) (fleet.Version, error) {
	notes, err := s.Notes(ctx, releaseNote.Base, releaseNote.Base+1)
	if err != nil {
		return 0, err
	}
	equal, err := notesEqual(notes[0], releaseNote)
	if err != nil {
		return 0, err
	}
	if !equal {
		return 0, conflictAt(releaseNote.Base, current.Version, current.Note)
	}
	return releaseNote.Base + 1, nil
}

// notesEqual compares two release notes by their encoded texts.
func notesEqual(a, b fleet.ReleaseNote) (bool, error) {
	encodedA, err := note.Encode(a)
	if err != nil {
		return false, err
	}
	encodedB, err := note.Encode(b)
	return string(encodedA) == string(encodedB), eris.Wrap(err, "operator: compare notes")
}

// postDrain returns the handler that drains an instance, or returns it to service.
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
			return nil, problemOfCommand(err)
		}
		s.Log.Info("operator: drain state of instance changed", "instance", id, "drain", drain)
		return WireDrain{Instance: string(id), Drain: drain}, nil
	}
}

// ZoneLiveError reports that a zone cannot be declared lost, because members of it respond.
type ZoneLiveError struct {
	Zone    fleet.ZoneID
	Members int // number of members that respond
}

func (e *ZoneLiveError) Error() string {
	return fmt.Sprintf("operator: zone %q is not lost: %d of its members answer", e.Zone, e.Members)
}

// postZoneLost handles POST /v1/zones/{id}/lost.
func (s *Server) postZoneLost(r *http.Request) (any, error) {
	zone := fleet.ZoneID(r.PathValue("id"))
	if !hasZone(s.Config(), zone) {
		return nil, notFound("zone", string(zone))
	}
	if s.DeclareZoneLost == nil {
		return nil, &Problem{Status: http.StatusNotImplemented, Title: "not implemented", Detail: "this process does not declare zones lost"}
	}
	err := s.DeclareZoneLost(r.Context(), zone)
	var zoneLive *ZoneLiveError
	if errors.As(err, &zoneLive) {
		return nil, &Problem{Status: http.StatusConflict, Title: "zone not lost", Detail: zoneLive.Error()}
	}
	if err != nil {
		return nil, problemOfCommand(err)
	}
	s.Log.Info("operator: zone declared lost", "zone", zone)
	return WireZoneLost{Zone: string(zone)}, nil
}

// hasZone reports whether any instance of the configuration is in the zone.
func hasZone(c *fleet.Config, zone fleet.ZoneID) bool {
	for _, instance := range c.Instances {
		if instance.Zone == zone {
			return true
		}
	}
	return false
}
