package front_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/beryllanding/beryllanding/internal/entry"
	"github.com/beryllanding/beryllanding/internal/front"
)

const chatRequest = `{"model":"llm","messages":[{"role":"user","content":"hi"}],"x":1}`

func TestPlainChat(t *testing.T) {
	f := newTestStack(t, &fakeSide{})
	res, body := f.do(t, http.MethodPost, "/v1/chat/completions", chatRequest)
	if res.StatusCode != http.StatusOK || body != `{"object":"chat.completion"}` {
		t.Fatalf("got status %d, body %q; want 200 and the chat completion", res.StatusCode, body)
	}
	if got := f.budgets.balance(); got != 100000-3 {
		t.Errorf("got a budget balance of %d tokens, want 99997", got)
	}
	if !strings.HasPrefix(res.Header.Get("X-Request-Id"), "org/~") {
		t.Errorf("got request id %q, want one that starts with org/~", res.Header.Get("X-Request-Id"))
	}
}

func TestStreamedChat(t *testing.T) {
	f := newTestStack(t, &fakeSide{chunks: 2})
	body := strings.Replace(chatRequest, `"x":1`, `"stream":true`, 1)
	res, got := f.do(t, http.MethodPost, "/v1/chat/completions", body, "Idempotency-Key", "k1")
	want := "data: {\"n\":0}\n\ndata: {\"n\":1}\n\ndata: [DONE]\n\n"
	if got != want || res.Header.Get("Content-Type") != "text/event-stream" {
		t.Errorf("got %q with Content-Type %q, want the two chunks and [DONE] as text/event-stream", got, res.Header.Get("Content-Type"))
	}
	if res.Header.Get("X-Request-Id") != "org/k1" {
		t.Errorf("got request id %q, want org/k1", res.Header.Get("X-Request-Id"))
	}
}

func TestCall(t *testing.T) {
	f := newTestStack(t, &fakeSide{})
	res, got := f.do(t, http.MethodPost, "/apps/stores/reserve?part=7", "b", "Idempotency-Key", "k2", "X-Mine", "1", "Te", "trailers")
	if res.StatusCode != http.StatusCreated || got != "POST /reserve?part=7 Accept-Encoding,User-Agent,X-Mine b" {
		t.Errorf("got status %d, body %q; want 201 and the echoed call with the headers Accept-Encoding, User-Agent and X-Mine", res.StatusCode, got)
	}
	if res.Header.Get("X-App") != "1" || res.Header.Get("Content-Type") != "" {
		t.Errorf("got headers %v, want X-App: 1 and no Content-Type", res.Header)
	}
	if got := f.budgets.balance(); got != 100000-5 {
		t.Errorf("got balance %d, want 99995", got)
	}
}

func TestStreamCutBySide(t *testing.T) {
	f := newTestStack(t, &fakeSide{chunks: 2, cutAfter: 1})
	body := strings.Replace(chatRequest, `"x":1`, `"stream":true`, 1)
	_, got := f.do(t, http.MethodPost, "/v1/chat/completions", body)
	if strings.Contains(got, "[DONE]") || !strings.Contains(got, "event: error\ndata: {\"error\":{\"code\":\"interrupted\",\"outcome\":\"unknown\"") {
		t.Errorf("got stream %q, want an error event with code interrupted and no [DONE]", got)
	}
}

// TestPrefix compares the prefix hashes of prompts: equal for questions about one
// document, different for another document, and 0 after a short first message.
func TestPrefix(t *testing.T) {
	prefix := func(messages ...string) uint64 {
		c := &capturingEngine{}
		s := &front.Server{Engine: c, Catalogue: catalogue{}}
		body := `{"model":"llm","messages":[` + strings.Join(messages, ",") + `]}`
		s.Handler().ServeHTTP(httptest.NewRecorder(), input{method: "POST", path: chatPath, body: body}.request())
		return c.req.Work.(entry.Chat).Prefix
	}
	manual := `{"role":"system","content":"` + strings.Repeat("manual ", 400)
	one, two := prefix(manual+`one"}`, `{"content":"a"}`), prefix(manual+`two"}`, `{"content":"b"}`)
	if one == 0 || one != two {
		t.Errorf("questions about one document: got prefix hashes %d and %d, want equal ones other than 0", one, two)
	}
	if other := prefix(`{"role":"system","content":"` + strings.Repeat("other ", 400) + `"}`); other == one {
		t.Error("another document: got the same prefix hash, want a different one")
	}
	if short := prefix(`{"content":"hi"}`, manual+`"}`); short != 0 {
		t.Errorf("short first message: got prefix hash %d, want 0", short)
	}
}
