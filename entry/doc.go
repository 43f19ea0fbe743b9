// Package entry assembles the parts into the one process of the system, which runs on each
// entry instance.
package entry
