package terminal

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"citronknot/fleet"
	"citronknot/note"
	"citronknot/operator"
)

type keysListCommand struct{ app *app }

// Execute lists the keys by shortened hash.
func (c *keysListCommand) Execute([]string) error {
	return printQuery(c.app, "/v1/keys", func(w operator.WireKeys) [][]any {
		rows := [][]any{{"HASH", "TEAM"}}
		for _, key := range w.Keys {
			rows = append(rows, []any{key.Hash, key.Team})
		}
		return rows
	})
}

type keysGrantCommand struct {
	app  *app
	Args struct {
		Team fleet.TeamID `positional-arg-name:"TEAM" required:"true"`
	} `positional-args:"true"`
}

// Execute creates a key for a team. The key is printed once and not stored; the release note
// contains only its hash.
func (c *keysGrantCommand) Execute([]string) error {
	secret := rand.Text() + rand.Text() // 260 bits; a shorter key could be found from its hash by search
	hash := fleet.HashKey(secret)
	accepted, err := c.app.applyToNewest(func(current *fleet.Config) (fleet.ReleaseNote, error) {
		if _, ok := current.Teams[c.Args.Team]; !ok {
			return fleet.ReleaseNote{}, &usageError{fmt.Sprintf("team %q does not exist", c.Args.Team)}
		}
		return fleet.ReleaseNote{
			ID:    noteID("grant", hash),
			Added: fleet.Items{Keys: []fleet.Key{{Hash: hash, Team: c.Args.Team}}},
		}, nil
	})
	if err != nil {
		return eris.Wrapf(err, "the key with hash %.12s is not handed out", hash)
	}
	return c.app.print(struct {
		Key     string `json:"key"`
		Hash    string `json:"hash"`
		Team    string `json:"team"`
		Version uint64 `json:"version"`
	}{secret, string(hash), string(c.Args.Team), uint64(accepted.Version)}, secret)
}

type keysWithdrawCommand struct {
	app  *app
	Args struct {
		Prefix string `positional-arg-name:"HASH-PREFIX" description:"8 or more digits of the hash; without it the key is read from standard input"`
	} `positional-args:"true"`
}

const (
	minHashPrefixLength = 8    // hexadecimal digits
	maxKeyInputSize     = 4096 // bytes
)

// Execute withdraws the key with the given hash prefix, or the key on standard input.
func (c *keysWithdrawCommand) Execute([]string) error {
	prefix := c.Args.Prefix
	if prefix == "" {
		text, err := io.ReadAll(io.LimitReader(c.app.stdin, maxKeyInputSize))
		if err != nil {
			return err
		}
		secret := strings.TrimSpace(string(text))
		if secret == "" {
			return &usageError{"no key on standard input"}
		}
		prefix = string(fleet.HashKey(secret))
	}
	if len(prefix) < minHashPrefixLength {
		return &usageError{fmt.Sprintf("hash prefix %q is not accepted; accepted: %d or more digits", prefix, minHashPrefixLength)}
	}
	var hash fleet.KeyHash
	accepted, err := c.app.applyToNewest(func(current *fleet.Config) (fleet.ReleaseNote, error) {
		var err error
		hash, err = findKey(current, prefix)
		return fleet.ReleaseNote{ID: noteID("withdraw", hash), Withdrawn: fleet.Refs{Keys: []fleet.KeyHash{hash}}}, err
	})
	if err != nil {
		return err
	}
	return c.app.print(struct {
		Hash    string `json:"hash"`
		Version uint64 `json:"version"`
	}{string(hash), uint64(accepted.Version)}, fmt.Sprintf("key %.12s withdrawn in version %d", hash, accepted.Version))
}

// findKey returns the hash that begins with prefix. It fails unless there is exactly one.
func findKey(c *fleet.Config, prefix string) (fleet.KeyHash, error) {
	var found []fleet.KeyHash
	for hash := range c.Keys {
		if strings.HasPrefix(string(hash), prefix) {
			found = append(found, hash)
		}
	}
	if len(found) != 1 {
		return "", &usageError{fmt.Sprintf("%d keys have a hash that begins with %.12s; accepted: a prefix of one", len(found), prefix)}
	}
	return found[0], nil
}

// noteID returns an id that is unique for each command, so that the note of a repeated command is
// not taken for a retry of an earlier one.
func noteID(verb string, hash fleet.KeyHash) fleet.NoteID {
	return fleet.NoteID(fmt.Sprintf("%s-%.12s-%s", verb, hash, strings.ToLower(rand.Text()[:8])))
}

const (
	applyAttempts     = 5
	conflictRetryWait = 200 * time.Millisecond // multiplied by the number of the attempt
)

// applyToNewest builds a note based on the newest version and applies it. If another note is
// accepted first, it rebuilds the note and retries, with applyAttempts attempts in all.
func (a *app) applyToNewest(buildNote func(*fleet.Config) (fleet.ReleaseNote, error)) (operator.Accepted, error) {
	client, ctx, cancel, err := a.operatorClient()
	if err != nil {
		return operator.Accepted{}, err
	}
	defer cancel()
	for attempt := 1; ; attempt++ {
		accepted, err := applyOnce(ctx, client, buildNote)
		var problem *operator.Problem
		if !errors.As(err, &problem) || problem.Status != http.StatusConflict || attempt == applyAttempts {
			return accepted, err
		}
		select {
		case <-ctx.Done():
			return accepted, err
		case <-time.After(time.Duration(attempt) * conflictRetryWait):
		}
	}
}

// applyOnce makes one attempt of applyToNewest.
func applyOnce(ctx context.Context, client *operator.Client, buildNote func(*fleet.Config) (fleet.ReleaseNote, error)) (operator.Accepted, error) {
	current, err := client.Config(ctx)
	if err != nil {
		return operator.Accepted{}, err
	}
	releaseNote, err := buildNote(current)
	if err != nil {
		return operator.Accepted{}, err
	}
	releaseNote.Base = current.Version
	text, err := note.Encode(releaseNote)
	if err != nil {
		return operator.Accepted{}, err
	}
	return client.ApplyResolved(ctx, text)
}
