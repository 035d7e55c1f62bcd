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
	Tokens: "Tokens", Prefix: "Prefix", LastEvent: "Last-Event-Id", Signature: "Signature",
	Expect: "Expect-Target", NotRun: "Not-Run", Leaving: "Leaving", Load: "Load", Priority: "Priority",
	ParseTokens: func(field []byte) (edge.Tokens, error) {
		a, b, err := pair(field, ',')
		return edge.Tokens{Prompt: a, Output: b}, err
	},
	ParsePrefix: func(field []byte) (uint64, int64) {
		key, shared, err := pair(field, ':')
		if err != nil {
			return 0, 0 // An unreadable hint is ignored.
		}
		return route.HashPrefix(strconv.AppendInt(nil, key, 10)), shared
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
