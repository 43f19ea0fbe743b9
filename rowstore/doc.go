// Package rowstore speaks to the platform: its transactional table service, its object store
// and its list of instances. What has to be agreed or has to last goes through here.
package rowstore
