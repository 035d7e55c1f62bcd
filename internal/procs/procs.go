// Package procs tests the built programs as separate processes: kills, freezes,
// network cuts and outages. It contains only tests.
package procs
