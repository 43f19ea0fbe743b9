package rowstore_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"citronknot/fleet"
	"citronknot/rowstore"
	"citronknot/standin"
)

func newLog(t *testing.T) (*rowstore.ConfigLog, *standin.Platform) {
	t.Helper()
	p := &standin.Platform{}
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	c := &rowstore.Client{URL: server.URL, HTTP: server.Client()}
	return &rowstore.ConfigLog{Table: c.Table()}, p
}

// Guards against two racing notes that are both accepted, and against the refusal of a repeated
// note.
func TestAcceptOnceAndRepeat(t *testing.T) {
	l, _ := newLog(t)
	ctx := context.Background()
	first := fleet.ReleaseNote{ID: "a"}
	v, err := l.Accept(ctx, first)
	must.NoError(t, err)
	must.Eq(t, fleet.Version(1), v)
	v, err = l.Accept(ctx, first)
	must.NoError(t, err)
	must.Eq(t, fleet.Version(1), v)
	_, err = l.Accept(ctx, fleet.ReleaseNote{ID: "b"})
	var stale *rowstore.StaleBaseError
	must.True(t, errors.As(err, &stale))
	must.Eq(t, fleet.Version(1), stale.Head.Version)
}

// Guards against a note that is reported as failed, or accepted twice, when the response to its
// transaction is lost after the write took effect.
func TestAcceptReadsBackAfterLostResponse(t *testing.T) {
	l, p := newLog(t)
	p.SetFaults(standin.Faults{LoseResponses: true})
	v, err := l.Accept(context.Background(), fleet.ReleaseNote{ID: "a"})
	must.NoError(t, err)
	must.Eq(t, fleet.Version(1), v)
}
