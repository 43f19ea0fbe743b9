// Package note encodes and decodes the JSON format of release notes, each of which describes a
// change of the configuration. Operators send release notes in this format, the table service
// stores them, and members send them to each other.
//
// Decoding is strict: unknown, repeated and missing fields, wrong types and text after the
// note are faults, and each fault is reported with its line and column. This package does not
// check the values of fields; [fleet.Config.Merge] does, and [Positions] returns the position in
// the text of a field that it reports.
package note
