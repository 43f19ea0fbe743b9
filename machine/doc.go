// Package machine speaks to the platform's service for machines: it decides which machines move
// between pools and which are taken down for upkeep, and orders both. The decisions are in
// [Planner], which does no input or output.
package machine
