//go:build !race

package trial

// raceEnabled tells that the race detector is on.
const raceEnabled = false
