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

// Execute lists the keys.
func (c *keysListCommand) Execute([]string) error {
	return query(c.app, "/v1/keys", func(w operator.WireKeys) [][]any {
		rows := [][]any{{"HASH", "TEAM"}}
		for _, k := range w.Keys {
			rows = append(rows, []any{k.Hash, k.Team})
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

// Execute makes a key. The key is printed once and kept nowhere; the release note has its hash.
func (c *keysGrantCommand) Execute([]string) error {
	secret := rand.Text() + rand.Text() // 260 bits; the hash of a shorter key could be searched for
	hash := fleet.HashKey(secret)
	a, err := c.app.applyAtHead(func(current *fleet.Config) (fleet.ReleaseNote, error) {
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
	}{secret, string(hash), string(c.Args.Team), uint64(a.Version)}, secret)
}

type keysWithdrawCommand struct {
	app  *app
	Args struct {
		Prefix string `positional-arg-name:"HASH-PREFIX" description:"8 or more digits of the hash; without it the key is read from standard input"`
	} `positional-args:"true"`
}

const (
	minPrefix    = 8
	maxKeyLength = 4096
)

// Execute withdraws a key.
func (c *keysWithdrawCommand) Execute([]string) error {
	prefix := c.Args.Prefix
	if prefix == "" {
		text, err := io.ReadAll(io.LimitReader(c.app.stdin, maxKeyLength))
		if err != nil {
			return err
		}
		secret := strings.TrimSpace(string(text))
		if secret == "" {
			return &usageError{"no key on standard input"}
		}
		prefix = string(fleet.HashKey(secret))
	}
	if len(prefix) < minPrefix {
		return &usageError{fmt.Sprintf("hash prefix %q is not accepted; accepted: %d or more digits", prefix, minPrefix)}
	}
	var hash fleet.KeyHash
	a, err := c.app.applyAtHead(func(current *fleet.Config) (fleet.ReleaseNote, error) {
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
	}{string(hash), uint64(a.Version)}, fmt.Sprintf("key %.12s withdrawn in version %d", hash, a.Version))
}

func findKey(c *fleet.Config, prefix string) (fleet.KeyHash, error) {
	var found []fleet.KeyHash
	for h := range c.Keys {
		if strings.HasPrefix(string(h), prefix) {
			found = append(found, h)
		}
	}
	if len(found) != 1 {
		return "", &usageError{fmt.Sprintf("%d keys have a hash that begins with %.12s; accepted: a prefix of one", len(found), prefix)}
	}
	return found[0], nil
}

// noteID is unique for each command, so that a repeat is never taken for an earlier one.
func noteID(verb string, h fleet.KeyHash) fleet.NoteID {
	return fleet.NoteID(fmt.Sprintf("%s-%.12s-%s", verb, h, strings.ToLower(rand.Text()[:8])))
}

const (
	conflictAttempts = 5
	conflictWait     = 200 * time.Millisecond // grows with each attempt
)

// applyAtHead writes a note against the newest version and applies it. When another note is
// accepted first, it writes the note again, a bounded number of times.
func (a *app) applyAtHead(write func(*fleet.Config) (fleet.ReleaseNote, error)) (operator.Accepted, error) {
	client, ctx, cancel, err := a.client()
	if err != nil {
		return operator.Accepted{}, err
	}
	defer cancel()
	for attempt := 1; ; attempt++ {
		accepted, err := applyOnce(ctx, client, write)
		var p *operator.Problem
		if !errors.As(err, &p) || p.Status != http.StatusConflict || attempt == conflictAttempts {
			return accepted, err
		}
		select {
		case <-ctx.Done():
			return accepted, err
		case <-time.After(time.Duration(attempt) * conflictWait):
		}
	}
}

func applyOnce(ctx context.Context, client *operator.Client, write func(*fleet.Config) (fleet.ReleaseNote, error)) (operator.Accepted, error) {
	current, err := client.Config(ctx)
	if err != nil {
		return operator.Accepted{}, err
	}
	n, err := write(current)
	if err != nil {
		return operator.Accepted{}, err
	}
	n.Base = current.Version
	text, err := note.Encode(n)
	if err != nil {
		return operator.Accepted{}, err
	}
	return client.ApplyResolved(ctx, text)
}
