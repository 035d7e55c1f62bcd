package config

import (
	"bytes"
	"strings"
)

// lines remembers where sections and keys stand in a file, which the INI library
// does not tell. A name in a value of several lines may be taken for a key; that
// shifts the number in a message and nothing else.
type lines struct {
	sections map[string]int
	keys     map[[2]string]int
	text     []string
}

// scanLines notes the first line of each section, and the last of each key.
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

// find returns the first line that the message of the INI library ends with.
func (l lines) find(message string) int {
	for i, text := range l.text {
		if text != "" && strings.HasSuffix(strings.TrimSpace(message), text) {
			return i + 1
		}
	}
	return 0
}

// without blanks the line, and returns the file as it is then.
func (l lines) without(n int) []byte {
	l.text[n-1] = ""
	return []byte(strings.Join(l.text, "\n"))
}
