package catal

import (
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/beryllanding/beryllanding/pkg/fold"
)

// TestFaults compares the faults of invalid entries with the golden file. With
// UPDATE_GOLDEN=1 in the environment it writes the file.
func TestFaults(t *testing.T) {
	h := HashKey("k")
	manyHashes := make([]KeyHash, maxKeyHashes+1)
	for i := range manyHashes {
		manyHashes[i][0] = byte(i)
	}
	entries := []Entry{
		nil,
		&Service{},
		&Budget{},
		&Service{Name: "m", Owner: "o", Class: "urgent", Kind: Model, Price: 1, DefaultOutput: 5, MaxOutput: 4},
		&Service{
			Name: "A", Owner: "o", Class: Batch, Kind: App, Price: -1, PromptBytesPerToken: 1, MaxOutput: 1, DefaultOutput: 1,
			OnceMethods:     []string{"post"},
			IdempotentPaths: []string{"x", "/a/../b", "/a%2fb", "/a?b", "//a", "/a;b"},
		},
		&Budget{
			Name: "-b", Owner: strings.Repeat("o", 129), Class: Batch,
			Limits: Limits{MaxTokens: -1, MaxConcurrent: maxTokens + 1}, KeyHashes: []KeyHash{h, h},
		},
		&Budget{Name: "b", Owner: "o", Class: Batch, KeyHashes: manyHashes},
		&Service{
			Name: "w", Owner: "o", Class: Batch, Kind: Model, PromptBytesPerToken: 1, MaxOutput: 1, DefaultOutput: 1,
			Weights: []string{"v7", "a b", "v7"}, Role: "Decode", MaxLoads: -1,
		},
		&Service{Name: "a", Owner: "o", Class: Batch, Kind: App, Weights: []string{"v7"}, MaxLoads: 1},
	}
	var got strings.Builder
	for _, e := range entries {
		err := Validate(e)
		var invalid *InvalidError
		if !errors.Is(err, ErrInvalid) || !errors.As(err, &invalid) {
			t.Fatalf("entry %+v: error is %v, want an *InvalidError", e, err)
		}
		got.WriteString("entry " + invalid.Name + "\n  " + strings.Join(invalid.Faults, "\n  ") + "\n")
	}
	const golden = "testdata/faults.golden"
	if os.Getenv("UPDATE_GOLDEN") != "" {
		if err := os.WriteFile(golden, []byte(got.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got.String()); diff != "" {
		t.Errorf("faults (-golden +got):\n%s", diff)
	}
}

func TestValidEntries(t *testing.T) {
	for _, e := range []Entry{
		&Service{Name: "0./-", Owner: "o", Class: Interactive, Kind: Model, PromptBytesPerToken: 1, MaxOutput: 9, DefaultOutput: 9},
		&Service{Name: "s", Owner: "o", Class: Standard, Kind: App, OnceMethods: []string{"POST"}, IdempotentPaths: []string{"/", "/a/"}},
		&Budget{Name: "b", Owner: "Kōwhai Rail Spares", Class: Batch, Limits: Limits{MaxTokens: 5}, KeyHashes: []KeyHash{HashKey("k")}},
	} {
		if err := Validate(e); err != nil {
			t.Error(err)
		}
	}
}

func TestOnce(t *testing.T) {
	plain := &Service{Kind: App}
	listed := &Service{Kind: App, OnceMethods: []string{"PUT"}, IdempotentPaths: []string{"/stock/"}}
	for _, c := range []struct {
		service      *Service
		method, path string
		once         bool
	}{
		{plain, "GET", "/x", false},
		{plain, "PUT", "/x", false},
		{plain, "POST", "/x", true},
		{plain, "PATCH", "/x", true},
		{plain, "RESERVE", "/x", true},
		{listed, "POST", "/x", false},
		{listed, "PUT", "/x", true},
		{listed, "PUT", "/stock", false},
		{listed, "PUT", "/stock/7?q=/../x", false},
		{listed, "PUT", "/stockpile", true},
		{listed, "PUT", "/stock/../x", true},
		{listed, "PUT", "/stock/%2e%2e/x", true},
		{listed, "PUT", "/stock//x", true},
		{listed, "PUT", "stock/7", true},
		{&Service{IdempotentPaths: []string{"/"}}, "POST", "/any/", false},
	} {
		if got := c.service.Once(c.method, c.path); got != c.once {
			t.Errorf("%s %s: Once is %v, want %v", c.method, c.path, got, c.once)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"id":"1","budget":{"name":"b","key-hashes":["` + HashKey("k").String() + `"]}}`))
	f.Add([]byte(`{"id":"1","base":4,"service":{"name":"s","kind":"app"},"operator":"o"}`))
	f.Add([]byte(`{"id":"1","delete":"b"}`))
	f.Add([]byte(`{"id":"1","budget":{"key-hashes":["zz"]}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var s State
		item := fold.Item{Kind: changeKind, Body: json.RawMessage(body)}
		c, err := Decode(item)
		s.Apply(fold.Position{Offset: 1}, item)
		if err != nil {
			if len(s.All()) > 0 {
				t.Fatalf("malformed change took effect: %s", body)
			}
			return
		}
		again, err := Decode(Encode(c))
		if err != nil || !cmp.Equal(Encode(c), Encode(again)) {
			t.Fatalf("change %+v was encoded and decoded to %+v, error %v, want an equal change", c, again, err)
		}
		if s.Verdict(c.ID) == nil {
			t.Fatalf("change %+v has no verdict", c)
		}
	})
}

// FuzzRestore restores arbitrary data, as a peer might send it. A snapshot that
// Restore accepts must be consistent: the snapshot of the restored state restores to
// the same state, and further changes can be applied.
func FuzzRestore(f *testing.F) {
	var full State
	apply(
		&full,
		Change{ID: "1", Entry: &Budget{Name: "a", Owner: "o", Class: Batch, KeyHashes: []KeyHash{HashKey("k")}}},
		Change{ID: "2", Entry: &Service{Name: "s", Owner: "o", Class: Batch, Kind: App}},
		Change{ID: "3", Base: 2, Delete: "s"},
		Change{ID: "4", Base: 2, Delete: "s"},
		Change{ID: "5", Delete: "z"},
	)
	seed, err := full.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte(`{"latest":9,"records":[{"name":"a"},{"name":"b"}],"tombstones":["a","a"]}`))
	f.Add([]byte(`{"latest":9,"records":[{"name":"a","budget":{"name":"b"}}]}`))
	f.Add([]byte(`{"verdicts":[{"id":"1","accepted":{}},{"id":"1","conflict":{}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s, again State
		if s.Restore(data) != nil {
			return
		}
		first, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := again.Restore(first); err != nil {
			t.Fatalf("Restore refused the snapshot of a restored state: error %v, snapshot:\n%s", err, first)
		}
		second, _ := again.Snapshot()
		if string(first) != string(second) {
			t.Fatalf("snapshots of one state differ:\n%s\n%s", first, second)
		}
		for _, name := range []string{"a", "b"} {
			r, _ := s.Get(name)
			c := Change{ID: "fuzz-" + name, Base: r.At, Seen: s.Latest(), Entry: &Budget{Name: name, Owner: "o", Class: Batch}}
			s.Apply(fold.Position{Offset: s.Latest() + 1}, Encode(c))
		}
	})
}
