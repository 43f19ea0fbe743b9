package rowstore_test

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/fleet"
	"citronknot/rowstore"
	"citronknot/standin"
)

// Guards against a new process that starts from an incomplete configuration, and against an
// older snapshot that replaces a newer one.
func TestSnapshotRoundTrip(t *testing.T) {
	ctx := context.Background()
	server := httptest.NewServer(&standin.Platform{})
	defer server.Close()
	client := &rowstore.Client{URL: server.URL, HTTP: server.Client()}
	s := &rowstore.Snapshots{Table: client.Table(), Objects: client.Objects()}
	fence := rowstore.Check{Ref: rowstore.Ref{Table: "leases", Key: "fleet"}}
	none, err := s.Load(ctx)
	must.NoError(t, err)
	must.Nil(t, none)
	key := fleet.HashKey("secret")
	c := &fleet.Config{
		Version: 150, Note: "n",
		Pools:     map[fleet.PoolID]fleet.Pool{"p": {ID: "p", MaxAbsent: 2, Maintenance: fleet.Maintenance{Every: 3_600_000, DrainBound: 1000}}},
		Queues:    map[fleet.QueueID]fleet.Queue{"q": {ID: "q", Pool: "p", Urgent: true, DefaultDeadline: 5, MaxDeadline: 9, MaxWaiting: 3}},
		Teams:     map[fleet.TeamID]fleet.Team{"a": {ID: "a", Share: 10, Limit: 5}, "b": {ID: "b"}},
		Keys:      map[fleet.KeyHash]fleet.Key{key: {Hash: key, Team: "a"}},
		Instances: map[fleet.InstanceID]fleet.Instance{"i": {ID: "i", Zone: "z", Address: "10.0.0.1:80", Pool: "p", Slots: 8, Connections: 64}},
	}
	saved, err := s.Save(ctx, c, fence)
	must.NoError(t, err)
	must.True(t, saved)
	got, err := s.Load(ctx)
	must.NoError(t, err)
	must.Eq(t, c, got)
	old := *c
	old.Version = 149
	saved, err = s.Save(ctx, &old, fence)
	must.NoError(t, err)
	must.False(t, saved)
	fence.Version = 7
	newer := *c
	newer.Version = 400
	_, err = s.Save(ctx, &newer, fence)
	must.Error(t, err)
}
