package config

import (
	"errors"
	"fmt"
	"strings"
)

// ErrInvalid is matched by every error about the content of a settings file.
var ErrInvalid = errors.New("settings are invalid")

// Fault is one thing that is wrong in a settings file.
type Fault struct {
	File string `json:"file"`
	// Line counts from 1; 0 where the fault is about something missing.
	Line    int    `json:"line,omitempty"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	// Found says what stands in the file.
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

// Faults lists all that is wrong in a settings file, in the order of its lines;
// what is missing comes last. errors.Is matches ErrInvalid.
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

// nearest returns the candidate that differs least from the word, or "" where
// none is close.
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
