// Package deployment provides replacements for the services of the users' platform, which speak
// its published protocol: the store, workers that run tasks under leases by their own clocks,
// the machine service and the adviser. Tests use them on loopback to induce the faults that
// happen on the platform.
package deployment
