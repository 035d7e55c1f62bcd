package logs

import (
	"net/http"
	"strings"
)

// hidden stands for a secret in a log line.
const hidden = "[redacted]"

// secretHeaders are the headers whose values must not be logged.
var secretHeaders = map[string]bool{
	"Authorization":       true,
	"Proxy-Authorization": true,
	"Cookie":              true,
	"Set-Cookie":          true,
	"X-Api-Key":           true,
}

// Header returns a header's value as it may be logged.
func Header(name, value string) string {
	if secretHeaders[http.CanonicalHeaderKey(name)] {
		return hidden
	}
	return Redact(value)
}

// keyPrefix starts every key that operators make with "beryl key new".
const keyPrefix = "beryl-key-"

// bearerPrefix comes before a key in an Authorization header.
const bearerPrefix = "bearer "

// Redact replaces callers' keys and bearer values in text that came from
// outside, such as an error message or a path.
func Redact(text string) string {
	text = redactAfter(text, bearerPrefix)
	return redactAfter(text, keyPrefix)
}

// redactAfter replaces the word after each occurrence of the prefix, which is in
// lower case and matches any case.
func redactAfter(text, prefix string) string {
	var b strings.Builder
	for {
		i := indexFold(text, prefix)
		if i < 0 {
			b.WriteString(text)
			return b.String()
		}
		end := i + len(prefix)
		b.WriteString(text[:end])
		word := wordLen(text[end:])
		if word > 0 {
			b.WriteString(hidden)
		}
		text = text[end+word:]
	}
}

// indexFold is the index of an ASCII word in any case, or -1.
func indexFold(text, word string) int {
	for i := 0; i+len(word) <= len(text); i++ {
		if strings.EqualFold(text[i:i+len(word)], word) {
			return i
		}
	}
	return -1
}

// wordLen returns the length of the text up to a blank or a quote.
func wordLen(text string) int {
	if i := strings.IndexAny(text, " \t\r\n\"'`,;&"); i >= 0 {
		return i
	}
	return len(text)
}
