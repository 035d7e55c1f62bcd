//go:build race

package procs

// buildFlags build the programs with the race detector, as the tests are.
var buildFlags = []string{"-race"}
