//go:build race

package simul

// raceEnabled reports whether the race detector is on. It makes a run ten times
// slower.
const raceEnabled = true
