// Package operator speaks to operators: it serves the administration API and provides its
// client.
//
// [Server] answers commands (release notes, drains) and queries with JSON, and every error
// with a problem document (RFC 9457) that a [Client] returns as *[Problem].
package operator
