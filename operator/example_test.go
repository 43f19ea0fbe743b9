package operator_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"

	"citronknot/fleet"
	"citronknot/operator"
)

// This example checks an invalid release note, and applies a valid one.
func ExampleClient() {
	var current fleet.Current
	s := &operator.Server{
		Credential: "example-credential",
		Config:     current.Load,
		Refresh:    func(context.Context) error { return nil },
		Accept: func(_ context.Context, n fleet.ReleaseNote) (fleet.Version, error) {
			next, err := current.Load().Merge(n)
			if err == nil {
				current.Advance(next)
			}
			return n.Base + 1, err
		},
		Log: slog.New(slog.DiscardHandler),
	}
	server := httptest.NewServer(s.Handler())
	defer server.Close()

	c := &operator.Client{URL: server.URL, Credential: "example-credential"}
	ctx := context.Background()
	_, err := c.Check(ctx, []byte(`{"schema": 1, "id": "add-team", "base": 0, "added": {"teams": [{"id": "alpha", "share": 20000, "limit": 24}]}}`))
	fmt.Println(err)
	a, err := c.Apply(ctx, []byte(`{"schema": 1, "id": "add-team", "base": 0, "added": {"teams": [{"id": "alpha", "share": 2000, "limit": 24}]}}`))
	fmt.Println(a.Note, a.Version, err)
	// Output:
	// operator: status 400: invalid release note: fleet: release note "add-team": added.teams[0].share: "20000" is not accepted; accepted: 0 to 10000
	// add-team 1 <nil>
}
