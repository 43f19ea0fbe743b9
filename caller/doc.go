// Package caller speaks to callers: it reads request heads, authenticates keys, admits
// requests in a fair order and answers with problem details.
//
// Every answer says in the header Citronknot-Run whether the request ran, did not run, or may
// have run.
package caller
