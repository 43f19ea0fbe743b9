// Package caller implements the HTTP interface for callers: it reads request heads, authenticates
// keys, admits requests in the order of a weighted fair scheduler, and writes errors as problem
// details (RFC 9457).
//
// Every response says in the header Citronknot-Run whether the request ran, did not run, or has
// an unknown outcome.
package caller
