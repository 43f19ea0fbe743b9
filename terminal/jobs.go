package terminal

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"strings"

	"citronknot/caller"
	"citronknot/clock"
	"citronknot/operator"
)

// jobArguments are the positional arguments that identify a job.
type jobArguments struct {
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

// Execute submits a job from a file and prints its state.
func (c *jobSubmitCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return &usageError{err.Error()}
	}
	return c.app.printJob(func(ctx context.Context, client *operator.Client) (caller.WireJob, error) {
		return client.SubmitJob(ctx, c.Args.Queue, c.Args.ID, text)
	})
}

type jobShowCommand struct {
	app  *app
	Args jobArguments `positional-args:"true"`
}

// Execute prints the state of a job.
func (c *jobShowCommand) Execute([]string) error {
	return c.app.printJob(func(ctx context.Context, client *operator.Client) (caller.WireJob, error) {
		return client.Job(ctx, c.Args.Queue, c.Args.ID)
	})
}

type jobCancelCommand struct {
	app  *app
	Args jobArguments `positional-args:"true"`
}

// Execute cancels a job and prints its state.
func (c *jobCancelCommand) Execute([]string) error {
	return c.app.printJob(func(ctx context.Context, client *operator.Client) (caller.WireJob, error) {
		return client.CancelJob(ctx, c.Args.Queue, c.Args.ID)
	})
}

// printJob makes a call about a job and prints the state of the job that it returns.
func (a *app) printJob(call func(context.Context, *operator.Client) (caller.WireJob, error)) error {
	client, ctx, cancel, err := a.teamClient()
	if err != nil {
		return err
	}
	defer cancel()
	w, err := call(ctx, client)
	if err != nil {
		return err
	}
	text := fmt.Sprintf("job %s of queue %s is %s", w.ID, w.Queue, w.State)
	if w.Cause != "" {
		text += ": " + w.Cause
	}
	return a.print(w, text)
}

type jobsWaitingCommand struct {
	app  *app
	Args struct {
		Queue string `positional-arg-name:"QUEUE" required:"true" description:"queue of the jobs"`
	} `positional-args:"true"`
}

// Execute prints the number of jobs of a queue of which no task has started.
func (c *jobsWaitingCommand) Execute([]string) error {
	client, ctx, cancel, err := c.app.teamClient()
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

// Execute lists the workers of all pools and their use of CPU.
func (c *workersCommand) Execute([]string) error {
	return printQuery(c.app, "/v1/workers", func(w operator.WireWorkers) [][]any {
		rows := [][]any{{"WORKER", "POOL", "STATE", "TASKS", "CORES", "OF"}}
		for _, worker := range w.Workers {
			rows = append(rows, []any{worker.ID, worker.Pool, worker.State, worker.Tasks, formatCores(worker.CPUUsed), formatCores(worker.CPUCapacity)})
		}
		return appendMissing(rows, w.Missing)
	})
}

// formatCores returns thousandths of a core as a number of cores.
func formatCores(thousandths int64) string { return fmt.Sprintf("%.1f", float64(thousandths)/1000) }

type suspectsCommand struct{ app *app }

// Execute lists the tasks that are suspected to crash their workers.
func (c *suspectsCommand) Execute([]string) error {
	return printQuery(c.app, "/v1/suspects", func(w operator.WireSuspects) [][]any {
		rows := [][]any{{"TASK", "POOL", "NEXT START", "STATE", "CRASHED WORKERS"}}
		for _, s := range w.Suspects {
			rows = append(rows, []any{s.Task, s.Pool, s.Start, s.State, s.Crashes})
		}
		return appendMissing(rows, w.Missing)
	})
}

type runTimesCommand struct{ app *app }

// Execute lists the learned run times of tasks.
func (c *runTimesCommand) Execute([]string) error {
	return printQuery(c.app, "/v1/runtimes", func(w operator.WireRunTimes) [][]any {
		rows := [][]any{{"POOL", "QUEUE", "IMAGE", "ESTIMATE FROM", "MEDIAN", "P95", "RUNS"}}
		for _, t := range w.RunTimes {
			rows = append(rows, []any{
				t.Pool, t.Queue, cmp.Or(t.Image, "-"), clock.Millis(t.SmallestMS).Duration(), fmt.Sprintf("%.2f", t.Median), fmt.Sprintf("%.2f", t.P95), t.Observations,
			})
		}
		return appendMissing(rows, w.Missing)
	})
}

type sharesCommand struct{ app *app }

// Execute lists the shares of the teams with a weight.
func (c *sharesCommand) Execute([]string) error {
	return printQuery(c.app, "/v1/shares", func(w operator.WireShares) [][]any {
		rows := [][]any{{"TEAM", "POOL", "WEIGHT", "DUE", "HAD", "LAG", "WAITING", "BEYOND RATE", "OVER"}}
		for _, s := range w.Shares {
			rows = append(rows, []any{s.Team, s.Pool, s.Weight, formatShare(s.Due), formatShare(s.Had), formatShare(s.Lag), s.Waiting, s.BeyondRate, formatYes(s.Over)})
		}
		return appendMissing(rows, w.Missing)
	})
}

// formatShare returns a fraction of a pool's capacity in percent.
func formatShare(fraction float64) string { return fmt.Sprintf("%.1f%%", 100*fraction) }

// formatYes returns yes or no.
func formatYes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// appendMissing adds a row that names the pools whose owners did not respond, if there are any.
func appendMissing(rows [][]any, missing []string) [][]any {
	if len(missing) > 0 {
		rows = append(rows, []any{"missing: " + strings.Join(missing, "; ")})
	}
	return rows
}

type wavesCommand struct{ app *app }

// Execute lists the maintenance waves and their progress.
func (c *wavesCommand) Execute([]string) error {
	return printQuery(c.app, "/v1/waves", func(w operator.WireWaves) [][]any {
		rows := [][]any{{"WAVE", "STATE", "DONE", "MACHINES"}}
		for _, wave := range w.Waves {
			rows = append(rows, []any{wave.Number, wave.State, wave.Done, wave.Machines})
		}
		return rows
	})
}
