//go:build race

package trial

// raceEnabled tells that the race detector is on, which slows a run tenfold.
const raceEnabled = true
