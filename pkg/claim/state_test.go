package claim

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/beryllanding/beryllanding/pkg/fold"
	"github.com/beryllanding/beryllanding/pkg/ident"

	"github.com/beryllanding/beryllanding/internal/stand/check"
)

// TestMain fixes the seed of rapid, so each test run draws the same cases.
func TestMain(m *testing.M) {
	check.Main(m, map[string]string{"rapid.seed": "5", "rapid.nofailfile": "true"})
}

const (
	testWindow  = 2
	testExpired = 1
	testBytes   = 40
)

// naive is a reference model of State. It searches the whole history for each
// query.
type naive struct {
	history []Item
	// tookEffect[i] reports whether history[i] is a Done item that took effect.
	tookEffect []bool
}

// add appends an item.
func (h *naive) add(it Item) {
	tookEffect := false
	if d, ok := it.(Done); ok {
		held, done, _ := h.holder(d.Request, len(h.history))
		tookEffect = held != nil && done == nil && held.Side == d.Side && held.Attempt == d.Attempt
	}
	h.history = append(h.history, it)
	h.tookEffect = append(h.tookEffect, tookEffect)
}

// holder returns the claim that holds the request after the first n items, the Done
// item that finished the request, and the index of the Done item. It returns no claim
// if the request has expired, since it is then free again.
func (h naive) holder(request string, n int) (*Claim, *Done, int) {
	var held *Claim
	var done *Done
	at := 0
	for i, it := range h.history[:n] {
		if done != nil && h.finishedBetween(at, i) > testWindow+testExpired-1 {
			held, done = nil, nil
		}
		switch it := it.(type) {
		case Claim:
			if it.Request == request && held == nil {
				held = &it
			}
		case Release:
			if it.Request == request && held != nil && done == nil && it.Side == held.Side && it.Attempt == held.Attempt {
				held = nil
			}
		case Done:
			if it.Request == request && held != nil && done == nil && it.Side == held.Side && it.Attempt == held.Attempt {
				done = &it
				at = i
			}
		}
	}
	if done != nil && h.finishedBetween(at, n) > testWindow+testExpired-1 {
		return nil, nil, 0
	}
	return held, done, at
}

// finishedBetween counts the Done items that took effect after item a and
// before item b.
func (h naive) finishedBetween(a, b int) int {
	n := 0
	for i := a + 1; i < b; i++ {
		if h.tookEffect[i] {
			n++
		}
	}
	return n
}

func (h naive) lookup(request string, fingerprint []byte) Verdict {
	held, done, at := h.holder(request, len(h.history))
	switch {
	case held == nil:
		return Free{}
	case done != nil && h.finishedBetween(at, len(h.history)) > testWindow-1:
		return Finished{Truncated: true}
	case !bytes.Equal(held.Fingerprint, fingerprint):
		return KeyReused{}
	case done == nil:
		return Held{Side: held.Side, Attempt: held.Attempt}
	}
	f := Finished{Side: done.Side, Attempt: done.Attempt, Status: done.Status, Truncated: true}
	if !h.dropped(at) {
		f.Headers, f.Body, f.Truncated = done.Headers, done.Body, done.Truncated
	}
	return f
}

// dropped reports whether the response at item i was dropped. A response is dropped
// if it and the later responses together exceed testBytes while it is within the
// window.
func (h naive) dropped(i int) bool {
	total, later := 0, 0
	for j := i; j < len(h.history); j++ {
		if !h.tookEffect[j] {
			continue
		}
		if later > testWindow-1 {
			break
		}
		later++
		total += len(h.history[j].(Done).Body)
		if total > testBytes {
			return true
		}
	}
	return false
}

var (
	testRequests = []string{"o/1", "o/2", "o/3", "o/4", "o/5"}
	// Most items name the first side and attempt, so many requests finish.
	testSides        = []ident.Incarnation{"a~1", "a~1", "a~1", "a~1", "b~1"}
	testAttempts     = []string{"x", "x", "x", "x", "y"}
	testFingerprints = [][]byte{[]byte("f"), []byte("g")}
)

func drawItem(t *rapid.T) Item {
	request := rapid.SampledFrom(testRequests).Draw(t, "request")
	side := rapid.SampledFrom(testSides).Draw(t, "side")
	attempt := rapid.SampledFrom(testAttempts).Draw(t, "attempt")
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0, 1, 2:
		fingerprint := rapid.SampledFrom(testFingerprints).Draw(t, "fingerprint")
		return Claim{Request: request, Side: side, Attempt: attempt, Fingerprint: fingerprint}
	case 3:
		return Release{Request: request, Side: side, Attempt: attempt}
	default:
		size := rapid.IntRange(10, 30).Draw(t, "size")
		return Done{Request: request, Side: side, Attempt: attempt, Status: 200, Body: make([]byte, size)}
	}
}

// TestStateAgreesWithSearchThroughHistory guards against errors in expiry, in the
// dropping of responses and in snapshots. It compares State with the naive model
// on random histories.
func TestStateAgreesWithSearchThroughHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := State{Window: testWindow, Expired: testExpired, ResponseBytes: testBytes}
		var h naive
		for range rapid.IntRange(1, 100).Draw(t, "items") {
			it := drawItem(t)
			s.Apply(fold.Position{}, Encode(it))
			h.add(it)
			if rapid.IntRange(0, 5).Draw(t, "restore") == 0 {
				restored := State{Window: s.Window, Expired: s.Expired, ResponseBytes: s.ResponseBytes}
				check.Restore(t, &s, &restored)
				s = restored
			}
			for _, request := range testRequests {
				for _, fp := range testFingerprints {
					if diff := cmp.Diff(h.lookup(request, fp), s.Lookup(request, fp)); diff != "" {
						t.Fatalf("request %s after %+v (-naive +state):\n%s", request, h.history, diff)
					}
				}
			}
		}
	})
}

// TestHeldRequestNeverExpires guards against a second run of a request whose owner
// died. The claim must not expire when later requests finish, since the request
// would then be free.
func TestHeldRequestNeverExpires(t *testing.T) {
	s := State{Window: testWindow}
	apply := func(it Item) { s.Apply(fold.Position{}, Encode(it)) }
	apply(Claim{Request: "o/held", Side: "gone~1", Attempt: "x"})
	for i := range 100 {
		id := fmt.Sprintf("o/%d", i)
		apply(Claim{Request: id, Side: "a~1", Attempt: "x"})
		apply(Done{Request: id, Side: "a~1", Attempt: "x"})
	}
	if _, ok := s.Lookup("o/held", nil).(Held); !ok || s.Len() != testWindow+1 {
		t.Errorf("request is %#v and the state has %d requests, want Held and %d requests", s.Lookup("o/held", nil), s.Len(), testWindow+1)
	}
}

func TestRestoreRefusesMalformedSnapshot(t *testing.T) {
	var s State
	s.Apply(fold.Position{}, Encode(Claim{Request: "o/1", Side: "a~1", Attempt: "x"}))
	for _, bad := range []string{
		`{`, `{"requests":{"x":null}}`, `{"finished":["x"]}`, `{"bodies":1}`, `{"expired":"AAAA"}`,
		`{"requests":{"x":{"answer":{"status":200}}},"finished":["y"]}`,
		`{"requests":{"x":{"answer":{}},"y":{"answer":{}}},"finished":["x","x"]}`,
	} {
		if err := s.Restore([]byte(bad)); err == nil || s.Len() != 1 {
			t.Errorf("snapshot %s: error %v and %d requests, want an error and 1 request", bad, err, s.Len())
		}
	}
}

func FuzzDecode(f *testing.F) {
	for _, it := range []Item{
		Claim{Request: "o/1", Attempt: "x", Side: "a~1", Fingerprint: []byte("f")},
		Release{Request: "o/1", Attempt: "x", Side: "a~1"},
		Done{Request: "o/1", Attempt: "x", Side: "a~1", Status: 200, Headers: []Header{{Name: "A", Value: "b"}}, Body: []byte("{}")},
	} {
		e := Encode(it)
		f.Add(e.Kind, []byte(e.Body))
	}
	f.Add("done", []byte(`{"headers":{}}`))
	f.Fuzz(func(t *testing.T, kind string, body []byte) {
		it, err := Decode(fold.Item{Kind: kind, Body: body})
		if err != nil {
			return
		}
		first := Encode(it)
		again, err := Decode(first)
		if err != nil || !slices.Equal(Encode(again).Body, first.Body) {
			t.Errorf("%#v was encoded and decoded to %#v, error %v, want an equal item", it, again, err)
		}
		var s State
		s.Apply(fold.Position{}, fold.Item{Kind: kind, Body: body})
	})
}

func BenchmarkApply(b *testing.B) {
	body := make([]byte, 200)
	var s State
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		id := fmt.Sprintf("org/%d", n)
		n++
		s.Apply(fold.Position{}, Encode(Claim{Request: id, Side: "s~1", Attempt: "x", Fingerprint: body[:32]}))
		s.Apply(fold.Position{}, Encode(Done{Request: id, Side: "s~1", Attempt: "x", Status: 200, Body: body}))
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(2*b.N), "ns/item")
}

func BenchmarkSnapshotOfFullWindow(b *testing.B) {
	var s State
	body := make([]byte, 200)
	for i := range DefaultWindow + DefaultExpired {
		id := fmt.Sprintf("org/9f2c01d4e8aa%d", i)
		s.Apply(fold.Position{}, Encode(Claim{Request: id, Side: "slot~9f2c01d4e8aa", Attempt: "9f2c01d4e8aa9f2c01d4e8aa#1", Fingerprint: body[:32]}))
		s.Apply(fold.Position{}, Encode(Done{Request: id, Side: "slot~9f2c01d4e8aa", Attempt: "9f2c01d4e8aa9f2c01d4e8aa#1", Status: 200, Body: body}))
	}
	size := 0
	for b.Loop() {
		data, _ := s.Snapshot()
		size = len(data)
	}
	b.ReportMetric(float64(size), "bytes")
}
