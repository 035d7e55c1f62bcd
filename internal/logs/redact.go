package logs

import (
	"net/http"
	"strings"
)

// redacted replaces a secret in a log line.
const redacted = "[redacted]"

// secretHeaders are the headers whose values must not be logged.
var secretHeaders = map[string]bool{
	"Authorization":       true,
	"Proxy-Authorization": true,
	"Cookie":              true,
	"Set-Cookie":          true,
	"X-Api-Key":           true,
}

// Header returns a header's value for logging. Secrets in it are redacted.
func Header(name, value string) string {
	if secretHeaders[http.CanonicalHeaderKey(name)] {
		return redacted
	}
	return Redact(value)
}

// keyPrefix starts every key that operators make with "beryl key new".
const keyPrefix = "beryl-key-"

// bearerPrefix precedes a key in an Authorization header.
const bearerPrefix = "bearer "

// Redact redacts callers' keys and bearer tokens in text from outside the program,
// such as an error message or a path.
func Redact(text string) string {
	text = redactAfter(text, bearerPrefix)
	return redactAfter(text, keyPrefix)
}

// redactAfter redacts the word after each occurrence of the prefix, in any case.
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
		word := secretLen(text[end:])
		if word > 0 {
			b.WriteString(redacted)
		}
		text = text[end+word:]
	}
}

// indexFold returns the index of the first occurrence of an ASCII word, in any
// case, or -1.
func indexFold(text, word string) int {
	for i := 0; i+len(word) <= len(text); i++ {
		if strings.EqualFold(text[i:i+len(word)], word) {
			return i
		}
	}
	return -1
}

// secretLen returns the length in bytes of the text up to white space, a quote or
// one of the separators "," ";" and "&".
func secretLen(text string) int {
	if i := strings.IndexAny(text, " \t\r\n\"'`,;&"); i >= 0 {
		return i
	}
	return len(text)
}
