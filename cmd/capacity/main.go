// Command capacity measures the slopes behind docs/CAPACITY.md. Its commands fill a platform
// stand-in, sample processes that a script started, and measure packages in this process.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

func main() {
	parser := flags.NewNamedParser("capacity", flags.Default)
	for _, c := range []struct {
		name, text string
		data       any
	}{
		{"fill", "fill the platform stand-in and apply the configuration of a size", &fill{}},
		{"sample", "sample idle processes", &sample{}},
		{"change", "measure configuration changes and the start of a process", &change{}},
		{"escrow", "measure the rebalancing of team limits", &escrow{}},
		{"claims", "measure claims at several request rates", &claims{}},
	} {
		if _, err := parser.AddCommand(c.name, c.text, "", c.data); err != nil {
			fmt.Fprintln(os.Stderr, "capacity:", err)
			os.Exit(2)
		}
	}
	if _, err := parser.Parse(); err != nil {
		os.Exit(1)
	}
}
