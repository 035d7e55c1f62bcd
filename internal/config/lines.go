package config

import (
	"bytes"
	"strings"
)

// lines holds the line numbers of sections and keys in a file, which the INI
// library does not report. Text in a multi-line value may be mistaken for a key;
// the only effect is a wrong line number in a message.
type lines struct {
	sections map[string]int
	keys     map[[2]string]int
	text     []string
}

// scanLines records the first line of each section and the last line of each key.
func scanLines(data []byte) lines {
	l := lines{sections: make(map[string]int), keys: make(map[[2]string]int)}
	current := ""
	for raw := range bytes.SplitSeq(data, []byte("\n")) {
		text := strings.TrimSpace(string(raw))
		l.text = append(l.text, text)
		n := len(l.text)
		if rest, ok := strings.CutPrefix(text, "["); ok {
			current, _, _ = strings.Cut(rest, "]")
			if l.sections[current] == 0 {
				l.sections[current] = n
			}
			continue
		}
		if i := strings.IndexAny(text, "=:"); i > 0 {
			l.keys[[2]string{current, strings.TrimSpace(text[:i])}] = n
		}
	}
	return l
}

func (l lines) section(name string) int { return l.sections[name] }

func (l lines) key(section, key string) int { return l.keys[[2]string{section, key}] }

// find returns the number of the first line whose text stands at the end of
// message, which is an error message of the INI library. It returns 0 if there
// is no such line.
func (l lines) find(message string) int {
	for i, text := range l.text {
		if text != "" && strings.HasSuffix(strings.TrimSpace(message), text) {
			return i + 1
		}
	}
	return 0
}

// without empties line n, counted from 1, and returns the resulting file.
func (l lines) without(n int) []byte {
	l.text[n-1] = ""
	return []byte(strings.Join(l.text, "\n"))
}
