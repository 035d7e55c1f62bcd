//go:build race

package procs

// buildFlags enable the race detector in the programs, as in the tests.
var buildFlags = []string{"-race"}
