// Command capacity measures how the resource use of the system grows with the size of the fleet,
// which docs/CAPACITY.md reports. Its commands fill a platform stand-in, sample processes that a
// script started, and measure packages in this process.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

func main() {
	parser := flags.NewNamedParser("capacity", flags.Default)
	for _, command := range []struct {
		name, description string
		options           any
	}{
		{"fill", "add the instances of a fleet to the platform stand-in, or apply its configuration", &fillCommand{}},
		{"sample", "measure the resource use of idle processes", &sampleCommand{}},
		{"change", "measure configuration changes and the start of a process", &changeCommand{}},
		{"escrow", "measure the rebalancing of team limits", &escrowCommand{}},
		{"claims", "measure claims of requests at several request rates", &claimsCommand{}},
	} {
		if _, err := parser.AddCommand(command.name, command.description, "", command.options); err != nil {
			fmt.Fprintln(os.Stderr, "capacity:", err)
			os.Exit(2)
		}
	}
	if _, err := parser.Parse(); err != nil {
		os.Exit(1)
	}
}
