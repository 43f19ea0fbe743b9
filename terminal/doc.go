// Package terminal implements the command line with which operators use the administration API:
// it parses the arguments, calls the API and prints the result as text or JSON.
package terminal
