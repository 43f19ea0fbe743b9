// Package owner runs one pool on the member that holds its tenure: it takes jobs in, keeps
// their progress in the row store, carries out what package schedule decides, and follows the
// workers of the pool.
package owner
