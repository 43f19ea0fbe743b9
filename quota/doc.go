// Package quota divides each team's limit over the pools. The sum of what pools may use never
// exceeds the limit, although answers are lost and pools change their owners.
package quota
