//go:build !race

package simul

// raceEnabled reports whether the race detector is on.
const raceEnabled = false
