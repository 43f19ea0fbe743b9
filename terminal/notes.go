package terminal

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/jessevdk/go-flags"

	"citronknot/fleet"
	"citronknot/note"
	"citronknot/operator"
)

// noteFile is a release note read from a file.
type noteFile struct {
	text      []byte
	note      fleet.ReleaseNote
	positions note.Positions
}

// readNote reads and decodes a release note; its faults name the file.
func (a *app) readNote(name flags.Filename) (noteFile, error) {
	a.file = string(name)
	text, err := readFile(string(name))
	if err != nil {
		return noteFile{}, err
	}
	n, positions, err := note.DecodeWithPositions(text)
	var de *note.DecodeError
	if errors.As(err, &de) {
		return noteFile{}, &noteFaults{faults: de.Faults}
	}
	return noteFile{text: text, note: n, positions: positions}, err
}

// readFile reads one byte more than a note may have, so that a longer file is reported as
// such and not as cut.
func readFile(name string) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	defer func() { _ = f.Close() }()
	text, err := io.ReadAll(io.LimitReader(f, note.MaxSize+1))
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	return text, nil
}

// current reads the configuration from a file, or from the API if no file is named.
func (a *app) current(file flags.Filename) (*fleet.Config, error) {
	if file != "" {
		text, err := readFile(string(file))
		if err != nil {
			return nil, err
		}
		c, err := note.DecodeConfig(text)
		if err != nil {
			return nil, &usageError{fmt.Sprintf("%s is not a configuration: %v", file, err)}
		}
		return c, nil
	}
	client, ctx, cancel, err := a.client()
	if err != nil {
		return nil, err
	}
	defer cancel()
	return client.Config(ctx)
}

// merge applies a note to a configuration that it was written against.
func (f noteFile) merge(c *fleet.Config) (*fleet.Config, error) {
	if f.note.Base != c.Version {
		return nil, &operator.Problem{
			Status: http.StatusConflict, Title: "conflict", Head: c.Version,
			Detail: fmt.Sprintf("the release note is written against version %d, the configuration is version %d", f.note.Base, c.Version),
		}
	}
	next, err := c.Merge(f.note)
	return next, located(err, f.positions)
}

type fileArgument struct {
	File flags.Filename `positional-arg-name:"FILE" required:"true" description:"release note"`
}

type checkCommand struct {
	app    *app
	Config flags.Filename `long:"config" description:"check against this file, written by the command config, without a connection"`
	Args   fileArgument   `positional-args:"true"`
}

// Execute checks a release note against a file, or by a dry run.
func (c *checkCommand) Execute([]string) error {
	f, err := c.app.readNote(c.Args.File)
	if err != nil {
		return err
	}
	var a operator.Accepted
	if c.Config != "" {
		current, err := c.app.current(c.Config)
		if err != nil {
			return err
		}
		next, err := f.merge(current)
		if err != nil {
			return err
		}
		a = operator.Accepted{Version: next.Version, Note: next.Note}
	} else {
		client, ctx, cancel, err := c.app.client()
		if err != nil {
			return err
		}
		defer cancel()
		if a, err = client.Check(ctx, f.text); err != nil {
			return err
		}
	}
	return c.app.print(operator.WireAccepted{Version: uint64(a.Version), Note: string(a.Note), DryRun: true},
		fmt.Sprintf("release note %s has no faults; it would be version %d", a.Note, a.Version))
}

type applyCommand struct {
	app  *app
	Args fileArgument `positional-args:"true"`
}

// Execute applies a release note, and resends it while its outcome is unknown.
func (c *applyCommand) Execute([]string) error {
	f, err := c.app.readNote(c.Args.File)
	if err != nil {
		return err
	}
	client, ctx, cancel, err := c.app.client()
	if err != nil {
		return err
	}
	defer cancel()
	a, err := client.ApplyResolved(ctx, f.text)
	if err != nil {
		return err
	}
	return c.app.print(operator.WireAccepted{Version: uint64(a.Version), Note: string(a.Note)},
		fmt.Sprintf("release note %s accepted as version %d", a.Note, a.Version))
}
