package main

// Run gives tests the whole command line.
var Run = run
