package terminal

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"citronknot/operator"
)

// app holds the options that all commands share, and their standard input and outputs.
type app struct {
	URL            string         `long:"url" env:"CITRONKNOT_URL" default:"http://127.0.0.1:8081" description:"base URL of an administration API"`
	Credential     string         `long:"credential" env:"CITRONKNOT_OPERATOR_CREDENTIAL" default-mask:"-" description:"bearer credential of operators"`
	CredentialFile flags.Filename `long:"credential-file" env:"CITRONKNOT_OPERATOR_CREDENTIAL_FILE" description:"file with the credential, in place of --credential"`
	Key            string         `long:"key" env:"CITRONKNOT_KEY" default-mask:"-" description:"key of a team, for commands about jobs; open queues need none"`
	CAFile         flags.Filename `long:"ca-file" env:"CITRONKNOT_CA_FILE" description:"PEM certificates to trust for an https URL; default: those of the system"`
	Timeout        time.Duration  `long:"timeout" env:"CITRONKNOT_TIMEOUT" default:"30s" description:"maximum duration of a command, including retries"`
	Output         string         `long:"output" env:"CITRONKNOT_OUTPUT" default:"text" choice:"text" choice:"json" description:"format of results and errors"`

	stdin        io.Reader
	stdout       io.Writer
	stderr       io.Writer
	noteFileName string // name of the file in which faults are reported
}

// Run executes the command line in args, without the name of the program, and returns the exit
// code. It writes the result to stdout and errors to stderr. The exit code is 0 for success, 1
// for a failure, 2 for invalid arguments or input, 3 for a conflict with a newer version or
// another change, and 4 if no complete response arrived from the administration API.
func Run(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	a := &app{stdin: stdin, stdout: stdout, stderr: stderr}
	err := a.execute(args)
	a.report(err)
	return exitCode(err)
}

// execute parses the arguments and runs the command. Every error before the command starts is
// a usage error; go-flags returns some of them as errors of other packages.
func (a *app) execute(args []string) error {
	p, err := a.parser()
	if err != nil {
		return err
	}
	started := false
	p.CommandHandler = func(c flags.Commander, rest []string) error {
		if c == nil {
			return nil
		}
		started = true
		if len(rest) > 0 {
			return &usageError{fmt.Sprintf("unexpected arguments: %s", strings.Join(rest, " "))}
		}
		return c.Execute(rest)
	}
	_, err = p.ParseArgs(args)
	var parseErr *flags.Error
	if err == nil || started || errors.As(err, &parseErr) {
		return err
	}
	return &usageError{err.Error()}
}

// parser returns the parser of all commands. The long description of each command ends with an
// example.
func (a *app) parser() (*flags.Parser, error) {
	p := flags.NewNamedParser("citronknot", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Options", "", a); err != nil {
		return nil, err
	}
	var addErr error
	add := func(parent *flags.Command, name, summary, example string, command any) *flags.Command {
		description := summary + "."
		if example != "" {
			description += "\n\nExample: " + example
		}
		c, err := parent.AddCommand(name, summary, description, command)
		if err != nil {
			addErr = err
		}
		return c
	}
	root := p.Command
	add(root, "check", "Check a release note without applying it", "citronknot check add-team.json", &checkCommand{app: a})
	add(root, "diff", "Show what a release note changes", "citronknot diff add-team.json", &diffCommand{app: a})
	add(root, "apply", "Apply a release note", "citronknot apply add-team.json", &applyCommand{app: a})
	add(root, "status", "Show the version in force", "citronknot status", &statusCommand{app: a})
	add(root, "config", "Print the whole configuration, for check --config", "citronknot config > current.json", &configCommand{app: a})
	add(root, "history", "List accepted release notes, or print one", "citronknot history 7", &historyCommand{app: a})
	add(root, "pools", "List pools", "citronknot pools", &poolsCommand{app: a})
	add(root, "teams", "List teams", "citronknot teams", &teamsCommand{app: a})
	keys := add(root, "keys", "List, grant and withdraw keys", "citronknot keys list", &struct{}{})
	add(keys, "list", "List keys by shortened hash", "citronknot keys list", &keysListCommand{app: a})
	add(keys, "grant", "Create a key for a team and print it once", "citronknot keys grant alpha", &keysGrantCommand{app: a})
	add(keys, "withdraw", "Withdraw a key, by hash prefix or by the key on standard input",
		"citronknot keys withdraw 20ac218dec4c", &keysWithdrawCommand{app: a})
	zones := add(root, "zones", "Declare zones lost", "citronknot zones lost zone-a", &struct{}{})
	add(zones, "lost", "Free the limits held in a zone in which nothing runs any more", "citronknot zones lost zone-a", &zoneLostCommand{app: a})
	instances := add(root, "instances", "List, drain and return instances", "citronknot instances list", &struct{}{})
	add(instances, "list", "List instances with pool and phase", "citronknot instances list", &instancesListCommand{app: a})
	add(instances, "drain", "Take an instance out of service", "citronknot instances drain t1", &drainCommand{app: a, drain: true})
	add(instances, "return", "Return an instance to service", "citronknot instances return t1", &drainCommand{app: a})
	jobs := add(root, "jobs", "Submit, show and cancel jobs", "citronknot jobs show sort 5c0e7a21d94b36f8", &struct{}{})
	add(jobs, "submit", "Submit a job from a file", "citronknot jobs submit sort 5c0e7a21d94b36f8 examples/job.json", &jobSubmitCommand{app: a})
	add(jobs, "show", "Show the state of a job", "citronknot jobs show sort 5c0e7a21d94b36f8", &jobShowCommand{app: a})
	add(jobs, "cancel", "Cancel a job", "citronknot jobs cancel sort 5c0e7a21d94b36f8", &jobCancelCommand{app: a})
	add(jobs, "waiting", "Count the waiting jobs of a queue", "citronknot jobs waiting sort", &jobsWaitingCommand{app: a})
	add(root, "evacuations", "List the evacuated zones and what is left there", "citronknot evacuations", &evacuationsCommand{app: a})
	add(root, "suspects", "List the tasks that are suspected to crash their workers", "citronknot suspects", &suspectsCommand{app: a})
	add(root, "shares", "List the shares of teams in all pools", "citronknot shares", &sharesCommand{app: a})
	add(root, "runtimes", "List learned run times of tasks, as ratios to the estimates", "citronknot runtimes", &runTimesCommand{app: a})
	add(root, "workers", "List the workers of all pools", "citronknot workers", &workersCommand{app: a})
	add(root, "waves", "List maintenance waves and their progress", "citronknot waves", &wavesCommand{app: a})
	add(root, "dump", "Show the state of one process", "citronknot dump", &dumpCommand{app: a})
	return p, addErr
}

// teamClient is like operatorClient, but the client sends the key of a team. Calls about jobs
// need it.
func (a *app) teamClient() (*operator.Client, context.Context, context.CancelFunc, error) {
	return a.newClient(a.Key)
}

// operatorClient returns a client that sends the credential of operators, and the context of the
// whole command with its cancel function.
func (a *app) operatorClient() (*operator.Client, context.Context, context.CancelFunc, error) {
	credential := a.Credential
	if a.CredentialFile != "" {
		text, err := os.ReadFile(string(a.CredentialFile))
		if err != nil {
			return nil, nil, nil, &usageError{err.Error()}
		}
		credential = strings.TrimSpace(string(text))
	}
	if credential == "" {
		return nil, nil, nil, &usageError{"no credential: set CITRONKNOT_OPERATOR_CREDENTIAL, --credential-file or --credential"}
	}
	return a.newClient(credential)
}

// newClient returns a client that sends the credential, and a context that ends after --timeout.
func (a *app) newClient(credential string) (*operator.Client, context.Context, context.CancelFunc, error) {
	if a.Timeout <= 0 || a.Timeout > time.Hour {
		return nil, nil, nil, &usageError{fmt.Sprintf("--timeout %q is not accepted; accepted: more than 0s, up to 1h", a.Timeout)}
	}
	transport, err := a.transport()
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	return &operator.Client{
		URL: strings.TrimSuffix(a.URL, "/"), Credential: credential, HTTP: &http.Client{Transport: transport},
	}, ctx, cancel, nil
}

// transport returns the transport of the client, which trusts the certificates of --ca-file.
func (a *app) transport() (*http.Transport, error) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	if a.CAFile != "" {
		text, err := os.ReadFile(string(a.CAFile))
		if err != nil {
			return nil, &usageError{err.Error()}
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(text) {
			return nil, &usageError{fmt.Sprintf("--ca-file %q is not accepted; accepted: a file with PEM certificates", a.CAFile)}
		}
	}
	return &http.Transport{TLSClientConfig: config}, nil
}
