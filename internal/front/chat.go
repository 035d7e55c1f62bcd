package front

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"reflect"

	"github.com/beryllanding/beryllanding/internal/entry"
	"github.com/beryllanding/beryllanding/pkg/ledger"
	"github.com/beryllanding/beryllanding/pkg/refuse"
	"github.com/beryllanding/beryllanding/pkg/route"
)

const (
	// messageOverheadTokens is the most that a message costs in addition to its text.
	messageOverheadTokens = 8
	// promptOverheadTokens is the most that a prompt costs in addition to its messages.
	promptOverheadTokens = 16
	// maxMessages limits the messages of one request.
	maxMessages = 10000
	// maxChoices limits the number of alternative completions of one request.
	maxChoices = 16
	// prefixBytes is the number of bytes of the first message that are hashed for
	// prefix affinity. A message shorter than minPrefixBytes is not hashed, since
	// affinity is not worthwhile for it.
	prefixBytes    = 2048
	minPrefixBytes = 256
)

// chatBody contains the fields of a chat-completion request that this package reads.
// All other fields reach the engine unchanged.
type chatBody struct {
	Model    string
	Messages []json.RawMessage
	Stream   bool
	N        *int64
	// MaxTokens is the older name of MaxCompletionTokens.
	MaxTokens           *int64
	MaxCompletionTokens *int64
}

// chat prepares a chat completion.
func (s *Server) chat(x *exchange) (*entry.Request, error) {
	body, err := decodeChat(x.body)
	if err != nil {
		return nil, err
	}
	service, ok := s.Catalogue.Service(body.Model)
	if !ok || service.Kind != entry.KindModel {
		return nil, reject(http.StatusNotFound, refuse.CodeUnknownService, "model %q does not exist", clip(body.Model))
	}
	chat, err := boundChat(body, x, service)
	if err != nil {
		return nil, err
	}
	x.sink.stream = body.Stream
	return &entry.Request{Service: service, Work: chat}, nil
}

// decodeChat parses and checks the body.
func decodeChat(data []byte) (chatBody, error) {
	body, err := parseChat(data)
	if err != nil {
		return body, err
	}
	switch {
	case body.Model == "":
		return body, reject(http.StatusBadRequest, refuse.CodeBadRequest, `field "model" is missing`)
	case len(body.Messages) == 0:
		return body, reject(http.StatusBadRequest, refuse.CodeBadRequest, `field "messages" is missing or empty`)
	case len(body.Messages) > maxMessages:
		return body, reject(http.StatusBadRequest, refuse.CodeBadRequest,
			`field "messages" has %d messages; the limit is %d`, len(body.Messages), maxMessages)
	}
	for i, m := range body.Messages {
		if len(m) == 0 || m[0] != '{' {
			return body, reject(http.StatusBadRequest, refuse.CodeBadRequest, `field "messages[%d]" is not an object`, i)
		}
	}
	return body, checkNumbers(body)
}

// parseChat reads the fields by their exact names. Decoding into a struct would accept
// "Stream" for "stream", which the engine does not accept.
func parseChat(data []byte) (chatBody, error) {
	var body chatBody
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return body, malformed("", err)
	}
	for _, f := range []struct {
		name string
		into any
	}{
		{"model", &body.Model},
		{"messages", &body.Messages},
		{"stream", &body.Stream},
		{"n", &body.N},
		{"max_tokens", &body.MaxTokens},
		{"max_completion_tokens", &body.MaxCompletionTokens},
	} {
		raw, ok := fields[f.name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, f.into); err != nil {
			return body, malformed(f.name, err)
		}
	}
	return body, nil
}

// checkNumbers checks the ranges of the numbers in the body.
func checkNumbers(body chatBody) error {
	for _, f := range []struct {
		name  string
		value *int64
	}{
		{"max_tokens", body.MaxTokens},
		{"max_completion_tokens", body.MaxCompletionTokens},
		{"n", body.N},
	} {
		if f.value != nil && *f.value <= 0 {
			return reject(http.StatusBadRequest, refuse.CodeBadRequest, "field %q is %d; it must be at least 1", f.name, *f.value)
		}
	}
	if body.N != nil && *body.N > maxChoices {
		return reject(http.StatusBadRequest, refuse.CodeBadRequest, `field "n" is %d; the limit is %d`, *body.N, maxChoices)
	}
	return nil
}

// boundChat computes the bounds of the request's cost and checks them against the
// limits of the service and the organisation. If the caller set no output limit, the
// output is bounded by the rest of the organisation's limit after the prompt.
func boundChat(body chatBody, x *exchange, service entry.Service) (entry.Chat, error) {
	prompt := promptBound(x.body, len(body.Messages), service)
	output, err := outputBound(body, service)
	if err != nil {
		return entry.Chat{}, err
	}
	if limit := x.account.MaxTokens; limit > 0 && prompt+output > limit {
		if body.requestedOutput() != nil || prompt >= limit {
			return entry.Chat{}, reject(http.StatusForbidden, refuse.CodeForbidden,
				"request may cost up to %d tokens; the limit of organisation %q is %d", prompt+output, x.account.Organisation, limit)
		}
		output = limit - prompt
	}
	return entry.Chat{
		Body:        x.body,
		Stream:      body.Stream,
		PromptBound: prompt,
		OutputBound: output,
		Prefix:      prefixHash(body.Messages),
	}, nil
}

// promptBound returns the largest number of tokens that the prompt can have. It counts
// the whole body, not only the messages, since tool definitions and other fields that
// are passed on can become part of the prompt too.
func promptBound(body []byte, messages int, service entry.Service) ledger.Tokens {
	per := max(1, service.PromptBytesPerToken)
	return (int64(len(body))+per-1)/per + messageOverheadTokens*int64(messages) + promptOverheadTokens
}

// outputBound returns the largest number of tokens that all alternative completions
// together can have.
func outputBound(body chatBody, service entry.Service) (ledger.Tokens, error) {
	limit := service.MaxOutput
	if limit == 0 {
		limit = entry.DefaultMaxOutput
	}
	choices := int64(1)
	if body.N != nil {
		choices = *body.N
	}
	asked := body.requestedOutput()
	if asked == nil {
		if service.DefaultOutput > 0 {
			limit = min(limit, service.DefaultOutput)
		}
		return limit * choices, nil
	}
	if *asked > limit {
		return 0, reject(http.StatusBadRequest, refuse.CodeBadRequest,
			"max_tokens is %d; the limit of model %q is %d", *asked, service.Name, limit)
	}
	return *asked * choices, nil
}

// requestedOutput returns the output limit that the caller set, or nil.
func (b chatBody) requestedOutput() *int64 {
	if b.MaxCompletionTokens != nil {
		return b.MaxCompletionTokens
	}
	return b.MaxTokens
}

// prefixHash returns the hash of the beginning of the first message, or 0 if that
// message is too short. Conversations and questions about the same document share this
// beginning. Later messages are not hashed, because they differ: a hash that no other
// request shares would only keep the router from choosing by load.
func prefixHash(messages []json.RawMessage) uint64 {
	first := messages[0]
	if len(first) < minPrefixBytes {
		return 0
	}
	return route.HashPrefix(first[:min(len(first), prefixBytes)])
}

// malformed returns the refusal of a body, or of one of its fields, that is not the
// expected JSON.
func malformed(field string, err error) error {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return reject(http.StatusBadRequest, refuse.CodeBadRequest, "the body is not valid JSON at byte %d: %v", syntax.Offset, syntax)
	case errors.As(err, &kind) && field == "":
		return reject(http.StatusBadRequest, refuse.CodeBadRequest, "the body is a JSON %s where an object is expected", clip(kind.Value))
	case errors.As(err, &kind):
		return reject(http.StatusBadRequest, refuse.CodeBadRequest, "field %q is a JSON %s where %s is expected", field, clip(kind.Value), typeName(kind))
	}
	return reject(http.StatusBadRequest, refuse.CodeBadRequest, "the body is not valid JSON")
}

// typeName returns the JSON type that a field must have.
func typeName(err *json.UnmarshalTypeError) string {
	switch err.Type.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "a boolean"
	case reflect.Int64:
		return "a whole number"
	}
	return "an array"
}

// clip limits the length of caller input in messages.
func clip(s string) string {
	const most = 64
	if len(s) <= most {
		return s
	}
	return string(bytes.ToValidUTF8([]byte(s[:most]), nil)) + "..."
}
