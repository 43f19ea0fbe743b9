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

// ClaimAge is the age at which a claim expires, one day. A repeat of the request runs again
// after that.
const ClaimAge clock.Millis = 86_400_000

const (
	// expiryInterval is the time between two scans. With 150 teams, a pass over all key ranges
	// of all teams takes under 11 h, so that a claim is deleted within a day of its expiry.
	expiryInterval clock.Millis = 1000
	// keyRangesPerTeam is the number of scans that the claims of one team are read in: the keys
	// are hashes, so their first two hexadecimal digits split them evenly.
	keyRangesPerTeam = 256
	// maxExpiryDeletes bounds the deletes of one transaction; one row is left for the fence.
	maxExpiryDeletes = MaxRows - 1
)

// ClaimExpiry deletes expired claims in small scans. The holder of the fleet lease runs it.
type ClaimExpiry struct {
	Table *Table
	Clock clock.Clock
	Lease *Lease
	Teams func() []fleet.TeamID
	Log   *slog.Logger // nil logs nothing

	firstStep clock.Mark
	started   bool
	team      fleet.TeamID
	keyRange  int
}

// Run calls Step each second until ctx ends.
func (x *ClaimExpiry) Run(ctx context.Context) {
	runEvery(ctx, expiryInterval, func() {
		_, err := x.Step(ctx)
		logFailure(ctx, x.Log, "rowstore: expired claims not deleted", err)
	})
}

// Step reads one key range of one team's claims, deletes those that are older than ClaimAge, and
// returns their number. It does nothing while the lease is not held. It fails with
// *ConflictError or *UnavailableError.
func (x *ClaimExpiry) Step(ctx context.Context) (deleted int, err error) {
	fence, held := x.Lease.Held()
	now := x.wallTime()
	if !held {
		return 0, nil
	}
	prefix, ok := x.nextPrefix()
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
		if len(tx.Writes) == maxExpiryDeletes {
			x.keyRange-- // the next step reads the rest of this range
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

// wallTime returns the wall time of the first step plus the elapsed time since, so that a wall clock
// that is set forward meanwhile expires nothing early.
func (x *ClaimExpiry) wallTime() clock.Millis {
	if !x.started {
		x.firstStep, x.started = x.Clock.Mark(), true
	}
	return x.firstStep.Wall + x.Clock.MinElapsed(x.firstStep)
}

// nextPrefix returns the prefix of the next key range. The last range of a team is followed by
// the first of the next team.
func (x *ClaimExpiry) nextPrefix() (string, bool) {
	teams := slices.Sorted(slices.Values(x.Teams()))
	if len(teams) == 0 {
		return "", false
	}
	i, found := slices.BinarySearch(teams, x.team)
	if found && x.keyRange >= keyRangesPerTeam {
		i++
	}
	if !found || x.keyRange >= keyRangesPerTeam {
		x.keyRange = 0
	}
	x.team = teams[i%len(teams)]
	prefix := fmt.Sprintf("%s/%02x", url.PathEscape(string(x.team)), x.keyRange)
	x.keyRange++
	return prefix, true
}
