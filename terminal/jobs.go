package terminal

import (
	"context"
	"fmt"
	"os"
	"strings"

	"citronknot/caller"
	"citronknot/operator"
)

// jobArgs names a job.
type jobArgs struct {
	Queue string `positional-arg-name:"QUEUE" required:"true" description:"queue of the job"`
	ID    string `positional-arg-name:"ID" required:"true" description:"16 hexadecimal digits"`
}

type jobSubmitCommand struct {
	app  *app
	Args struct {
		Queue string `positional-arg-name:"QUEUE" required:"true" description:"queue of the job"`
		ID    string `positional-arg-name:"ID" required:"true" description:"16 hexadecimal digits"`
		File  string `positional-arg-name:"FILE" required:"true" description:"JSON of the job"`
	} `positional-args:"true"`
}

// Execute hands a job in.
func (c *jobSubmitCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return &usageError{err.Error()}
	}
	return c.app.job(func(ctx context.Context, client *operator.Client) (caller.WireJob, error) {
		return client.SubmitJob(ctx, c.Args.Queue, c.Args.ID, text)
	})
}

type jobShowCommand struct {
	app  *app
	Args jobArgs `positional-args:"true"`
}

// Execute shows the state of a job.
func (c *jobShowCommand) Execute([]string) error {
	return c.app.job(func(ctx context.Context, client *operator.Client) (caller.WireJob, error) {
		return client.Job(ctx, c.Args.Queue, c.Args.ID)
	})
}

type jobCancelCommand struct {
	app  *app
	Args jobArgs `positional-args:"true"`
}

// Execute ends a job.
func (c *jobCancelCommand) Execute([]string) error {
	return c.app.job(func(ctx context.Context, client *operator.Client) (caller.WireJob, error) {
		return client.CancelJob(ctx, c.Args.Queue, c.Args.ID)
	})
}

// job makes a call on a job and prints its state.
func (a *app) job(call func(context.Context, *operator.Client) (caller.WireJob, error)) error {
	client, ctx, cancel, err := a.keyed()
	if err != nil {
		return err
	}
	defer cancel()
	w, err := call(ctx, client)
	if err != nil {
		return err
	}
	return a.print(w, fmt.Sprintf("job %s of queue %s is %s", w.ID, w.Queue, w.State))
}

type jobsWaitingCommand struct {
	app  *app
	Args struct {
		Queue string `positional-arg-name:"QUEUE" required:"true" description:"queue of the jobs"`
	} `positional-args:"true"`
}

// Execute counts the jobs of a queue that wait.
func (c *jobsWaitingCommand) Execute([]string) error {
	client, ctx, cancel, err := c.app.keyed()
	if err != nil {
		return err
	}
	defer cancel()
	w, err := client.WaitingJobs(ctx, c.Args.Queue)
	if err != nil {
		return err
	}
	return c.app.print(w, formatTable([][]any{{"queue", w.Queue}, {"pool", w.Pool}, {"waiting", w.Waiting}}))
}

type workersCommand struct{ app *app }

// Execute lists the workers of all pools.
func (c *workersCommand) Execute([]string) error {
	return query(c.app, "/v1/workers", func(w operator.WireWorkers) [][]any {
		rows := [][]any{{"WORKER", "POOL", "STATE", "TASKS", "CORES", "OF"}}
		for _, x := range w.Workers {
			rows = append(rows, []any{x.ID, x.Pool, x.State, x.Tasks, cores(x.CPU), cores(x.CPUOf)})
		}
		if len(w.Missing) > 0 {
			rows = append(rows, []any{"missing: " + strings.Join(w.Missing, "; ")})
		}
		return rows
	})
}

func cores(thousandths int64) string { return fmt.Sprintf("%.1f", float64(thousandths)/1000) }

type wavesCommand struct{ app *app }

// Execute lists waves of upkeep.
func (c *wavesCommand) Execute([]string) error {
	return query(c.app, "/v1/waves", func(w operator.WireWaves) [][]any {
		rows := [][]any{{"WAVE", "STATE", "DONE", "MACHINES"}}
		for _, x := range w.Waves {
			rows = append(rows, []any{x.Number, x.State, x.Done, x.Machines})
		}
		return rows
	})
}
