// Package rowstore is the client of the platform's transactional table service, its object store
// and its list of instances. Whatever the members must agree on or must keep across restarts is
// stored through it: leases, registrations, portions of limits, claims, assignments and the
// configuration log.
package rowstore
