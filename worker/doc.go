// Package worker speaks to workers: it keeps the lease of what runs on a worker, looks at its
// runs, sends orders, and knows by when everything on a worker that does not answer has ended.
package worker
