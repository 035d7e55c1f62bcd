package appd

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// post sends a call and returns its status, or 0 if the connection was cut or the
// caller gave up.
func post(ctx context.Context, h http.Handler, path, id, body string) (code int) {
	defer func() {
		if err := recover(); err != nil {
			if err != http.ErrAbortHandler {
				panic(err)
			}
			code = 0
		}
	}()
	w := httptest.NewRecorder()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("X-Request-Id", id)
	h.ServeHTTP(w, r)
	return w.Code
}

// TestCounts guards against switches with the wrong effect. It checks the answer and the
// number of runs of a call under each switch.
func TestCounts(t *testing.T) {
	for name, c := range map[string]struct {
		sw   Switches
		code int
		runs int
	}{
		"works":            {Switches{}, 201, 1},
		"slow":             {Switches{SlowMS: 5000}, 201, 1},
		"silent":           {Switches{Silent: true}, 0, 0},
		"silent after run": {Switches{SilentAfterRun: true}, 0, 1},
		"die after run":    {Switches{DieAfterRun: true}, 0, 1},
		"fail":             {Switches{Fail: true}, 500, 0},
		"fail after run":   {Switches{FailAfterRun: true}, 500, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := New(c.sw)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				if code := post(ctx, a.Handler(), "/reservations", "r1", `{"part":"p","qty":2}`); code != c.code {
					t.Errorf("got status %d, want %d", code, c.code)
				}
				if n := a.Counts().Requests["r1"]; n != c.runs || a.Stock("p") != defaultStock-2*c.runs {
					t.Errorf("got %d runs and a stock of %d, want %d runs and the stock that they leave", n, a.Stock("p"), c.runs)
				}
			})
		})
	}
}

// TestDoubleRun guards against double runs that the counts hide. They must show by request
// id and by body.
func TestDoubleRun(t *testing.T) {
	a := &App{}
	h := a.Handler()
	var codes []int
	for _, c := range [][3]string{
		{"/reservations", "r1", `{"part":"p","qty":2}`},
		{"/reservations", "r1", `{"part":"p","qty":2}`},
		{"/reservations", "r2", `{"part":"p","qty":1000000}`},
		{"/transfers", "t1", `{"lot":"l","to":"mill"}`},
		{"/transfers", "t2", `{"lot":"l","to":"mill"}`},
		{"/reservations", "bad", `{"part":"p"}`},
		{"/transfers", "bad", `{"lot":"l"}`},
		{"/transfers", "bad", `{`},
	} {
		codes = append(codes, post(t.Context(), h, c[0], c[1], c[2]))
	}
	if diff := cmp.Diff([]int{201, 201, 409, 201, 201, 400, 400, 400}, codes); diff != "" {
		t.Error(diff)
	}
	want := Counts{
		Reservations: 3, Transfers: 2,
		Requests: map[string]int{"r1": 2, "r2": 1, "t1": 1, "t2": 1},
		Bodies: map[string]int{
			`{"part":"p","qty":2}`: 2, `{"part":"p","qty":1000000}`: 1, `{"lot":"l","to":"mill"}`: 2,
		},
	}
	if diff := cmp.Diff(want, a.Counts()); diff != "" {
		t.Error(diff)
	}
}
