package front_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/beryllanding/beryllanding/internal/entry"
	"github.com/beryllanding/beryllanding/internal/front"
	"github.com/beryllanding/beryllanding/pkg/refuse"

	"github.com/beryllanding/beryllanding/internal/stand/check"
)

// stubEngine is an engine that ends every request in the same way.
type stubEngine struct {
	asked int
	chunk string
	err   error
}

func (d *stubEngine) Do(_ context.Context, _ *entry.Request, sink entry.Sink) (entry.Result, error) {
	d.asked++
	if d.chunk != "" {
		_ = sink.WriteChunk([]byte(d.chunk))
	}
	return entry.Result{}, d.err
}

func (d *stubEngine) MayHaveRun(id string, _ bool) bool { return id == "org/ran" }
func (d *stubEngine) Drain(context.Context) error       { return nil }

// input is one request of a table.
type input struct {
	name, method, path, body string
	// headers are pairs of name and value; an empty value deletes the header.
	headers []string
}

// writeResponse appends to b the parts of a response that are compared: status, some
// headers and body.
func writeResponse(b *strings.Builder, name string, res *httptest.ResponseRecorder) {
	fmt.Fprintf(b, "%s: %d", name, res.Code)
	for _, h := range []string{"X-Beryl-Outcome", "Retry-After", "WWW-Authenticate"} {
		if v := res.Header().Get(h); v != "" {
			fmt.Fprintf(b, " %s: %s", h, v)
		}
	}
	fmt.Fprintf(b, "\n  %s\n", strings.TrimSpace(res.Body.String()))
}

func (in input) request() *http.Request {
	r := httptest.NewRequest(in.method, in.path, strings.NewReader(in.body))
	r.Header.Set("Authorization", "Bearer good")
	for i := 0; i+1 < len(in.headers); i += 2 {
		if in.headers[i+1] == "" {
			r.Header.Del(in.headers[i])
			continue
		}
		r.Header.Add(in.headers[i], in.headers[i+1])
	}
	return r
}

const (
	chatPath = "/v1/chat/completions"
	messages = `"messages":[{"role":"user","content":"hi"}]`
)

// badInputs are requests that are refused before they reach the engine and cost nothing.
var badInputs = []input{
	{name: "no key", method: "POST", path: chatPath, body: chatRequest, headers: []string{"Authorization", ""}},
	{name: "wrong key", method: "POST", path: chatPath, body: chatRequest, headers: []string{"Authorization", "", "Authorization", "Bearer bad"}},
	{name: "wrong scheme", method: "POST", path: chatPath, body: chatRequest, headers: []string{"Authorization", "", "Authorization", "Basic good"}},
	{name: "empty body", method: "POST", path: chatPath},
	{name: "not JSON", method: "POST", path: chatPath, body: `model=llm`},
	{name: "cut JSON", method: "POST", path: chatPath, body: `{"model":"llm"`},
	{name: "more after JSON", method: "POST", path: chatPath, body: chatRequest + `{}`},
	{name: "JSON array", method: "POST", path: chatPath, body: `[1]`},
	{name: "deep JSON", method: "POST", path: chatPath, body: strings.Repeat("[", 20000)},
	{name: "no model", method: "POST", path: chatPath, body: `{` + messages + `}`},
	{name: "model by another case", method: "POST", path: chatPath, body: `{"MODEL":"llm",` + messages + `}`},
	{name: "model is a number", method: "POST", path: chatPath, body: `{"model":1,` + messages + `}`},
	{name: "unknown model", method: "POST", path: chatPath, body: `{"model":"none",` + messages + `}`},
	{name: "model is an application", method: "POST", path: chatPath, body: `{"model":"stores",` + messages + `}`},
	{name: "very long model", method: "POST", path: chatPath, body: `{"model":"` + strings.Repeat("m", 500) + `",` + messages + `}`},
	{name: "no messages", method: "POST", path: chatPath, body: `{"model":"llm"}`},
	{name: "messages are a string", method: "POST", path: chatPath, body: `{"model":"llm","messages":"hi"}`},
	{name: "message is a string", method: "POST", path: chatPath, body: `{"model":"llm","messages":["hi"]}`},
	{name: "too many messages", method: "POST", path: chatPath, body: `{"model":"llm","messages":[` + strings.Repeat("{},", 10000) + `{}]}`},
	{name: "stream is a string", method: "POST", path: chatPath, body: `{"model":"llm","stream":"yes",` + messages + `}`},
	{name: "max_tokens 0", method: "POST", path: chatPath, body: `{"model":"llm","max_tokens":0,` + messages + `}`},
	{name: "max_tokens negative", method: "POST", path: chatPath, body: `{"model":"llm","max_tokens":-5,` + messages + `}`},
	{name: "max_tokens too large", method: "POST", path: chatPath, body: `{"model":"llm","max_tokens":1001,` + messages + `}`},
	{name: "max_tokens overflows", method: "POST", path: chatPath, body: `{"model":"llm","max_tokens":9223372036854775808,` + messages + `}`},
	{name: "max_tokens a fraction", method: "POST", path: chatPath, body: `{"model":"llm","max_tokens":1.5,` + messages + `}`},
	{name: "max_completion_tokens 0", method: "POST", path: chatPath, body: `{"model":"llm","max_completion_tokens":0,` + messages + `}`},
	{name: "n too large", method: "POST", path: chatPath, body: `{"model":"llm","n":17,` + messages + `}`},
	{name: "over the organisation's limit", method: "POST", path: chatPath, body: `{"model":"llm","max_tokens":900,` + messages + `}`, headers: []string{"Authorization", "", "Authorization", "Bearer small"}},
	{name: "oversized body", method: "POST", path: chatPath, body: strings.Repeat(" ", 5000) + chatRequest},
	{name: "too many headers", method: "POST", path: chatPath, body: chatRequest, headers: strings.Split(strings.Repeat("X-A,1,", 100)+"X-A,1", ",")},
	{name: "too large headers", method: "POST", path: chatPath, body: chatRequest, headers: []string{"X-A", strings.Repeat("a", 33<<10)}},
	{name: "empty idempotency key", method: "POST", path: chatPath, body: chatRequest, headers: []string{"Idempotency-Key", " "}},
	{name: "long idempotency key", method: "POST", path: chatPath, body: chatRequest, headers: []string{"Idempotency-Key", strings.Repeat("k", 129)}},
	{name: "slash in idempotency key", method: "POST", path: chatPath, body: chatRequest, headers: []string{"Idempotency-Key", "a/b"}},
	{name: "tilde in idempotency key", method: "POST", path: chatPath, body: chatRequest, headers: []string{"Idempotency-Key", "~a"}},
	{name: "two idempotency keys", method: "POST", path: chatPath, body: chatRequest, headers: []string{"Idempotency-Key", "a", "Idempotency-Key", "b"}},
	{name: "GET of chat", method: "GET", path: chatPath},
	{name: "TRACE", method: "TRACE", path: chatPath},
	{name: "unknown path", method: "POST", path: "/v2/x"},
	{name: "OPTIONS of an application", method: "OPTIONS", path: "/apps/stores/x"},
	{name: "unknown application", method: "GET", path: "/apps/none/x"},
	{name: "application is a model", method: "GET", path: "/apps/llm/x"},
	{name: "bad retry of what may have run", method: "POST", path: chatPath, body: "{", headers: []string{"Idempotency-Key", "ran"}},
	{name: "once without key", method: "POST", path: "/apps/stores/reserve"},
	{name: "once without key, encoded", method: "POST", path: "/apps/stores//reserv%65/;x=1"},
	{name: "dot segment", method: "POST", path: "/apps/stores/a/../reserve"},
	{name: "encoded dot segment", method: "POST", path: "/apps/stores/a/%2e%2E/reserve"},
}

func TestBadInput(t *testing.T) {
	var b strings.Builder
	for _, in := range badInputs {
		engine := &stubEngine{}
		s := &front.Server{Engine: engine, Catalogue: catalogue{}, Limits: front.Limits{Body: 64 << 10}}
		if in.name == "oversized body" {
			s.Limits.Body = 4000
		}
		res := httptest.NewRecorder()
		s.Handler().ServeHTTP(res, in.request())
		writeResponse(&b, in.name, res)
		if engine.asked > 0 {
			t.Errorf("%s: the request reached the engine, want it refused before", in.name)
		}
	}
	check.Golden(t, "bad-input.golden", b.String())
}

// TestRefusals compares the responses to the engine's refusals with the golden files.
func TestRefusals(t *testing.T) {
	var b strings.Builder
	for _, r := range []refuse.Refusal{
		{Code: refuse.CodeBudgetSpent, Outcome: refuse.NotRun, Message: "budget is spent"},
		{Code: refuse.CodeBudgetUnreachable, Outcome: refuse.NotRun, RetryAfter: 1500 * time.Millisecond, Message: "tokens are out of reach"},
		{Code: refuse.CodeBusy, Outcome: refuse.NotRun, RetryAfter: 250 * time.Millisecond, Message: "busy"},
		{Code: refuse.CodeNoTarget, Outcome: refuse.NotRun, RetryAfter: 2 * time.Second, Message: "no target"},
		{Code: refuse.CodeLogUnavailable, Outcome: refuse.NotRun, RetryAfter: 5 * time.Second, Message: "the log is unavailable"},
		{Code: refuse.CodeInProgress, Outcome: refuse.Unknown, RetryAfter: time.Second, Message: "in progress"},
		{Code: refuse.CodeKeyReused, Outcome: refuse.NotRun, Message: "the key was used with another body"},
		{Code: refuse.CodeInterrupted, Outcome: refuse.Unknown, RetryAfter: time.Second, Message: "interrupted"},
	} {
		s := &front.Server{Engine: &stubEngine{err: &r}, Catalogue: catalogue{}}
		res := httptest.NewRecorder()
		s.Handler().ServeHTTP(res, input{method: "POST", path: chatPath, body: chatRequest}.request())
		writeResponse(&b, string(r.Code), res)
	}
	broken := &refuse.Refusal{Code: refuse.CodeInterrupted, Outcome: refuse.Unknown, RetryAfter: time.Second, Message: "no answer"}
	for name, d := range map[string]*stubEngine{
		"silent":    {err: fmt.Errorf("%w: %w", broken, entry.ErrSilent)},
		"in stream": {err: broken, chunk: "{}"},
	} {
		s := &front.Server{Engine: d, Catalogue: catalogue{}}
		res := httptest.NewRecorder()
		s.Handler().ServeHTTP(res, input{method: "POST", path: chatPath, body: `{"model":"llm","stream":true,` + messages + `}`}.request())
		check.Golden(t, strings.ReplaceAll(name, " ", "-")+".golden", fmt.Sprintf("%d\n%s", res.Code, res.Body))
	}
	check.Golden(t, "refusals.golden", b.String())
}
