// Package owner runs one pool on the member that holds the pool's owner lease; a member is one
// process of the deployment. The owner accepts jobs, keeps their progress in the row store, sends
// the orders that package schedule plans to the pool's workers, and polls these workers.
package owner
