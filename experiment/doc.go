// Package experiment measures citronknot: the path over loopback against a minimal forwarder,
// the cost of one decision, and the policy under load against simple baselines.
//
// Every measurement is bounded in count and time and takes its randomness from a seed. Times
// depend on the machine, so only ratios within one run are meant to be quoted.
package experiment
