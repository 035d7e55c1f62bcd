//go:build !race

package procs

// buildFlags build the programs as they are delivered.
var buildFlags []string
