// Package terminal speaks to operators at a terminal: it is the command line of the
// administration API.
package terminal
