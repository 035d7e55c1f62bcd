// Package procs holds the tests that need separate processes: kills, freezes,
// cuts and outages against the real programs. It has no code of its own.
package procs
