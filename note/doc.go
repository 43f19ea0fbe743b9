// Package note encodes and decodes the JSON format of release notes. Operators send it, the
// table service keeps it, and members pass it to each other.
//
// Decoding is strict: unknown, repeated and missing fields, wrong types and text after the
// note are faults, and each fault has its line and column. Ranges are the concern of
// [fleet.Config.Merge]; [Positions] finds the place in the text of a field that it reports.
package note
