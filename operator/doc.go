// Package operator speaks to operators: it serves the administration API and provides its
// client.
package operator
