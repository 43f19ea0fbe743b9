// Package runtimes learns how long runs take in relation to the estimates that were submitted for
// them. It takes no part in decisions and does no input or output.
package runtimes
