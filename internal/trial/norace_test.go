//go:build !race

package trial

// raceEnabled reports whether the race detector is on.
const raceEnabled = false
