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

// noteFile is a decoded release note with its text and the positions of its fields.
type noteFile struct {
	text      []byte
	note      fleet.ReleaseNote
	positions note.Positions
}

// readNote reads and decodes a release note. Faults are then reported with the name of the file.
func (a *app) readNote(name flags.Filename) (noteFile, error) {
	a.noteFileName = string(name)
	text, err := readFile(string(name))
	if err != nil {
		return noteFile{}, err
	}
	releaseNote, positions, err := note.DecodeWithPositions(text)
	var decodeErr *note.DecodeError
	if errors.As(err, &decodeErr) {
		return noteFile{}, &noteFaultsError{faults: decodeErr.Faults}
	}
	return noteFile{text: text, note: releaseNote, positions: positions}, err
}

// readFile reads at most one byte more than the maximum size of a note, so that a longer file is
// reported as too long instead of being truncated.
func readFile(name string) ([]byte, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	defer func() { _ = file.Close() }()
	text, err := io.ReadAll(io.LimitReader(file, note.MaxSize+1))
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	return text, nil
}

// readConfig reads the configuration from a file, or from the API if file is empty.
func (a *app) readConfig(file flags.Filename) (*fleet.Config, error) {
	if file != "" {
		text, err := readFile(string(file))
		if err != nil {
			return nil, err
		}
		config, err := note.DecodeConfig(text)
		if err != nil {
			return nil, &usageError{fmt.Sprintf("%s is not a configuration: %v", file, err)}
		}
		return config, nil
	}
	client, ctx, cancel, err := a.operatorClient()
	if err != nil {
		return nil, err
	}
	defer cancel()
	return client.Config(ctx)
}

// merge returns the configuration that results from applying the note to c. It fails with a
// conflict unless the note is based on the version of c.
func (f noteFile) merge(c *fleet.Config) (*fleet.Config, error) {
	if f.note.Base != c.Version {
		return nil, &operator.Problem{
			Status: http.StatusConflict, Title: "conflict", Head: c.Version,
			Detail: fmt.Sprintf("the release note is written against version %d, the configuration is version %d", f.note.Base, c.Version),
		}
	}
	next, err := c.Merge(f.note)
	return next, withPositions(err, f.positions)
}

// fileArgument is the positional argument that names the file of a release note.
type fileArgument struct {
	File flags.Filename `positional-arg-name:"FILE" required:"true" description:"release note"`
}

type checkCommand struct {
	app    *app
	Config flags.Filename `long:"config" description:"check against this file, written by the command config, without a connection"`
	Args   fileArgument   `positional-args:"true"`
}

// Execute checks a release note against a configuration file, or by a dry run on the server.
func (c *checkCommand) Execute([]string) error {
	f, err := c.app.readNote(c.Args.File)
	if err != nil {
		return err
	}
	var accepted operator.Accepted
	if c.Config != "" {
		current, err := c.app.readConfig(c.Config)
		if err != nil {
			return err
		}
		next, err := f.merge(current)
		if err != nil {
			return err
		}
		accepted = operator.Accepted{Version: next.Version, Note: next.Note}
	} else {
		client, ctx, cancel, err := c.app.operatorClient()
		if err != nil {
			return err
		}
		defer cancel()
		if accepted, err = client.Check(ctx, f.text); err != nil {
			return err
		}
	}
	return c.app.print(operator.WireAccepted{Version: uint64(accepted.Version), Note: string(accepted.Note), DryRun: true},
		fmt.Sprintf("release note %s has no faults; it would be version %d", accepted.Note, accepted.Version))
}

type applyCommand struct {
	app  *app
	Args fileArgument `positional-args:"true"`
}

// Execute applies a release note, and retries while the outcome is unknown.
func (c *applyCommand) Execute([]string) error {
	f, err := c.app.readNote(c.Args.File)
	if err != nil {
		return err
	}
	client, ctx, cancel, err := c.app.operatorClient()
	if err != nil {
		return err
	}
	defer cancel()
	accepted, err := client.ApplyResolved(ctx, f.text)
	if err != nil {
		return err
	}
	return c.app.print(operator.WireAccepted{Version: uint64(accepted.Version), Note: string(accepted.Note)},
		fmt.Sprintf("release note %s accepted as version %d", accepted.Note, accepted.Version))
}
