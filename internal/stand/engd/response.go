package engd

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/beryllanding/beryllanding/internal/stand/toggle"
)

// usage is the token usage of one response.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

func usageOf(r *run, made int) usage {
	u := usage{PromptTokens: len(r.prompt), CompletionTokens: made, TotalTokens: len(r.prompt) + made}
	u.Details.CachedTokens = r.cached
	return u
}

// reasonOf returns the finish reason of a run that ended in phase p.
func reasonOf(r *run, p phase) string {
	if p == cancelled {
		return reasonCancelled
	}
	return r.response.reason
}

// follow calls emit with the range of each group of new tokens, and returns the final
// phase of the run and the number of tokens emitted. If the caller leaves, it cancels the
// run and panics with http.ErrAbortHandler.
func (e *Engine) follow(ctx context.Context, r *run, emit func(from, to int)) (phase, int) {
	sent := 0
	for {
		p, made := r.progress()
		if made > sent && p != cutOff {
			emit(sent, made)
			sent = made
		}
		if p != inProgress {
			return p, sent
		}
		select {
		case <-r.wake:
		case <-ctx.Done():
			e.cancel(func(other *run) bool { return other == r })
			panic(http.ErrAbortHandler)
		}
	}
}

// respondWhole responds with one JSON body when the run has ended.
func (e *Engine) respondWhole(w http.ResponseWriter, req *http.Request, chat chatRequest, r *run) {
	type choice struct {
		Index   int `json:"index"`
		Message struct {
			Role    string `json:"role"`
			Content string `json:"content"`
		} `json:"message"`
		FinishReason string `json:"finish_reason"`
	}
	p, made := e.follow(req.Context(), r, func(int, int) {})
	if p == cutOff {
		panic(http.ErrAbortHandler)
	}
	c := choice{FinishReason: reasonOf(r, p)}
	c.Message.Role = "assistant"
	c.Message.Content = r.response.text(made)
	toggle.WriteJSON(w, http.StatusOK, struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Created int64    `json:"created"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   usage    `json:"usage"`
	}{r.id, "chat.completion", time.Now().Unix(), chat.Model, []choice{c}, usageOf(r, made)})
}

// respondStream responds with server-sent events, one per token and a last one.
func (e *Engine) respondStream(w http.ResponseWriter, req *http.Request, chat chatRequest, r *run) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	flusher := http.NewResponseController(w)
	head := eventHead(r.id, chat.Model)
	var buf []byte
	p, made := e.follow(req.Context(), r, func(from, to int) {
		buf = buf[:0]
		for i := from; i < to; i++ {
			buf = appendToken(buf, head, r.response.token(i))
		}
		_, _ = w.Write(buf)
		_ = flusher.Flush()
	})
	if p == cutOff {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(appendLast(nil, head, reasonOf(r, p), usageOf(r, made)))
	_ = flusher.Flush()
}

// eventHead returns the beginning that all events of a stream have in common.
func eventHead(id, model string) []byte {
	head, _ := json.Marshal(struct { // cannot fail: strings and numbers always encode
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		Model   string `json:"model"`
	}{id, "chat.completion.chunk", time.Now().Unix(), model})
	return append([]byte("data: "), head[:len(head)-1]...)
}

// appendToken appends the event of one token.
func appendToken(buf, head []byte, token string) []byte {
	text, _ := json.Marshal(token) // cannot fail: a string always encodes
	buf = append(buf, head...)
	buf = append(buf, `,"choices":[{"index":0,"delta":{"content":`...)
	buf = append(buf, text...)
	return append(buf, "},\"finish_reason\":null}]}\n\n"...)
}

// appendLast appends the event with the usage, and the end of the stream.
func appendLast(buf, head []byte, reason string, u usage) []byte {
	encoded, _ := json.Marshal(u) // cannot fail: numbers always encode
	buf = append(buf, head...)
	buf = append(buf, `,"choices":[{"index":0,"delta":{},"finish_reason":`...)
	buf = append(buf, strconv.Quote(reason)...)
	buf = append(buf, `}],"usage":`...)
	buf = append(buf, encoded...)
	return append(buf, "}\n\ndata: [DONE]\n\n"...)
}
