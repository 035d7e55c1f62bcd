package emul

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/beryllanding/beryllanding/internal/edge"
	"github.com/beryllanding/beryllanding/pkg/route"
)

// dialect defines the header fields. The names are the emulator's own, not those of
// the users' platform.
var dialect = edge.Dialect{
	RequestID: "Request-Id", Deadline: "Time-Left-Ms", Key: "Key", Organisation: "Organisation",
	Tokens: "Tokens", Prefix: "Prefix", LastEvent: "Last-Event-Id", Resumes: "Resumes", Signature: "Signature",
	Expect: "Expect-Target", NotRun: "Not-Run", Leaving: "Leaving", Limit: "Limit", Load: "Load", Priority: "Priority",
	ParseTokens: func(field []byte) (edge.Tokens, error) {
		a, b, err := pair(field, ',')
		return edge.Tokens{Prompt: a, Output: b}, err
	},
	ParsePrefix: func(field []byte) edge.Prefix {
		// "KEY:SHARED", optionally followed by further parts, as in "KEY:SHARED,PART".
		hint, more, _ := bytes.Cut(field, []byte(","))
		key, shared, err := pair(hint, ':')
		if err != nil {
			return edge.Prefix{} // An unreadable hint is ignored.
		}
		name := strconv.FormatInt(key, 10)
		p := edge.Prefix{Key: route.HashPrefix([]byte(name)), Shared: shared, Parts: []string{name}}
		if len(more) > 0 {
			p.Parts = append(p.Parts, string(more))
		}
		return p
	},
	ParseLoad: func(field []byte) (route.Status, bool) {
		running, waiting, err := pair(field, ',')
		return route.Status{Running: running, Waiting: waiting}, err == nil
	},
}

// pair parses two whole numbers, separated by the byte between.
func pair(field []byte, between byte) (int64, int64, error) {
	a, b, ok := bytes.Cut(field, []byte{between})
	if !ok {
		return 0, 0, fmt.Errorf("%q is not a pair of whole numbers", field)
	}
	first, err := strconv.ParseInt(string(a), 10, 64)
	if err != nil {
		return 0, 0, err
	}
	second, err := strconv.ParseInt(string(b), 10, 64)
	return first, second, err
}
