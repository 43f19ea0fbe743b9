// Package note encodes and decodes the JSON format of release notes. Operators send it, the
// table service keeps it, and members pass it to each other.
package note
