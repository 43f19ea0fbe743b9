package rowstore

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/url"
	"slices"

	"citronknot/clock"
	"citronknot/fleet"
)

// ClaimAge is the age at which a claim expires. A repeat of a request after that runs again.
const ClaimAge clock.Millis = 86_400_000

const (
	// expiryEvery is the time between two scans. With 150 teams a pass over all parts of all
	// teams takes under 11 h, so that a claim is deleted within a day of its expiry.
	expiryEvery clock.Millis = 1000
	// expiryParts is the number of scans that the claims of one team are read in: the keys are
	// hashes, so their first two hexadecimal digits split them evenly.
	expiryParts = 256
	// expiryDeletes bounds the deletes of one transaction; one row is left for the fence.
	expiryDeletes = MaxRows - 1
)

// ClaimExpiry deletes expired claims in small scans. The holder of the fleet lease runs it.
type ClaimExpiry struct {
	Table *Table
	Clock clock.Clock
	Lease *Lease
	Teams func() []fleet.TeamID
	Log   *slog.Logger // nil logs nothing

	mark   clock.Mark
	marked bool
	team   fleet.TeamID
	part   int
}

// Run takes a step each second until ctx ends.
func (x *ClaimExpiry) Run(ctx context.Context) {
	every(ctx, expiryEvery, func() {
		_, err := x.Step(ctx)
		warn(ctx, x.Log, "rowstore: claims not expired", err)
	})
}

// Step reads one part of one team's claims and deletes those that are older than a day. It
// does nothing while the lease is not held.
func (x *ClaimExpiry) Step(ctx context.Context) (deleted int, err error) {
	fence, held := x.Lease.Held()
	now := x.wall()
	if !held {
		return 0, nil
	}
	prefix, ok := x.next()
	if !ok {
		return 0, nil
	}
	rows, err := x.Table.Read(ctx, Query{Scans: []Scan{{Table: "claims", Prefix: prefix}}})
	if err != nil {
		return 0, err
	}
	tx := Transaction{Checks: []Check{fence}}
	for _, r := range rows {
		var w wireClaim
		if json.Unmarshal(r.Value, &w) != nil || now-clock.Millis(w.CreatedMS) < ClaimAge {
			continue
		}
		if len(tx.Writes) == expiryDeletes {
			x.part-- // the rest of this part is next
			break
		}
		tx.Checks = append(tx.Checks, Check{Ref: r.Ref, Version: r.Version})
		tx.Writes = append(tx.Writes, Write{Ref: r.Ref, Delete: true})
	}
	if len(tx.Writes) == 0 {
		return 0, nil
	}
	if _, err := x.Table.Transact(ctx, tx); err != nil {
		return 0, err
	}
	return len(tx.Writes), nil
}

// wall returns the wall time at the first step plus the smaller elapsed time since, so that a
// wall clock that is set forward meanwhile expires nothing early.
func (x *ClaimExpiry) wall() clock.Millis {
	if !x.marked {
		x.mark, x.marked = x.Clock.Mark(), true
	}
	return x.mark.Wall + x.Clock.AtMost(x.mark)
}

// next returns the prefix of the next part, after the last part the first of the next team.
func (x *ClaimExpiry) next() (string, bool) {
	teams := slices.Sorted(slices.Values(x.Teams()))
	if len(teams) == 0 {
		return "", false
	}
	i, found := slices.BinarySearch(teams, x.team)
	if found && x.part >= expiryParts {
		i++
	}
	if !found || x.part >= expiryParts {
		x.part = 0
	}
	x.team = teams[i%len(teams)]
	prefix := fmt.Sprintf("%s/%02x", url.PathEscape(string(x.team)), x.part)
	x.part++
	return prefix, true
}
