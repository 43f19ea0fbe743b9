package dispatcher_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"

	"citronknot/dispatcher"
)

// An owner that has enough dispatchers ends the service of the next one that offers it.
func Example() {
	d := dispatcher.New(dispatcher.Config{
		Pool: "sorting", Self: "member-2", Log: slog.New(slog.DiscardHandler),
		Poll: func(context.Context, dispatcher.PollRequest) (dispatcher.Batch, error) {
			return dispatcher.Batch{Ended: true, Reason: "no more dispatchers are needed"}, nil
		},
		Send: func(context.Context, dispatcher.Results) error { return nil },
	})
	var ended *dispatcher.EndedError
	fmt.Println(errors.As(d.Run(context.Background()), &ended))
	fmt.Println(ended)
	// Output:
	// true
	// dispatcher: the owner of pool sorting ended the service: no more dispatchers are needed
}
