// Package entry implements the process that runs on each entry instance. It connects the
// packages that accept requests, forward them to targets, follow the configuration, exchange
// state with the other members and control the pools of a zone.
package entry
