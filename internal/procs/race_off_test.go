//go:build !race

package procs

// buildFlags are the flags for building the programs: none, as for a release.
var buildFlags []string
