// Command citronknot is the command-line client for operators of the fleet.
package main

import (
	"os"

	"citronknot/terminal"
)

func main() {
	os.Exit(terminal.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
