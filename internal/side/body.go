package side

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/beryllanding/beryllanding/pkg/ledger"
)

// engineBody returns the chat-completion body that is sent to the engine. The body
// asks for a stream with a usage report and at most maxTokens output tokens. If model
// is not empty, it replaces the caller's model.
//
// The caller's values of the keys that engineBody sets are dropped. So are keys that
// differ from these only in case, since an engine may treat them as the same key.
func engineBody(body []byte, model string, maxTokens ledger.Tokens) ([]byte, error) {
	var in map[string]json.RawMessage
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, fmt.Errorf("body is not a JSON object: %w", err)
	}
	out := make(map[string]any, len(in)+3)
	for key, value := range in {
		switch {
		case equalsAny(key, "max_tokens", "max_completion_tokens", "stream", "stream_options"):
			continue
		case model != "" && equalsAny(key, "model"):
			continue
		case equalsAny(key, "n", "best_of"):
			if s := string(value); s != "1" && s != "null" {
				return nil, fmt.Errorf("%q is %s, only 1 is supported", key, s)
			}
			continue
		}
		out[key] = value
	}
	if model != "" {
		out["model"] = model
	}
	out["max_tokens"] = maxTokens
	out["stream"] = true
	out["stream_options"] = map[string]bool{"include_usage": true}
	return json.Marshal(out)
}

// equalsAny reports whether the key equals one of the names under Unicode case
// folding. encoding/json matches keys in the same way.
func equalsAny(key string, names ...string) bool {
	return slices.ContainsFunc(names, func(name string) bool { return strings.EqualFold(key, name) })
}

// usage is the token count in a chat completion.
type usage struct {
	PromptTokens     ledger.Tokens `json:"prompt_tokens"`
	CompletionTokens ledger.Tokens `json:"completion_tokens"`
	TotalTokens      ledger.Tokens `json:"total_tokens"`
}

// usageOf returns the meter's counts in the form that a chat completion reports.
func usageOf(m *meter) usage {
	prompt := m.bill() - m.output
	return usage{PromptTokens: prompt, CompletionTokens: m.output, TotalTokens: prompt + m.output}
}

// plainResponse assembles the unstreamed JSON response from a stream's content.
func plainResponse(first delta, content, reason string, m *meter) []byte {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	return completion(first, "chat.completion", m, struct {
		Index        int     `json:"index"`
		Message      message `json:"message"`
		FinishReason string  `json:"finish_reason"`
	}{Message: message{Role: "assistant", Content: content}, FinishReason: reason})
}

// truncatedEvent returns the last event of a stream that was cut off at its
// reservation.
func truncatedEvent(first delta, m *meter) []byte {
	return completion(first, "chat.completion.chunk", m, struct {
		Index        int      `json:"index"`
		Delta        struct{} `json:"delta"`
		FinishReason string   `json:"finish_reason"`
	}{FinishReason: reasonLength})
}

// completion returns a chat completion, or a chunk of one, with one choice.
func completion(first delta, object string, m *meter, choice any) []byte {
	data, _ := json.Marshal(struct { // strings and integers always encode
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		Model   string `json:"model"`
		Choices []any  `json:"choices"`
		Usage   usage  `json:"usage"`
	}{
		ID: first.ID, Object: object, Created: first.Created, Model: first.Model,
		Choices: []any{choice}, Usage: usageOf(m),
	})
	return data
}
