// Command citronknot is the operators' command line.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"citronknot/operator"
)

// Exit codes.
const (
	exitDone        = 0
	exitFailed      = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnreachable = 4
)

type options struct {
	URL        string        `long:"url" env:"CITRONKNOT_URL" default:"http://127.0.0.1:8081" description:"base URL of an administration API"`
	Credential string        `long:"credential" env:"CITRONKNOT_OPERATOR_CREDENTIAL" description:"bearer credential of operators"`
	Timeout    time.Duration `long:"timeout" env:"CITRONKNOT_TIMEOUT" default:"10s" description:"of one call"`

	Apply  applyCommand `command:"apply" description:"Apply a release note"`
	Status getCommand   `command:"status" description:"Show the configuration in force"`
	Dump   getCommand   `command:"dump" description:"Show the state of one process"`
}

type applyCommand struct {
	options *options
	Args    struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

type getCommand struct {
	options *options
	path    string
}

func main() {
	o := &options{}
	o.Apply.options = o
	o.Status = getCommand{options: o, path: "/v1/status"}
	o.Dump = getCommand{options: o, path: "/debug/state"}
	_, err := flags.NewParser(o, flags.HelpFlag|flags.PassDoubleDash).Parse()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(exitCode(err))
}

// Execute applies the release note.
func (c *applyCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return err
	}
	client, ctx, cancel := c.options.client()
	defer cancel()
	a, err := client.Apply(ctx, text)
	if err != nil {
		return err
	}
	fmt.Printf("release note %s accepted as version %d\n", a.Note, a.Version)
	return nil
}

// Execute prints the answer to a query.
func (c *getCommand) Execute([]string) error {
	client, ctx, cancel := c.options.client()
	defer cancel()
	text, err := client.Get(ctx, c.path)
	if err != nil {
		return err
	}
	fmt.Println(string(text))
	return nil
}

func (o *options) client() (*operator.Client, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	return &operator.Client{URL: o.URL, Credential: o.Credential}, ctx, cancel
}

func exitCode(err error) int {
	var fe *flags.Error
	var se *operator.Problem
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &fe):
		if fe.Type == flags.ErrHelp {
			return exitDone
		}
		return exitUsage
	case errors.As(err, &se):
		switch {
		case se.Status == 409:
			return exitConflict
		case se.Status < 500:
			return exitUsage
		}
		return exitFailed
	}
	return exitUnreachable
}
