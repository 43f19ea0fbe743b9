// Command citronknot is the operators' command line.
package main

import (
	"os"

	"citronknot/terminal"
)

func main() {
	os.Exit(terminal.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
