package engd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/beryllanding/beryllanding/internal/stand/wghtd"

	"github.com/beryllanding/beryllanding/internal/stand/check"
	"github.com/beryllanding/beryllanding/internal/stand/memnet"
)

// reply is the engine's response to a request.
type reply struct {
	code int
	body string
	// cut is set if the connection was cut before the response was complete.
	cut bool
	// after is the duration of the call.
	after time.Duration
}

// call sends a request to the handler. headers holds names and values alternately.
func call(ctx context.Context, h http.Handler, method, path, body string, headers ...string) (r reply) {
	start := time.Now()
	w := httptest.NewRecorder()
	defer func() {
		r.after = time.Since(start)
		if err := recover(); err != nil {
			if err != http.ErrAbortHandler {
				panic(err)
			}
			r = reply{cut: true, body: w.Body.String(), after: r.after}
		}
	}()
	req := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	h.ServeHTTP(w, req)
	return reply{code: w.Code, body: w.Body.String()}
}

const chatPath = "/v1/chat/completions"

// chatBody returns a chat request with one message.
func chatBody(words string, maxTokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"m","stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, maxTokens, words)
}

// words returns a text of n different words.
func words(n int) string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprint("w", i))
	}
	return strings.Join(list, " ")
}

// TestGolden guards against unintended changes of the responses' format.
func TestGolden(t *testing.T) {
	for name, c := range map[string]struct{ method, path, body string }{
		"stream":    {http.MethodPost, chatPath, chatBody("brake <block> \"7\"", 4, true)},
		"whole":     {http.MethodPost, chatPath, chatBody("brake block", 50, false)},
		"parts":     {http.MethodPost, chatPath, `{"model":"m","max_completion_tokens":1,"messages":[{"role":"user","content":[{"type":"text","text":"lot 7"}]}]}`},
		"no-tokens": {http.MethodPost, chatPath, chatBody("x", 0, false)},
		"image":     {http.MethodPost, chatPath, `{"model":"m","messages":[{"role":"user","content":[{"type":"image"}]}]}`},
		"malformed": {http.MethodPost, chatPath, `{`},
		"bad-order": {http.MethodPost, "/orders", `{"action":"dance"}`},
		"status":    {http.MethodGet, "/status", ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := call(t.Context(), New(Switches{}).Handler(), c.method, c.path, c.body, "X-Request-Id", "req-1")
				check.Golden(t, name+".golden", fmt.Sprintf("%d\n%s", r.code, r.body))
			})
		})
	}
}

// TestBatching guards against wrong order and wrong timing of the decoding steps. It runs
// four requests of different priorities in two slots and checks when each gets its response.
func TestBatching(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Switches{Slots: 2, TokenMicros: 10_000, AnswerTokens: 10})
		h := e.Handler()
		var mu sync.Mutex
		ends := make(map[string]time.Duration)
		var wg sync.WaitGroup
		for _, c := range []struct{ id, priority string }{{"first", "5"}, {"second", "5"}, {"late", "7"}, {"urgent", "-1"}} {
			wg.Go(func() {
				r := call(t.Context(), h, http.MethodPost, chatPath, chatBody("x", 100, true), "X-Request-Id", c.id, "X-Priority", c.priority)
				mu.Lock()
				defer mu.Unlock()
				ends[c.id] = r.after
			})
			time.Sleep(time.Microsecond)
		}
		synctest.Wait()
		if s := e.Status(); s.Running != 1 || s.Waiting != 3 {
			t.Errorf("got %d running and %d waiting, want 1 and 3 until the next step", s.Running, s.Waiting)
		}
		wg.Wait()
		if ends["urgent"] >= ends["second"] || ends["second"] >= ends["late"] {
			t.Errorf("got responses after %v, want the order urgent, second, late", ends)
		}
		if want := 103600 * time.Microsecond; ends["first"] != want {
			t.Errorf("one step of one request and nine of two: got %v, want %v", ends["first"], want)
		}
	})
}

// TestCancel guards against cancelled requests that keep their slot or lose their
// count. A running and a waiting request end when their callers leave. Another request
// is ended by a cancel call.
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Switches{Slots: 1, TokenMicros: 10_000, AnswerTokens: 1000})
		h := e.Handler()
		ctx, hangUp := context.WithTimeout(t.Context(), 105*time.Millisecond)
		defer hangUp()
		var wg sync.WaitGroup
		var gone, ordered reply
		wg.Go(func() {
			gone = call(ctx, h, http.MethodPost, chatPath, chatBody("x", 100, true), "X-Request-Id", "gone")
		})
		synctest.Wait()
		wg.Go(func() { call(ctx, h, http.MethodPost, chatPath, chatBody("x", 100, true), "X-Request-Id", "waits") })
		synctest.Wait()
		wg.Go(func() {
			ordered = call(t.Context(), h, http.MethodPost, chatPath, chatBody("x", 100, false), "X-Request-Id", "ordered")
		})
		time.Sleep(165 * time.Millisecond)
		r := call(t.Context(), h, http.MethodPost, "/v1/cancel", `{"request-id":"ordered"}`)
		wg.Wait()
		if want := `{"cancelled":1,"tokens":5}`; strings.TrimSpace(r.body) != want {
			t.Errorf("cancel: got %s, want %s", r.body, want)
		}
		if !gone.cut || strings.Count(gone.body, "data:") != 10 {
			t.Errorf("caller that left: got cut=%v and %s, want a cut after 10 events", gone.cut, gone.body)
		}
		if !strings.Contains(ordered.body, `"finish_reason":"cancelled"`) || !strings.Contains(ordered.body, `"completion_tokens":5`) {
			t.Errorf("cancelled request: got %s, want finish reason \"cancelled\" after 5 tokens", ordered.body)
		}
		time.Sleep(time.Second)
		want := Counts{
			Total: Count{Runs: 2, PromptTokens: 4, Tokens: 15, Cancels: 3},
			Requests: map[string]Count{
				"gone":    {Runs: 1, PromptTokens: 2, Tokens: 10, Cancels: 1},
				"ordered": {Runs: 1, PromptTokens: 2, Tokens: 5, Cancels: 1},
				"waits":   {Cancels: 1},
			},
		}
		if diff := cmp.Diff(want, e.Counts()); diff != "" {
			t.Error(diff)
		}
	})
}

// TestFence guards against orders and requests with an outdated fencing number. Only an
// engine with CheckFence may refuse them.
func TestFence(t *testing.T) {
	for _, checks := range []bool{false, true} {
		h := New(Switches{CheckFence: checks}).Handler()
		var codes []int
		order := func(fence int) {
			body := fmt.Sprintf(`{"action":"role","role":"r%d","fence":%d}`, fence, fence)
			codes = append(codes, call(t.Context(), h, http.MethodPost, "/orders", body).code)
		}
		chat := func(fence int) {
			r := call(t.Context(), h, http.MethodPost, chatPath, chatBody("x", 1, false), "X-Fence", fmt.Sprint(fence))
			codes = append(codes, r.code)
		}
		order(5)
		order(4)
		chat(4)
		chat(5)
		chat(6)
		order(5)
		order(6)
		want := []int{200, 200, 200, 200, 200, 200, 200}
		if checks {
			want = []int{200, 409, 409, 200, 200, 409, 200}
		}
		if diff := cmp.Diff(want, codes); diff != "" {
			t.Errorf("check-fence %v: %s", checks, diff)
		}
	}
}

// TestPrefixCache guards against wrong cache hits, evictions and events. It sends prompts
// with common prefixes to a cache of four blocks.
func TestPrefixCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Switches{CacheBlocks: 4, PrefillMicros: 1000, EventsLateMS: 1000, EventsGapEvery: 3})
		h := e.Handler()
		ask := func(prompt string) string {
			r := call(t.Context(), h, http.MethodPost, chatPath, chatBody(prompt, 1, false))
			_, cached, _ := strings.Cut(r.body, `"cached_tokens":`)
			cached, _, _ = strings.Cut(cached, "}")
			return fmt.Sprintf("%s cached, %v", cached, r.after)
		}
		got := []string{
			ask(words(47)),          // three blocks
			ask(words(47)),          // all cached
			ask(words(31) + " end"), // two of them and a rest
			ask("other " + words(31)),
			ask(words(47)), // evicted
		}
		want := []string{"0 cached, 48ms", "48 cached, 0s", "32 cached, 1ms", "0 cached, 33ms", "32 cached, 16ms"}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
		if events := e.Events(1); len(events) != 0 {
			t.Errorf("got %d events before they are due, want 0", len(events))
		}
		time.Sleep(time.Second)
		var ids []string
		for _, ev := range e.Events(2) {
			ids = append(ids, fmt.Sprint(ev.ID, " ", ev.Action))
		}
		if diff := cmp.Diff([]string{"2 stored", "4 stored", "5 stored", "7 stored", "8 removed"}, ids); diff != "" {
			t.Error(diff)
		}
	})
}

// TestSilentAndDie guards against switches with the wrong effect on streams in progress.
// An engine is silent in the middle of a stream, resumes, and then dies.
func TestSilentAndDie(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Switches{TokenMicros: 10_000, AnswerTokens: 100, StatusLagMS: 50})
		h := e.Handler()
		var wg sync.WaitGroup
		var stalled, killed, refused reply
		wg.Go(func() { stalled = call(t.Context(), h, http.MethodPost, chatPath, chatBody("x", 10, true)) })
		time.Sleep(45 * time.Millisecond)
		_ = e.Status()
		e.Switches.Update(func(s *Switches) { s.Silent = true })
		time.Sleep(time.Hour)
		asking, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if r := call(asking, h, http.MethodGet, "/status", ""); !r.cut || r.after != time.Second {
			t.Errorf("status of a silent engine: got %+v, want no response within 1 s", r)
		}
		e.Switches.Update(func(s *Switches) { s.Silent = false })
		wg.Go(func() { killed = call(t.Context(), h, http.MethodPost, chatPath, chatBody("x", 100, true)) })
		time.Sleep(500 * time.Millisecond)
		e.Switches.Update(func(s *Switches) { s.Die = true })
		wg.Wait()
		refused = call(t.Context(), h, http.MethodPost, chatPath, chatBody("x", 100, true))
		if strings.Count(stalled.body, "data:") != 12 || stalled.cut || stalled.after < time.Hour {
			t.Errorf("stalled stream: got %+v, want 12 events after an hour", stalled)
		}
		if !killed.cut || strings.Contains(killed.body, "finish_reason\":\"") || !refused.cut {
			t.Errorf("got killed stream %+v and next request %+v, want both cut off", killed, refused)
		}
		if s := e.Status(); s.Running != 0 {
			t.Errorf("got %d requests running at a dead engine, want 0", s.Running)
		}
		time.Sleep(time.Second)
	})
}

// handlerTransport sends requests to a handler without a network.
type handlerTransport struct{ h http.Handler }

func (t handlerTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	t.h.ServeHTTP(w, req)
	return w.Result(), nil
}

// TestLoad guards against requests served before their model is loaded, and against
// loading a model twice. The rate limit of the weight store makes the load take 8 s.
func TestLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := wghtd.New(wghtd.Switches{SizeBytes: 1 << 20, BytesPerSecond: 128 << 10})
		e := &Engine{Weights: "http://weights", HTTP: &http.Client{Transport: memnet.Transport{Handler: store.Handler()}}}
		h := e.Handler()
		var got []string
		note := func() {
			code := call(t.Context(), h, http.MethodPost, chatPath, chatBody("x", 1, false)).code
			raw, _ := json.Marshal(e.Status().Models) // a map of strings always encodes
			got = append(got, fmt.Sprint(code, " ", string(raw)))
		}
		note()
		for _, o := range []Order{{Action: "load", Model: "m"}, {Action: "load", Model: "m"}} {
			if err := e.Execute(o); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(7 * time.Second)
		note()
		time.Sleep(time.Second)
		note()
		if err := e.Execute(Order{Action: "unload", Model: "m"}); err != nil {
			t.Fatal(err)
		}
		note()
		store.Switches.Set(wghtd.Switches{Outage: true})
		_ = e.Execute(Order{Action: "load", Model: "m"})
		synctest.Wait()
		note()
		want := []string{"200 {}", `404 {"m":"loading"}`, `200 {"m":"loaded"}`, "404 {}", `404 {"m":"failed"}`}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
		if c := store.Counts(); c.Transfers != 1 || c.Bytes != 1<<20 {
			t.Errorf("got counts of the weight store %+v, want one transfer of 1 MiB", c)
		}
	})
}

// FuzzChat guards against panics and oversized responses for arbitrary request bodies.
func FuzzChat(f *testing.F) {
	for _, seed := range []string{chatBody("a b", 3, true), `{"model":"m","messages":[{}]}`, `{"model":"m","messages":[{"content":[]}]}`, `{}`, ``} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		req, err := decodeChat(body)
		if err != nil {
			return
		}
		a := responseTo(req, 0)
		if a.tokens < 1 || (req.limit() > 0 && a.tokens > req.limit()) || len(req.prompt()) > len(body) {
			t.Fatalf("%s: got a response of %d tokens to a prompt of %d tokens, want at least 1, at most the limit, and a prompt no longer than the body", body, a.tokens, len(req.prompt()))
		}
		_ = a.text(min(a.tokens, 8))
	})
}
