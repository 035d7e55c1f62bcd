package front_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"github.com/beryllanding/beryllanding/internal/entry"
	"github.com/beryllanding/beryllanding/internal/front"
)

// capturingEngine is an engine that records the request and sends no response.
type capturingEngine struct {
	stubEngine
	req *entry.Request
}

func (c *capturingEngine) Do(_ context.Context, req *entry.Request, _ entry.Sink) (entry.Result, error) {
	c.req = req
	return entry.Result{}, nil
}

// checkRefusal expects a well-formed client error with the outcome not-run, unless the
// request reached the engine.
func checkRefusal(t *testing.T, c *capturingEngine, res *httptest.ResponseRecorder) {
	t.Helper()
	if c.req != nil {
		return
	}
	var body struct {
		Error struct{ Code, Outcome, Message string }
	}
	if res.Code < 400 || res.Code > 499 || json.Unmarshal(res.Body.Bytes(), &body) != nil ||
		body.Error.Code == "" || body.Error.Outcome != "not-run" || body.Error.Message == "" {
		t.Fatalf("got status %d, body %s; want status 400 to 499 with a code, a message and outcome not-run", res.Code, res.Body)
	}
}

// FuzzChat sends any body. The request must be refused, or the body must reach the
// engine unchanged and with cost bounds in range.
func FuzzChat(f *testing.F) {
	f.Add([]byte(chatRequest))
	f.Add([]byte(streamRequest))
	for _, in := range badInputs {
		f.Add([]byte(in.body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		c := &capturingEngine{}
		s := &front.Server{Engine: c, Catalogue: catalogue{}, Limits: front.Limits{Body: 64 << 10}}
		r := httptest.NewRequest(http.MethodPost, chatPath, bytes.NewReader(body))
		r.Header.Set("Authorization", "Bearer good")
		res := httptest.NewRecorder()
		s.Handler().ServeHTTP(res, r)
		checkRefusal(t, c, res)
		if c.req == nil {
			return
		}
		chat := c.req.Work.(entry.Chat)
		if !bytes.Equal(chat.Body, body) || chat.PromptBound < int64(len(body)) || chat.OutputBound < 1 || chat.OutputBound > 16000 {
			t.Fatalf("got prompt bound %d and output bound %d for body %q, want an unchanged body, a prompt bound of at least its length and an output bound of 1 to 16000", chat.PromptBound, chat.OutputBound, body)
		}
	})
}

// FuzzCall sends any path, key and header. An at-most-once call must have a key, and
// neither credentials nor hop-by-hop headers may be passed on.
func FuzzCall(f *testing.F) {
	f.Add("reserve", "", "X-A", "1")
	f.Add("reserve", "k", "Connection", "X-A")
	f.Add("stock?q=1", "a/b", "authorization", "Bearer good")
	for _, in := range badInputs {
		f.Add(strings.TrimPrefix(in.path, "/apps/stores/"), "", "X-A", "")
	}
	f.Fuzz(func(t *testing.T, path, key, name, value string) {
		u, err := url.Parse("http://x/apps/stores/" + path)
		if err != nil {
			t.Skip()
		}
		c := &capturingEngine{}
		s := &front.Server{Engine: c, Catalogue: catalogue{}}
		r := (&http.Request{Method: http.MethodPost, URL: u, RequestURI: u.RequestURI(), Header: http.Header{}, Body: http.NoBody}).WithContext(t.Context())
		r.Header.Set(name, value)
		r.Header.Set("Authorization", "Bearer good")
		if key != "" {
			r.Header.Set("Idempotency-Key", key)
		}
		res := httptest.NewRecorder()
		s.Handler().ServeHTTP(res, r)
		checkRefusal(t, c, res)
		if c.req == nil {
			return
		}
		if plain := strings.Trim(u.Path, "/"); plain == "apps/stores/reserve" && (!c.req.Once || !c.req.Keyed) {
			t.Fatalf("path %q without both Once and Keyed set reached the engine: %+v", path, c.req)
		}
		for _, h := range c.req.Work.(entry.Call).Headers {
			if strings.EqualFold(h.GetName(), "Authorization") || strings.EqualFold(h.GetName(), "Connection") {
				t.Fatalf("header %q was passed on, want it dropped", h.GetName())
			}
		}
	})
}
