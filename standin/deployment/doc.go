// Package deployment holds stand-ins for the users' platform, by its published protocol: the
// store with its faults, workers that run tasks under leases by their own clocks, and the
// service for machines. They let tests induce on loopback what happens on the platform.
package deployment
