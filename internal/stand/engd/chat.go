package engd

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// chatRequest holds the fields of a chat-completion request that the engine uses.
type chatRequest struct {
	Model               string    `json:"model"`
	Messages            []message `json:"messages"`
	Stream              bool      `json:"stream"`
	MaxTokens           *int      `json:"max_tokens"`
	MaxCompletionTokens *int      `json:"max_completion_tokens"`
}

// message is one message of a conversation.
type message struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// content is the text of a message. In JSON it is a string or a list of text parts.
type content string

// UnmarshalJSON decodes a string, or a list of text parts into their concatenation.
func (c *content) UnmarshalJSON(raw []byte) error {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		*c = content(text)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return errors.New("content is neither a string nor a list of parts")
	}
	for _, p := range parts {
		if p.Type != "text" {
			return fmt.Errorf("content part of type %q is not supported", p.Type)
		}
		text += p.Text
	}
	*c = content(text)
	return nil
}

// decodeChat decodes and validates a request.
func decodeChat(body []byte) (chatRequest, error) {
	var req chatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return req, fmt.Errorf("body is not a chat-completion request: %w", err)
	}
	if req.Model == "" {
		return req, errors.New("model is missing")
	}
	if len(req.Messages) == 0 {
		return req, errors.New("messages are missing")
	}
	for _, limit := range []*int{req.MaxTokens, req.MaxCompletionTokens} {
		if limit != nil && *limit < 1 {
			return req, fmt.Errorf("max_tokens is %d, want at least 1", *limit)
		}
	}
	return req, nil
}

// prompt returns the prompt's tokens: each message's role and words.
func (r chatRequest) prompt() []string {
	var tokens []string
	for _, m := range r.Messages {
		tokens = append(tokens, "<"+m.Role+">")
		tokens = append(tokens, strings.Fields(string(m.Content))...)
	}
	return tokens
}

// limit returns the limit of the response's length, in tokens, or 0 if there is none.
func (r chatRequest) limit() int {
	bound := 0
	for _, p := range []*int{r.MaxTokens, r.MaxCompletionTokens} {
		if p != nil && (bound == 0 || *p < bound) {
			bound = *p
		}
	}
	return bound
}

// response is the deterministic response to a prompt: the words of the last message,
// repeated as often as necessary.
type response struct {
	words []string
	// tokens is the response's length, and reason its finish reason.
	tokens int
	reason string
}

// Finish reasons of a response.
const (
	reasonStop      = "stop"
	reasonLength    = "length"
	reasonCancelled = "cancelled"
)

// responseTo returns the response to a request. natural is its length without a token limit;
// 0 stands for twice the words of the last message.
func responseTo(r chatRequest, natural int) response {
	words := strings.Fields(string(r.Messages[len(r.Messages)-1].Content))
	if len(words) == 0 {
		words = []string{"(empty)"}
	}
	a := response{words: words, tokens: natural, reason: reasonStop}
	if natural <= 0 {
		a.tokens = 2 * len(words)
	}
	if bound := r.limit(); bound > 0 && bound < a.tokens {
		a.tokens = bound
		a.reason = reasonLength
	}
	return a
}

// token returns the i-th token, counted from 0, with a space before all but the first.
func (a response) token(i int) string {
	word := a.words[i%len(a.words)]
	if i == 0 {
		return word
	}
	return " " + word
}

// text returns the first n tokens joined.
func (a response) text(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(a.token(i))
	}
	return b.String()
}
