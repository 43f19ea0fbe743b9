// Package operator implements the HTTP server and the client of the administration API, with
// which operators change and query the configuration.
//
// [Server] responds to commands (release notes, drains, the loss of a zone) and to queries with
// JSON. Each error response is a problem document (RFC 9457), which [Client] returns as a
// *[Problem].
package operator
