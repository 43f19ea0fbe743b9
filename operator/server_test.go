package operator_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/fleet"
	"citronknot/note"
	"citronknot/operator"
	"citronknot/peer"
	"citronknot/rowstore"
	"citronknot/standin"
)

const credential = "test-credential"

// fixture is a simulated platform on which several members can serve the administration API.
type fixture struct {
	platform           *standin.Platform
	loseNextCommit     atomic.Bool  // the next commit takes effect, its response is lost, and later calls fail
	readsBeforeFailure atomic.Int64 // number of calls that still succeed while failing is set
	failing            atomic.Bool
	url                string
}

func (r *fixture) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/v1/transactions" && r.loseNextCommit.CompareAndSwap(true, false) {
		r.platform.ServeHTTP(httptest.NewRecorder(), req)
		r.failing.Store(true)
		panic(http.ErrAbortHandler)
	}
	if r.failing.Load() && r.readsBeforeFailure.Add(-1) < 0 {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	r.platform.ServeHTTP(w, req)
}

func newFixture(t testing.TB) *fixture {
	t.Helper()
	r := &fixture{platform: &standin.Platform{}}
	server := httptest.NewServer(r)
	t.Cleanup(server.Close)
	r.url = server.URL
	return r
}

// startMember starts a member's administration API and returns a client of it. If change is not
// nil, it may modify the server first.
func (r *fixture) startMember(t testing.TB, change func(*operator.Server)) *operator.Client {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	current := &fleet.Current{}
	configLog := &rowstore.ConfigLog{Table: (&rowstore.Client{URL: r.url}).Table()}
	follower := &peer.Follower{ConfigLog: configLog, Current: current, Logger: log}
	s := &operator.Server{
		Credential: credential, Config: current.Load, Accept: configLog.Accept, Refresh: follower.Refresh, Notes: configLog.Notes,
		Dump: func() any { return struct{}{} }, Ready: func() bool { return true }, Log: log,
	}
	if change != nil {
		change(s)
	}
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return &operator.Client{URL: server.URL, Credential: credential}
}

func teamNote(t testing.TB, id string, base int) []byte {
	t.Helper()
	text, err := note.Encode(fleet.ReleaseNote{
		ID: fleet.NoteID(id), Base: fleet.Version(base), Added: fleet.Items{Teams: []fleet.Team{{ID: fleet.TeamID(id), Share: 10, Limit: 1}}},
	})
	must.NoError(t, err)
	return text
}

func problem(t testing.TB, err error) *operator.Problem {
	t.Helper()
	var p *operator.Problem
	must.True(t, errors.As(err, &p), must.Sprint(err))
	return p
}

// Guards against two members accepting different notes for the same version, and against both
// of two concurrent notes being rejected.
func TestRacingOperators(t *testing.T) {
	r := newFixture(t)
	members := []*operator.Client{r.startMember(t, nil), r.startMember(t, nil)}
	for base := range 20 {
		var wg sync.WaitGroup
		errs := make([]error, len(members))
		for i, m := range members {
			text := teamNote(t, fmt.Sprintf("n%d-%d", base, i), base)
			wg.Go(func() { _, errs[i] = m.Apply(context.Background(), text) })
		}
		wg.Wait()
		if errs[0] != nil {
			errs[0], errs[1] = errs[1], errs[0]
		}
		must.NoError(t, errs[0])
		p := problem(t, errs[1])
		must.Eq(t, http.StatusConflict, p.Status)
		must.Eq(t, fleet.Version(base+1), p.Head)
	}
}

// Guards against a retry of an accepted note being rejected, applied twice, or confused with
// another note of the same id.
func TestResentNoteGetsTheSameResponse(t *testing.T) {
	m := newFixture(t).startMember(t, nil)
	ctx := context.Background()
	first, err := m.Apply(ctx, teamNote(t, "a", 0))
	must.NoError(t, err)
	_, err = m.Apply(ctx, teamNote(t, "b", 1))
	must.NoError(t, err)
	for _, send := range []func(context.Context, []byte) (operator.Accepted, error){m.Apply, m.Check} {
		again, err := send(ctx, teamNote(t, "a", 0))
		must.NoError(t, err)
		must.Eq(t, first, again)
		_, err = send(ctx, []byte(`{"schema": 1, "id": "a", "base": 0}`))
		must.Eq(t, fleet.Version(2), problem(t, err).Head)
	}
}

// Guards against a note being reported as rejected when it was committed but the response of
// the table service was lost, and against a later retry of it being rejected.
func TestLostResponse(t *testing.T) {
	for reads := range 3 {
		t.Run(fmt.Sprintf("%d reads succeed", reads), func(t *testing.T) {
			r := newFixture(t)
			m := r.startMember(t, nil)
			r.readsBeforeFailure.Store(int64(reads))
			r.loseNextCommit.Store(true)
			_, err := m.Apply(context.Background(), teamNote(t, "a", 0))
			if reads < 2 { // two reads verify the outcome: of the head and of the note
				p := problem(t, err)
				must.Eq(t, http.StatusServiceUnavailable, p.Status)
				must.True(t, p.MaybeAccepted)
				must.StrContains(t, p.Detail, "GET /v1/notes/1")
			} else {
				must.NoError(t, err)
			}
			r.failing.Store(false)
			accepted, err := m.ApplyResolved(context.Background(), teamNote(t, "a", 0))
			must.NoError(t, err)
			must.Eq(t, fleet.Version(1), accepted.Version)
		})
	}
}

// Guards against a retry that fails for another reason being reported as the outcome of the
// note, when the outcome of an earlier attempt is unknown.
func TestFailedRetriesKeepTheOutcomeUnknown(t *testing.T) {
	r := newFixture(t)
	m := r.startMember(t, nil)
	r.loseNextCommit.Store(true)
	_, err := m.ApplyResolved(context.Background(), teamNote(t, "a", 0))
	var unknown *operator.UnknownOutcomeError
	must.True(t, errors.As(err, &unknown))
	must.False(t, problem(t, err).MaybeAccepted)
	_, err = (&operator.Client{URL: "http://127.0.0.1:1"}).ApplyResolved(context.Background(), nil)
	must.False(t, errors.As(err, &unknown))
}

// Guards against an unknown outcome being reported for a note that cannot have been accepted,
// because the table service was down.
func TestTableServiceDown(t *testing.T) {
	r := newFixture(t)
	m := r.startMember(t, nil)
	r.platform.SetFaults(standin.Faults{Down: true})
	_, err := m.Apply(context.Background(), teamNote(t, "a", 0))
	p := problem(t, err)
	must.Eq(t, http.StatusServiceUnavailable, p.Status)
	must.False(t, p.MaybeAccepted)
	must.StrContains(t, p.Detail, "was not accepted")
}

// Guards against a note being appended unchecked when its base is a version that another member
// created after the refresh, so that the compare-and-set of the head would succeed.
func TestNoteBasedOnUnreadVersionIsRefused(t *testing.T) {
	r := newFixture(t)
	other := r.startMember(t, nil)
	m := r.startMember(t, func(s *operator.Server) {
		refresh := s.Refresh
		s.Refresh = func(ctx context.Context) error {
			err := refresh(ctx)
			_, _ = other.Apply(ctx, teamNote(t, "other", 0))
			return err
		}
	})
	_, err := m.Apply(context.Background(), []byte(`{"schema": 1, "id": "bad", "base": 1, "withdrawn": {"pools": ["x"]}}`))
	must.Eq(t, http.StatusConflict, problem(t, err).Status)
}

// Guards against a dry run that writes, and against a misspelt dry_run that applies the note.
func TestDryRunWritesNothing(t *testing.T) {
	r := newFixture(t)
	m := r.startMember(t, nil)
	ctx := context.Background()
	accepted, err := m.Check(ctx, teamNote(t, "a", 0))
	must.NoError(t, err)
	must.Eq(t, fleet.Version(1), accepted.Version)
	for _, query := range []string{"dryrun=true", "dry_run=yes"} {
		resp, err := http.DefaultClient.Do(request(t, m, http.MethodPost, "/v1/notes?"+query, string(teamNote(t, "a", 0))))
		must.NoError(t, err)
		resp.Body.Close()
		must.Eq(t, http.StatusBadRequest, resp.StatusCode)
	}
	must.Eq(t, 0, r.platform.Writes.Load())
}

// Guards against faults that lack the field, the accepted values or the position in the text.
func TestFaultsHavePositions(t *testing.T) {
	m := newFixture(t).startMember(t, nil)
	_, err := m.Apply(context.Background(), []byte("{\"schema\": 1, \"id\": \"n\", \"base\": 0,\n\"withdrawn\": {\"teams\": [\"x\"]}}"))
	p := problem(t, err)
	must.Eq(t, http.StatusBadRequest, p.Status)
	must.Eq(t, []note.Fault{{
		Position: note.Position{Line: 2, Column: 25},
		Fault:    fleet.Fault{Field: "withdrawn.teams[0]", Value: "x", Accepted: "an id that exists"},
	}}, p.Faults)
}

// Guards against pages of the history that omit or repeat a note.
func TestHistoryPages(t *testing.T) {
	m := newFixture(t).startMember(t, nil)
	ctx := context.Background()
	for i := range 5 {
		_, err := m.Apply(ctx, teamNote(t, fmt.Sprint("n", i), i))
		must.NoError(t, err)
	}
	var got []string
	path := "/v1/notes?limit=2"
	for range 3 {
		var page operator.WireHistory
		get(t, m, path, &page)
		for _, n := range page.Notes {
			got = append(got, fmt.Sprintf("%d %s %d", n.Version, n.Note, n.Added))
		}
		path = fmt.Sprintf("/v1/notes?limit=2&before=%d", page.Next)
	}
	must.Eq(t, []string{"5 n4 1", "4 n3 1", "3 n2 1", "2 n1 1", "1 n0 1"}, got)
	var one operator.WireNote
	get(t, m, "/v1/notes/3", &one)
	must.Eq(t, string(teamNote(t, "n2", 2)), string(one.Note))
}

// Guards against a drain of an unknown instance, and against draining an instance that should
// return to service or the reverse.
func TestDrainAndReturn(t *testing.T) {
	var calls []string
	var failure error
	m := newFixture(t).startMember(t, func(s *operator.Server) {
		s.SetDrain = func(_ context.Context, id fleet.InstanceID, drain bool) error {
			calls = append(calls, fmt.Sprintf("%s %t", id, drain))
			return failure
		}
	})
	ctx := context.Background()
	_, err := m.Apply(ctx, []byte(fullNote))
	must.NoError(t, err)
	must.NoError(t, m.SetDrain(ctx, "i1", true))
	must.NoError(t, m.SetDrain(ctx, "i1", false))
	must.Eq(t, http.StatusNotFound, problem(t, m.SetDrain(ctx, "none", true)).Status)
	must.Eq(t, []string{"i1 true", "i1 false"}, calls)
	failure = &rowstore.ConflictError{}
	must.Eq(t, http.StatusConflict, problem(t, m.SetDrain(ctx, "i1", true)).Status)
	failure = &rowstore.UnavailableError{OutcomeUnknown: true}
	must.StrContains(t, problem(t, m.SetDrain(ctx, "i1", true)).Detail, "send it again")
}

// Guards against freeing the limits held in a zone whose members still respond, and against
// accepting an unknown zone as lost.
func TestZoneLost(t *testing.T) {
	var lost []fleet.ZoneID
	var failure error
	m := newFixture(t).startMember(t, func(s *operator.Server) {
		s.DeclareZoneLost = func(_ context.Context, zone fleet.ZoneID) error {
			lost = append(lost, zone)
			return failure
		}
	})
	ctx := context.Background()
	_, err := m.Apply(ctx, []byte(fullNote))
	must.NoError(t, err)
	must.NoError(t, m.DeclareZoneLost(ctx, "z"))
	must.Eq(t, http.StatusNotFound, problem(t, m.DeclareZoneLost(ctx, "none")).Status)
	must.Eq(t, []fleet.ZoneID{"z"}, lost)
	failure = &operator.ZoneLiveError{Zone: "z", Members: 2}
	p := problem(t, m.DeclareZoneLost(ctx, "z"))
	must.Eq(t, http.StatusConflict, p.Status)
	must.StrContains(t, p.Detail, "2 of its members")
	failure = &rowstore.UnavailableError{}
	must.Eq(t, http.StatusServiceUnavailable, problem(t, m.DeclareZoneLost(ctx, "z")).Status)
}

const fullNote = `{"schema": 1, "id": "full", "base": 0, "added": {
  "pools": [{"id": "p", "max_absent": 1}, {"id": "spare", "spare": true, "max_absent": 0}],
  "queues": [{"id": "q", "pool": "p", "default_deadline_ms": 1000, "max_deadline_ms": 2000, "max_waiting": 5}],
  "teams": [{"id": "t", "share": 500, "limit": 7}],
  "keys": [{"hash": "20ac218dec4c0d7d3266cd7c48b0e60db4e14f7429a268b77b536aacfc570def", "team": "t"}],
  "instances": [{"id": "i1", "zone": "z", "address": "10.0.0.1:80", "slots": 8, "connections": 64, "pool": "p"}]}}`

// Guards against queries that omit objects, and against lists that contain whole key hashes.
func TestQueries(t *testing.T) {
	m := newFixture(t).startMember(t, nil)
	_, err := m.Apply(context.Background(), []byte(fullNote))
	must.NoError(t, err)
	for path, want := range map[string]string{
		"/v1/status":    `{"version":1,"note":"full","pools":2,"queues":1,"teams":1,"keys":1,"instances":1}`,
		"/v1/pools":     `{"pools":[{"id":"p","spare":false,"max_absent":1,"maintenance_every_ms":0,"drain_bound_ms":0,"queues":["q"],"instances":1,"slots":8},{"id":"spare","spare":true,"max_absent":0,"maintenance_every_ms":0,"drain_bound_ms":0,"queues":[],"instances":0,"slots":0}]}`,
		"/v1/teams":     `{"teams":[{"id":"t","share":500,"limit":7,"max_staleness_ms":0,"keys":1}]}`,
		"/v1/keys":      `{"keys":[{"hash":"20ac218dec4c","team":"t"}]}`,
		"/v1/instances": `{"instances":[{"id":"i1","zone":"z","rack":"","address":"10.0.0.1:80","slots":8,"connections":64,"pool":"p","phase":"serving"}]}`,
	} {
		text, err := m.Get(context.Background(), path)
		must.NoError(t, err)
		must.Eq(t, want, strings.TrimSpace(string(text)))
	}
	c, err := m.Config(context.Background())
	must.NoError(t, err)
	must.Eq(t, fleet.Version(1), c.Version)
	must.MapLen(t, 1, c.Keys)
}
