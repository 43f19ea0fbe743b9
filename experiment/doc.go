// Package experiment measures citronknot against simple baselines: the latency and CPU time of a
// request over the loopback interface against a minimal forwarder, the cost of admission and target
// selection against a first-come queue, and the outcomes of requests under load, in a simulation,
// against other scheduling policies. It also computes the least machine time that could have met
// the recorded needs of pools.
//
// Every measurement is bounded in count and time and takes its randomness from a seed. Times
// depend on the machine, so only ratios within one run should be quoted.
package experiment
