package config

import (
	"errors"
	"fmt"
	"strings"
)

// ErrInvalid is matched by every error about the content of a settings file.
var ErrInvalid = errors.New("settings are invalid")

// Fault is one error in a settings file.
type Fault struct {
	File string `json:"file"`
	// Line counts from 1. It is 0 if the fault has no line, such as a missing key.
	Line    int    `json:"line,omitempty"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	// Found describes what the file contains, and Expected what is valid.
	Found    string `json:"found"`
	Expected string `json:"expected"`
}

// Error returns the fault in one line.
func (f Fault) Error() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	b.WriteString(": ")
	if f.Section != "" {
		fmt.Fprintf(&b, "[%s] ", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, "%s: ", f.Key)
	}
	fmt.Fprintf(&b, "found %s, expected %s", f.Found, f.Expected)
	return b.String()
}

// Faults holds all faults of a settings file in the order of their lines.
// Faults without a line come last. errors.Is matches ErrInvalid.
type Faults []Fault

// Error returns one line for each fault.
func (fs Faults) Error() string {
	lines := make([]string, 0, len(fs))
	for _, f := range fs {
		lines = append(lines, f.Error())
	}
	return strings.Join(lines, "\n")
}

// Is matches ErrInvalid.
func (fs Faults) Is(target error) bool { return target == ErrInvalid }

// nearest returns the candidate with the least edit distance to the word, or ""
// if every distance is more than half the word's length.
func nearest(word string, candidates []string) string {
	best, bestDistance := "", len(word)/2+1
	for _, c := range candidates {
		if d := distance(word, c); d < bestDistance {
			best, bestDistance = c, d
		}
	}
	return best
}

// distance is the Levenshtein distance of two words.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(row[j]+1, row[j+1]+1, diagonal+cost)
			diagonal, row[j+1] = row[j+1], next
		}
	}
	return row[len(b)]
}
