// Package pool assigns the instances of a zone to pools and schedules their maintenance.
// [Plan] and [PlanMaintenance] make the decisions, and a [Controller] carries them out for one
// zone while this process holds the zone's lease.
package pool
